// Package relay forwards TCP connections and UDP datagrams from a listen
// address to a target and adds faults on the way.
//
// Faults can differ by the source of a connection or datagram, so that one
// relay in front of a node can separate that node from some others only. Random
// choices follow from a seed.
package relay
