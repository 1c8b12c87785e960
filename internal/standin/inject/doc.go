// Package inject adds faults to the HTTP handlers of the platform stand-ins
// and counts their requests.
//
// Faults are set at run time by Go code or over HTTP, so that a test can
// control stand-ins that run in another process.
package inject
