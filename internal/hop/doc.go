// Package hop sends requests over one HTTP/1.1 hop: from the caller side to a
// gate, and from the gate to its backend server.
//
// A Transport reports after every failed request whether any byte of it can
// have left this process; a request is reported as "not run" only if none can.
// The package also implements the header rules of RFC 9110 section 7.6.1 and
// copies response bodies, so that a truncated body never ends cleanly.
package hop
