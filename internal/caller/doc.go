// Package caller implements the caller side of the request path: it accepts the
// requests of callers and forwards each to the gate of a selected endpoint.
//
// A request passes through a chain of go-kit endpoints: identify, route,
// limitRate, throttle, forward. Each step either passes it on or returns a
// *fault.Error, which the handler writes as a refusal. Endpoint selection and
// retry decisions are in internal/core/route and internal/core/retry.
package caller
