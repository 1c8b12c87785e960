// Package client is the Go client of the operator API of a lavenderrill node.
//
// Any node serves the API. Calls are HTTP requests with JSON bodies and a
// bearer token. A refusal is returned as an *Error that holds the kind of the
// refusal and says whether the change may have taken effect.
package client
