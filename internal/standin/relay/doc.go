// Package relay forwards TCP connections and UDP datagrams from a listen
// address to a target and injects faults.
//
// Faults can differ by the source of a connection or datagram, so that one
// relay in front of a node can partition that node from some other nodes only.
// Random choices are determined by a seed.
package relay
