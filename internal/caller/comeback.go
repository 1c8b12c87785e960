package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

const (
	// comebackShare is the largest share of its remaining time after which a
	// refused caller is told to come back: callers honour no more, and it leaves
	// time for the request itself.
	comebackShare = 1.0 / 3
	// comebackSpread is the least part of the time to come back. Callers that
	// were refused together come back spread over the rest, not all at once.
	comebackSpread = 0.3
	// workMargin times the work is the time before the end of the target at which a
	// caller is back if its answer is to be in time.
	workMargin = 1.2
	// leastSlack is the least time up to then that is worth using.
	leastSlack = 30 * time.Millisecond
	// movedWait is the time after which a caller comes back that was refused
	// because an endpoint or a node was about to change. Membership spreads in
	// less.
	movedWait = 200 * time.Millisecond
)

// refused is what is known of a refused request when its caller is told when to
// come back.
type refused struct {
	kind   fault.Kind
	left   time.Duration // that the caller still waits
	waited time.Duration // that it has waited, over all its attempts
	target time.Duration // latency within which an answer is of full worth
	work   time.Duration // that the request takes
}

// comeback returns the time after which the caller may come back, 0 if it should
// not. A caller that can still be answered in time is called back for that; one
// that cannot comes back as late as it may, since bursts last longer than most
// callers wait. Random is in [0,1).
func comeback(r refused, random float64) time.Duration {
	longest := time.Duration(comebackShare * float64(r.left))
	switch r.kind {
	case fault.Overloaded, fault.Throttled:
		if slack := r.target - time.Duration(workMargin*float64(r.work)) - r.waited; slack >= leastSlack {
			longest = min(longest, slack)
		}
		return time.Duration(float64(longest) * (comebackSpread + (1-comebackSpread)*random))
	case fault.Draining, fault.NoEndpoint, fault.NotReady:
		return min(movedWait, longest)
	}
	return 0
}

// setComeback sets when the caller of q may come back after refusal e, which may
// be shared.
func (c *Caller) setComeback(q *call, e *fault.Error) *fault.Error {
	if e.Run != fault.NotRun || e.RetryAfter > 0 || q.until.IsZero() {
		return e
	}
	r := refused{kind: e.Kind, left: time.Until(q.until)}
	if q.route != nil {
		r.target = q.route.Policy.Target
		r.work = c.picker.MeanServiceTime(q.service, q.rank(), r.target)
		r.waited = c.patience.longest(q.route.Name) - r.left
	}
	d := comeback(r, rand.Float64())
	if d <= 0 {
		return e
	}
	n := *e
	n.RetryAfter = d
	return &n
}

// patience learns how long the callers of each route wait in all, from the longest
// time that any of them had left: that of a first attempt. An attempt with less is
// taken to have been refused before. Callers of one route that wait for different
// times are taken for such, too; they only come after others in an overload.
type patience struct {
	routes sync.Map // name of the route -> *waits
}

// waits holds the longest time of the present and the last period.
type waits struct {
	mu            sync.Mutex
	begun         time.Time
	present, last time.Duration
}

// patiencePeriod is the time after which a longest time is forgotten that did not
// come again.
const patiencePeriod = 10 * time.Second

// note takes in that a caller has the given time left at now.
func (p *patience) note(r string, left time.Duration, now time.Time) {
	w := p.of(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.begun) > patiencePeriod {
		w.begun, w.last, w.present = now, w.present, 0
	}
	w.present = max(w.present, left)
}

// retain forgets the routes that are not in s.
func (p *patience) retain(s *config.Snapshot) {
	held := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		held[s.Routes[i].Name] = true
	}
	p.routes.Range(func(r, _ any) bool {
		if !held[r.(string)] {
			p.routes.Delete(r)
		}
		return true
	})
}

// longest returns the time that callers of r wait in all, 0 if it is not known.
func (p *patience) longest(r string) time.Duration {
	w := p.of(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.present, w.last)
}

func (p *patience) of(r string) *waits {
	if v, ok := p.routes.Load(r); ok {
		return v.(*waits)
	}
	v, _ := p.routes.LoadOrStore(r, new(waits))
	return v.(*waits)
}

// targetLeft returns the time that is left at now for an answer to q of full worth,
// counted from the first attempt of its caller. It is not known for a caller that
// did not say how long it waits, or on a route without a target.
func (c *Caller) targetLeft(q *call, now time.Time) (time.Duration, bool) {
	target := q.route.Policy.Target
	if target <= 0 || q.until.IsZero() {
		return 0, false
	}
	waited := c.patience.longest(q.route.Name) - q.until.Sub(now)
	return max(target-waited, 0), true
}
