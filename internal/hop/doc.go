// Package hop is the outgoing HTTP/1.1 hop that the caller side uses to reach
// a gate and the gate uses to reach its backend server.
//
// A Transport reports after every failed request whether any byte of it can
// have left this process, which is what a truthful "not run" rests on. The
// package also holds the header rules of RFC 9110 section 7.6.1 and the copying
// of response bodies: a truncated body never ends cleanly.
package hop
