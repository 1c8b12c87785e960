// Package operator serves the operator API of a node: validation, planning and
// acceptance of edits, history, status and explanations.
//
// The API is HTTP with JSON bodies and a bearer token. Package client defines the
// types of requests and responses.
package operator
