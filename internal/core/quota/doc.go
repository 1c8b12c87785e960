// Package quota enforces the rates of client accounts over the whole mesh.
//
// One node, the owner, keeps the ledger of a limited route and grants shares of
// its rate to the nodes that see demand. Each node enforces its share with a
// token bucket. Shares are leased, so that a node or an owner that dies holds
// nothing for long. The package does no input or output and reads no clock.
package quota
