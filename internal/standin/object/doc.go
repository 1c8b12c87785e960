// Package object is an in-memory stand-in of an object store that speaks a
// subset of the S3 protocol with path-style addresses.
//
// It supports creating buckets and putting, getting, heading and deleting
// objects. Uploads in the aws-chunked encoding are decoded and checksums are
// verified. Signatures must be present and are not verified.
package object
