package trial

import (
	"errors"
	"fmt"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Audit is the comparison of what callers saw with what backend servers ran.
type Audit struct {
	Requests int
	OK       int // complete responses
	NotRun   int // refusals that say that the request did not run
	Unknown  int // all others

	RanTwice      []mesh.RequestID // not idempotent and ran more than once
	FalseNotRun   []mesh.RequestID // refused as not run but ran
	Missing       []mesh.RequestID // answered but not in a journal
	WrongResponse []mesh.RequestID // response of another request or with a wrong body
}

// NewAudit compares results with the journals of all backend servers. The ids
// of requests must be unique.
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
		if r.Status/100 == 2 && r.Err != nil && isWrong(r.Err) {
			a.WrongResponse = append(a.WrongResponse, id)
		}
	}
	return a
}

// isWrong reports whether err is a response that looked complete and was not
// the right one.
func isWrong(err error) bool {
	return errors.Is(err, errOtherRequest) || errors.Is(err, backend.ErrWrongBody)
}

// Check returns an error if a request ran twice, a refusal was wrong or a
// response did not belong to its request.
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

// String returns the counts of a.
func (a Audit) String() string {
	return fmt.Sprintf("requests %d: ok %d, not run %d, unknown %d; twice %d, false not-run %d, missing %d, crossed %d",
		a.Requests, a.OK, a.NotRun, a.Unknown, len(a.RanTwice), len(a.FalseNotRun), len(a.Missing), len(a.WrongResponse))
}
