package object

import (
	"encoding/xml"
	"errors"
	"net/http"
)

// apiError is an error response of the protocol.
type apiError struct {
	XMLName  xml.Name `xml:"Error"`
	Code     string
	Message  string
	Resource string `xml:",omitempty"`

	status int
}

func (e *apiError) Error() string { return e.Code + ": " + e.Message }

func newError(status int, code, message string) *apiError {
	return &apiError{Code: code, Message: message, status: status}
}

var (
	errNoSuchKey      = newError(http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
	errNoSuchBucket   = newError(http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist")
	errBucketOwned    = newError(http.StatusConflict, "BucketAlreadyOwnedByYou", "Your previous request to create the named bucket succeeded and you already own it.")
	errAccessDenied   = newError(http.StatusForbidden, "AccessDenied", "Access Denied")
	errNotImplemented = newError(http.StatusNotImplemented, "NotImplemented", "This stand-in does not implement the operation.")
	errPrecondition   = newError(http.StatusPreconditionFailed, "PreconditionFailed", "At least one of the pre-conditions you specified did not hold")
	errBadDigest      = newError(http.StatusBadRequest, "BadDigest", "The checksum you specified did not match the calculated checksum.")
	errContentSHA     = newError(http.StatusBadRequest, "XAmzContentSHA256Mismatch", "The provided 'x-amz-content-sha256' header does not match what was computed.")
	errIncompleteBody = newError(http.StatusBadRequest, "IncompleteBody", "You did not provide the number of bytes specified by the Content-Length HTTP header.")
	errInvalidRange   = newError(http.StatusRequestedRangeNotSatisfiable, "InvalidRange", "The requested range is not satisfiable")
	errSlowDown       = newError(http.StatusServiceUnavailable, "SlowDown", "Please reduce your request rate.")
	errUnavailable    = newError(http.StatusServiceUnavailable, "ServiceUnavailable", "Service is unable to handle request.")
)

// writeError writes err as an error response. Responses to HEAD have no body.
func writeError(w http.ResponseWriter, isHead bool, err error) {
	var e *apiError
	if !errors.As(err, &e) {
		e = newError(http.StatusInternalServerError, "InternalError", err.Error())
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(e.status)
	if isHead {
		return
	}
	b, err := xml.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.Write(append([]byte(xml.Header), b...))
}
