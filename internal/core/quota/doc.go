// Package quota enforces the rate limits of client accounts across the whole
// mesh.
//
// One node, the owner, keeps the ledger of a limited route and grants shares of
// its rate to the nodes that report demand. Each node enforces its share with a
// token bucket. Shares are leased, so that the shares of a failed node or owner
// are freed when their lease ends. The package performs no I/O and reads no
// clock.
package quota
