// Package backend is a stand-in of a backend server.
//
// It announces itself to the node beside it, runs requests for a configurable
// time in a configurable number of slots, and records every execution in a
// journal. Tests compare the journals of all backend servers with the outcomes
// that callers saw.
//
// Query parameters of a request choose what it does:
//
//	time    service time, such as 10ms or exp:10ms (see ParseTime)
//	size    length of the response body in bytes
//	chunked present for a body without Content-Length
//	depth   number of nested calls below this one, made through the node
//	next    path of the nested call; the path of the request if empty
//	host    host of the nested call; the host of the request if empty
//
// A path with the segment "content" names an immutable body, which is served
// with a strong ETag and by range. Every other body follows from the request id.
package backend
