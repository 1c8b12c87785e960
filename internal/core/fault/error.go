package fault

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Header names of a refusal.
const (
	KindHeader = "Lavenderrill-Kind"
	RunHeader  = "Lavenderrill-Run"
	// SentHeader is set if the request was sent to a backend server.
	SentHeader = "Lavenderrill-Sent"
	// ThisOnlyHeader is set if the refusal does not concern other requests.
	ThisOnlyHeader = "Lavenderrill-This-Only"
)

// Error is an error with a kind and a run state.
type Error struct {
	Kind   Kind
	Run    RunState
	Reason string
	Err    error // cause, may be nil
	// Sent means that the request was sent to a backend server, whether it ran or
	// not.
	Sent bool
	// ThisOnly means that the reason lies in this request, so that the endpoint may
	// accept others.
	ThisOnly bool
	// RetryAfter is the time after which the caller may retry, 0 if unknown.
	RetryAfter time.Duration
}

// maxReasonBytes limits a reason, which is part of responses and log lines. The cause may
// quote what a peer sent.
const maxReasonBytes = 512

// New returns an error of kind k with the default run state of k. A long reason is cut.
func New(k Kind, reason string) *Error {
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "") + "..."
	}
	return &Error{Kind: k, Run: LookupKind(k).Run, Reason: reason}
}

// Newf is New with a formatted reason. A %w verb sets the cause.
func Newf(k Kind, format string, args ...any) *Error {
	err := fmt.Errorf(format, args...)
	e := New(k, err.Error())
	e.Err = errors.Unwrap(err)
	return e
}

// WithRun returns a copy of e with run state r.
func (e *Error) WithRun(r RunState) *Error {
	c := *e
	c.Run = r
	return &c
}

// Error implements error. The kind is not repeated if the reason, which may be that
// of a wrapped error, begins with it.
func (e *Error) Error() string {
	prefix := string(e.Kind) + ": "
	if strings.HasPrefix(e.Reason, prefix) {
		return e.Reason
	}
	return prefix + e.Reason
}

// Unwrap returns the cause of e.
func (e *Error) Unwrap() error { return e.Err }

// From returns the *Error in the chain of err, or an Internal one that wraps
// err. From returns nil if err is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	n := New(Internal, err.Error())
	n.Err = err
	return n
}

// Is reports whether the chain of err holds an *Error of kind k.
func Is(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Body is the JSON body of a refusal.
type Body struct {
	Kind    Kind           `json:"kind"`
	Reason  string         `json:"reason"`
	Run     RunState       `json:"run"`
	Request mesh.RequestID `json:"request,omitempty"`
}

// Write responds to a request with e. It must be called before any other part
// of the response is written. Connection errors are ignored, since no one is
// left to receive a response.
func Write(w http.ResponseWriter, e *Error, id mesh.RequestID) {
	h := w.Header()
	h.Set(KindHeader, string(e.Kind))
	h.Set(RunHeader, string(e.Run))
	if e.Sent {
		h.Set(SentHeader, "1")
	}
	if e.ThisOnly {
		h.Set(ThisOnlyHeader, "1")
	}
	h.Set("Content-Type", "application/json")
	w.WriteHeader(LookupKind(e.Kind).Status)
	b, err := json.Marshal(Body{Kind: e.Kind, Reason: e.Reason, Run: e.Run, Request: id})
	if err != nil {
		return
	}
	_, _ = w.Write(append(b, '\n'))
}

// FromHeader returns the refusal that a response of another node carries, or
// nil if the response is not a refusal.
func FromHeader(h http.Header) *Error {
	k := Kind(h.Get(KindHeader))
	if k == "" {
		return nil
	}
	e := New(k, "refused by peer")
	if RunState(h.Get(RunHeader)) != NotRun {
		e.Run = RunUnknown
	}
	e.Sent = h.Get(SentHeader) != ""
	e.ThisOnly = h.Get(ThisOnlyHeader) != ""
	return e
}
