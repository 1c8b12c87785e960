// Package admitsim runs the admission of a gate in front of a simulated backend
// server, on a simulated clock, to compare admission policies under floods.
//
// It tests the state machine alone; the load generator measures whole
// processes.
package admitsim
