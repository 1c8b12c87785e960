// Package fault defines the closed list of error kinds and how each kind is
// reported to callers and by the command line.
//
// Every refusal that leaves a node carries one of these kinds. A kind has an
// HTTP status and a default run state, which says whether the refused request
// may have reached a backend server.
package fault
