// Package trial starts small meshes of real processes on kernel-assigned ports
// for integration tests and for the load tool.
//
// A mesh has one platform stand-in and, for each node, one lavenderrill process
// and one backend stand-in. Each node can have a relay in front of its peer
// listener; relays run in the process that imports this package. Every process
// is a child that is killed when its parent ends, and is signalled only by its
// process id.
package trial
