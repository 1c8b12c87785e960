// Package retry decides whether a failed attempt of a request is retried,
// hedged or answered, and which requests a node refuses by itself.
//
// It holds the retry budget of each service, the table of retry decisions and
// the client-side adaptive throttle of each service and rank. The package
// performs no I/O and reads no clock; callers pass the time. All types are safe
// for concurrent use.
package retry
