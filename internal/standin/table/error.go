package table

import (
	"errors"
	"fmt"
	"net/http"
)

// apiError is an error of the protocol.
type apiError struct {
	Type    string   `json:"__type"`
	Message string   `json:"message"`
	Reasons []reason `json:"CancellationReasons,omitempty"`
	Item    Item     `json:"Item,omitempty"` // of a ConditionalCheckFailedException

	status int
}

// reason says why one part of a transaction failed, or that it did not.
type reason struct {
	Code    string
	Message string `json:",omitempty"`
	Item    Item   `json:",omitempty"`
}

func (e *apiError) Error() string { return e.Type + ": " + e.Message }

const servicePrefix = "com.amazonaws.dynamodb.v20120810#"

func newError(name, format string, args ...any) *apiError {
	return &apiError{Type: servicePrefix + name, Message: fmt.Sprintf(format, args...), status: http.StatusBadRequest}
}

func validation(format string, args ...any) error {
	e := newError("", format, args...)
	e.Type = "com.amazon.coral.validate#ValidationException"
	return e
}

const conditionFailed = "The conditional request failed"

func notFound() error {
	return newError("ResourceNotFoundException", "Requested resource not found")
}

// asError returns err as an error of the protocol.
func asError(err error) *apiError {
	var e *apiError
	if errors.As(err, &e) {
		return e
	}
	return &apiError{Type: servicePrefix + "InternalServerError", Message: err.Error(), status: http.StatusInternalServerError}
}
