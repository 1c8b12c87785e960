// Package zone decides which share of the requests of one service and rank is sent to
// other availability zones.
//
// A Decider is fed with the load of every zone several times a second and adjusts its
// shares in small steps. All nodes of a zone decide alike on similar reports, so that each
// step is bounded by the age of the reports and by the free capacity that all of them see.
// The package performs no I/O and reads no clock.
package zone
