// Package demandsim runs the admission of gates and the refusal of requests in vain on a
// simulated clock, in a mesh of two services of which one calls the other.
package demandsim
