// Package admit decides which requests a gate lets through to its backend
// server, in which order, and how many at a time.
//
// A Machine holds a bounded queue per rank, a floor of slots per rank, round
// robin among client accounts inside a rank, and a concurrency limit that
// follows the observed latency. It performs no I/O, reads no clock and is not
// safe for concurrent use: callers hold a lock during every call, pass the
// time, and handle the tickets that a call returns as decided.
package admit
