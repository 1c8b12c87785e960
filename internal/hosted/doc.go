// Package hosted builds one node of the mesh on a platform that gives it its
// settings, a metadata store and the heartbeats of the backend server beside it,
// and runs the node.
//
// Every node watches the configuration in the store itself, so that a version is
// in force on each node that reaches the store, whichever other nodes it
// reaches. Nodes find each other through rows of the store that are written at
// start and removed at a planned stop; from then on membership spreads by
// datagrams between the nodes.
package hosted
