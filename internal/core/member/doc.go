// Package member is the membership state machine of a node: probing,
// suspicion, refutation, leaving and the spread of member updates.
//
// The package does no input or output and reads no clock. Callers pass the
// time and the messages received, and send the messages returned.
package member
