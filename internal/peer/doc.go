// Package peer connects a node to the other nodes of its mesh.
//
// Membership travels in authenticated datagrams (package
// internal/core/member decides what to send). Configuration travels over HTTP
// by the connect protocol: a new version is pushed along a tree, and nodes
// that missed a push fetch it from any peer that shows a higher version.
// Requests that other nodes forward to the gate of this node arrive on the
// same TCP listener and are handed to Config.Gate.
package peer
