// Package route matches requests to the routes of a configuration and chooses
// the endpoint that serves them.
//
// A Table is built from one config.Snapshot and is immutable. A Picker holds
// what one node knows about the endpoints of every service: membership, its own
// requests in flight, the pressure that gates report, and its own observations
// of failures and latency. The package performs no I/O and reads no clock;
// callers pass the current time.
package route
