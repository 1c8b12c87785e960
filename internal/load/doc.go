// Package load runs experiments against meshes of real processes and reports
// what was measured.
//
// An experiment is a YAML file. It describes a mesh, which package trial
// starts, and phases that follow one another on it. A phase offers requests
// open-loop, accepts edits, and injects faults, each at times that do not
// depend on the mesh's answers. Latency is counted from the intended start of
// a request, so that a client that falls behind does not hide waiting time.
// All traffic goes to loopback addresses.
package load
