// Package trial starts small meshes of real processes on kernel-assigned ports
// for integration tests and for the load tool.
//
// A mesh has one platform stand-in and, for each node, one lavenderrill process
// and one backend stand-in. Each node can have a relay in front of its peer
// listener, which runs in the process of the caller of this package. Every
// process is started as a child that ends with its parent and is signalled by
// its process id only.
package trial
