package demand

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// ratioTime is the time constant of the number of calls per run.
	ratioTime = 30 * time.Second
	// minRuns is the number of runs of a route from which its calls per run are known.
	minRuns = 10
	// minRatio is the number of calls per run from which a service matters for a route.
	// On a server that always runs requests of several routes, up to 0.15 calls per run
	// are attributed to a route that makes none.
	minRatio = 0.2
	// unknownRatio is the number of calls per run assumed of a route that made none, when
	// a call is attributed to the running requests.
	unknownRatio = 0.02
)

// runs holds the runs of one route on the backend server beside this node.
type runs struct {
	running int
	total   decayed
	calls   map[mesh.Service]*decayed
}

// ratio returns the number of calls to s per run, 0 if it is not known.
func (r *runs) ratio(s mesh.Service, now time.Time) float64 {
	n := r.total.at(now, ratioTime)
	c := r.calls[s]
	if c == nil || n < minRuns {
		return 0
	}
	return c.at(now, ratioTime) / n
}

// attribute divides one call to s among the running requests, in proportion to the calls
// that their routes are known to make.
func (t *Tracker) attribute(s mesh.Service, now time.Time) {
	sum := 0.0
	for _, r := range t.runs {
		sum += float64(r.running) * (r.ratio(s, now) + unknownRatio)
	}
	if sum == 0 {
		return
	}
	shares := make(map[*runs]float64, len(t.runs)) // of the ratios before any is changed
	for _, r := range t.runs {
		if r.running > 0 {
			shares[r] = float64(r.running) * (r.ratio(s, now) + unknownRatio) / sum
		}
	}
	for r, share := range shares {
		c := r.calls[s]
		if c == nil {
			c = new(decayed)
			r.calls[s] = c
		}
		c.add(now, ratioTime, share)
	}
}
