package table

import (
	"errors"
	"fmt"
	"net/http"
)

// apiError is an error response of the protocol.
type apiError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
	Item    Item                 `json:"Item,omitempty"` // current item of a ConditionalCheckFailedException

	status int
}

// cancellationReason is the result of one operation of a canceled transaction;
// Code is None if that operation did not fail.
type cancellationReason struct {
	Code    string
	Message string `json:",omitempty"`
	Item    Item   `json:",omitempty"`
}

func (e *apiError) Error() string { return e.Type + ": " + e.Message }

const servicePrefix = "com.amazonaws.dynamodb.v20120810#"

func newError(name, format string, args ...any) *apiError {
	return &apiError{Type: servicePrefix + name, Message: fmt.Sprintf(format, args...), status: http.StatusBadRequest}
}

func validationError(format string, args ...any) error {
	e := newError("", format, args...)
	e.Type = "com.amazon.coral.validate#ValidationException"
	return e
}

const conditionFailedMessage = "The conditional request failed"

func resourceNotFound() error {
	return newError("ResourceNotFoundException", "Requested resource not found")
}

// toAPIError returns err as an error response of the protocol.
func toAPIError(err error) *apiError {
	var e *apiError
	if errors.As(err, &e) {
		return e
	}
	return &apiError{Type: servicePrefix + "InternalServerError", Message: err.Error(), status: http.StatusInternalServerError}
}
