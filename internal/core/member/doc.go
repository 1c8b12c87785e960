// Package member implements the membership state machine of a node: probing,
// suspicion, refutation, leaving and the dissemination of member updates.
//
// The package performs no I/O and reads no clock. Callers pass in the time and
// the messages received, and send the messages returned.
package member
