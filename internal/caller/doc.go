// Package caller is the caller side of the request path: the listener that
// callers reach, and the forwarding of each request to the gate of a chosen
// endpoint.
//
// A request passes a chain of go-kit endpoints: identify, route, limit,
// throttle, forward. Each step either passes it on or returns a *fault.Error,
// which the handler turns into a refusal. Decisions are made by the packages
// internal/core/route and internal/core/retry.
package caller
