// Package object is an in-memory stand-in of an object store that speaks a
// subset of the S3 protocol with path-style addresses.
//
// It supports the operations CreateBucket, HeadBucket, PutObject, GetObject,
// HeadObject and DeleteObject. Uploads in the aws-chunked encoding are decoded
// and checksums are verified. Signatures must be present but are not verified.
package object
