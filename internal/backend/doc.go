// Package backend is the gate: the only way into the backend server of its VM.
//
// The gate admits requests that other nodes forward, sends them to the backend
// server and reports whether a refused request may have run. Its backend listener
// receives the announcements of the backend server. Their lease and the observed
// connection failures determine the endpoint state that other nodes see.
package backend
