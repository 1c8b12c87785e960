// Package era tracks how often a store was restored from a copy.
//
// What was written to the store after the copy was made is lost, and positions in its
// sequence of transactions are given out again, so that those of different eras cannot be
// compared. The package performs no I/O and reads no clock; a Tracker is safe for
// concurrent use.
package era
