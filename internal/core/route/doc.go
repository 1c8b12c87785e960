// Package route matches requests to the routes of a configuration and chooses
// the endpoint that serves them.
//
// A Table is built from one config.Snapshot and immutable. A Picker holds what
// one node knows of the endpoints of every service: membership, its own
// requests in flight, the pressure that gates report, and its own observations
// of failures and latency. The package does no input or output and reads no
// clock; callers pass the time.
package route
