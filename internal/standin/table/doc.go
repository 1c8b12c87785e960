// Package table is an in-memory stand-in of a table service that speaks the
// JSON protocol of DynamoDB over HTTP.
//
// It supports tables with the string keys pk and sk, the operations that
// lavenderrill uses, conditions, and transactions with idempotency tokens.
// Signatures must be present but are not verified. Limits on item size and
// transaction length are those of the real service.
package table
