// Package version is the configuration state of a node: the version it holds,
// the deltas that lead to it, what to do about an offered version, whom to
// push a new version to, and which nodes read the platform.
//
// The package does no input or output and reads no clock.
package version
