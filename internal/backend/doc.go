// Package backend is the gate: the only way into the backend server of its VM.
//
// The gate admits requests that other nodes forward, sends them to the backend
// server and reports truthfully whether a refused request may have run. Its
// backend listener takes the announcements of the backend server, whose lease
// and observed failures decide the endpoint state that other nodes see.
package backend
