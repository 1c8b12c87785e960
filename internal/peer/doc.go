// Package peer connects a node to the other nodes of its mesh.
//
// Membership updates are exchanged in authenticated datagrams; package
// internal/core/member decides what to send. Configuration is distributed over
// HTTP with the Connect protocol: a new version is pushed along a tree, and a
// node that missed a push fetches the version from any peer that reports a
// higher one. Requests that other nodes forward to the gate of this node arrive
// on the same TCP listener and are passed to Config.Gate.
package peer
