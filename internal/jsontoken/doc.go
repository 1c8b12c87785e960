// Package jsontoken decodes a JSON object token by token.
//
// json.Unmarshal refuses a whole document for one invalid element, and for a value that is
// nested more than 10,000 levels deep. A Decoder distinguishes an invalid element, after
// which it continues, from a document that is not JSON, and has no limit of nesting.
package jsontoken
