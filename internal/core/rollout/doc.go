// Package rollout decides on the roll-out of a version of a service: which backend
// servers of the new version get requests, how many, and whether the version completes
// or is rolled back.
//
// A Decider receives the cumulative counts of the gates of a service and answers each
// report with a Directive. It has no clock and no I/O. A Decider that takes over from
// another one learns the state from the reports.
package rollout
