// Package fault defines the closed list of error kinds and the answer that
// each kind gets at the edges of the system.
//
// Every refusal that leaves a node carries one of these kinds. A kind has an
// HTTP status and a default run state, which says whether the refused request
// may have reached a backend server.
package fault
