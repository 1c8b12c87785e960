// Package pause detects that the process did not run for some time: it was stopped by a
// signal, or its VM was suspended.
//
// Requests that arrived during a pause are read when the process goes on. Their
// deadlines are relative to the time of reading, and their callers may have left, so
// that they must not be served.
package pause
