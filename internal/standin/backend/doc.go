// Package backend is a stand-in of a backend server.
//
// It announces itself to its node, runs requests for a configurable time in a
// configurable number of slots, and records every execution in a journal. Tests
// compare the journals of all backend servers with the outcomes that callers
// observed.
//
// The query parameters of a request control its execution:
//
//	time    service time, such as 10ms or exp:10ms (see ParseServiceTime)
//	size    length of the response body in bytes
//	chunked present for a body without Content-Length
//	depth   number of nested calls below this one, made through the node
//	next    path of the nested call; defaults to the path of the request
//	host    host of the nested call; defaults to the host of the request
//
// A path with the segment "content" names an immutable body, which is served
// with a strong ETag and supports range requests. Every other body is derived
// from the request id.
package backend
