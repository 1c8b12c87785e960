// Package admitsim runs the admission of a gate in front of a simulated backend
// server, on a simulated clock, to compare admission policies under floods.
//
// It shows properties of the state machine alone. Figures of whole processes
// come from the load generator.
package admitsim
