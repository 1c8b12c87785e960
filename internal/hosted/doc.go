// Package hosted builds and runs one node of the mesh on a platform that provides
// its settings, a metadata store and the heartbeats of the backend server on the same
// VM.
//
// A few nodes, the watchers, follow the configuration in the store, and the other
// nodes follow a watcher. A node whose watcher fails reads the store itself, so that
// a version is active on each node that reaches the store, whichever other nodes it
// reaches. Nodes discover each other through rows of the store that are written at
// start and removed at a planned stop; from then on membership spreads by datagrams
// between the nodes.
package hosted
