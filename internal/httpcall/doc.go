// Package httpcall makes calls to one HTTP server whose responses are short enough to be
// read as a whole.
//
// It bounds the wait for a connection and for the header of a response, and the size of
// the header and of the body. The time for the body is bounded by the context only, since
// it may be long and arrive slowly over a busy link.
package httpcall
