// Package config defines the configuration of a mesh: the documents that
// operators edit, their validation, and the compiled form that nodes serve.
//
// Compilation is a pure function from a manifest and its parts to a Snapshot. A
// Snapshot is also built from a Definition, which a platform has decoded from a form of
// its own. A Snapshot is immutable and safe for concurrent use.
package config
