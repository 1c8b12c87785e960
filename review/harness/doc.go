// Package harness plays a small deployment for the cases of the review: nodes as separate
// processes, started as the deploy file says, beside stand-ins for the platform's store,
// the endpoints and the clients. Each node has a loopback address of its own.
package harness
