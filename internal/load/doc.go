// Package load runs load experiments against meshes of real processes and
// reports the measurements.
//
// An experiment is a YAML file that describes a mesh, which package trial
// starts, and the phases to run on it in order. A phase sends requests
// open-loop, submits configuration edits and injects faults, all at times that
// do not depend on the responses of the mesh. Latency is measured from the
// intended start of a request, so that a delayed client does not hide waiting
// time. All traffic uses loopback addresses.
package load
