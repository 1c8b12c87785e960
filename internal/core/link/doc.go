// Package link decides in which order and at which rate bodies use the link of a VM.
//
// A Scheduler hands out the capacity of one direction of a link in chunks. While all
// bodies can be sent before their ends, it gives equal shares and leaves a part of the
// link unused. Otherwise it serves the body with the earliest end first. It performs no
// I/O, reads no clock and is not safe for concurrent use: callers hold a lock during
// every call and pass the time.
package link
