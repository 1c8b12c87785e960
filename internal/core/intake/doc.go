// Package intake decides how many connections and how much memory of requests a node
// accepts, and which connection is closed if there are too many. It has no clock and does
// no I/O.
package intake
