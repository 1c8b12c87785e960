// Package version implements the configuration state of a node: the version it
// holds, the deltas that lead to it, the action for an offered version, the
// members to push a new version to, and the members that read the platform.
//
// The package performs no I/O and reads no clock.
package version
