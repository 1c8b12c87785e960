package trial

import (
	"errors"
	"fmt"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Audit compares the results of callers with the executions on backend servers.
type Audit struct {
	Requests int
	OK       int // complete responses
	NotRun   int // refusals that state that the request did not run
	Unknown  int // all others

	RanTwice      []mesh.RequestID // not idempotent and ran more than once
	FalseNotRun   []mesh.RequestID // refused as not run but ran
	Missing       []mesh.RequestID // answered but not in a journal
	WrongResponse []mesh.RequestID // response of another request or with a wrong body
}

// NewAudit compares results with the journals of all backend servers. Request
// ids must be unique.
func NewAudit(results []Result, runs []backend.Execution) Audit {
	count := make(map[mesh.RequestID]int)
	for _, e := range runs {
		count[e.Request]++
	}
	a := Audit{Requests: len(results)}
	for _, r := range results {
		id := r.Request.ID
		n := count[id]
		if n > 1 && !r.Request.Idempotent {
			a.RanTwice = append(a.RanTwice, id)
		}
		switch {
		case r.OK():
			a.OK++
			if n == 0 {
				a.Missing = append(a.Missing, id)
			}
		case r.NotRun():
			a.NotRun++
			if n > 0 {
				a.FalseNotRun = append(a.FalseNotRun, id)
			}
		default:
			a.Unknown++
		}
		if r.Status/100 == 2 && r.Err != nil && isWrongResponse(r.Err) {
			a.WrongResponse = append(a.WrongResponse, id)
		}
	}
	return a
}

// isWrongResponse reports whether err stands for a response that looked complete
// but belongs to another request or has a wrong body.
func isWrongResponse(err error) bool {
	return errors.Is(err, errOtherRequest) || errors.Is(err, backend.ErrWrongBody)
}

// Check returns an error if a non-idempotent request ran more than once, a
// request refused as not run did run, an answered request never ran, or a
// response did not match its request.
func (a Audit) Check() error {
	var errs []error
	for _, c := range []struct {
		what string
		ids  []mesh.RequestID
	}{
		{"ran more than once", a.RanTwice},
		{"refused as not run but ran", a.FalseNotRun},
		{"answered but never ran", a.Missing},
		{"answered with a wrong response", a.WrongResponse},
	} {
		if len(c.ids) > 0 {
			errs = append(errs, fmt.Errorf("%d requests %s, such as %v", len(c.ids), c.what, c.ids[:min(5, len(c.ids))]))
		}
	}
	return errors.Join(errs...)
}

// String formats the counts of a on one line.
func (a Audit) String() string {
	return fmt.Sprintf("requests %d: ok %d, not run %d, unknown %d; ran twice %d, false not-run %d, missing %d, wrong response %d",
		a.Requests, a.OK, a.NotRun, a.Unknown, len(a.RanTwice), len(a.FalseNotRun), len(a.Missing), len(a.WrongResponse))
}
