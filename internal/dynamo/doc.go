// Package dynamo is a client of the platform of a node that stores its own
// configuration: the transactional table, over the DynamoDB protocol, and the
// object store, over the S3 protocol.
//
// The package classifies failed requests. An operation that certainly had no
// effect fails with fault.PlatformUnavailable; one that may have had an effect is
// resolved by reading, or fails with fault.OutcomeUnknown. Requests are limited
// by token buckets per client, so that a node cannot overload the platform.
package dynamo
