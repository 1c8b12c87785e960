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
	maxRetryDelayFraction = 1.0 / 3
	// comebackSpread is the least part of the time to come back. Callers that
	// were refused together come back spread over the rest, not all at once.
	minJitterFraction = 0.3
	// workMargin times the work is the time before the end of the target at which a
	// caller is back if its answer is to be in time.
	serviceTimeMargin = 1.2
	// leastSlack is the least time up to then that is worth using.
	minSlack = 30 * time.Millisecond
	// movedWait is the time after which a caller comes back that was refused
	// because an endpoint or a node was about to change. Membership spreads in
	// less.
	memberChangeDelay = 200 * time.Millisecond
)

// refused is what is known of a refused request when its caller is told when to
// come back.
type refusal struct {
	kind        fault.Kind
	remaining   time.Duration // that the caller still waits
	waited      time.Duration // that it has waited, over all its attempts
	target      time.Duration // latency within which an answer is of full worth
	serviceTime time.Duration // that the request takes
}

// comeback returns the time after which the caller may come back, 0 if it should
// not. A caller that can still be answered in time is called back for that; one
// that cannot comes back as late as it may, since bursts last longer than most
// callers wait. Random is in [0,1).
func retryDelay(r refusal, random float64) time.Duration {
	maxDelay := time.Duration(maxRetryDelayFraction * float64(r.remaining))
	switch r.kind {
	case fault.Overloaded, fault.Throttled:
		if slack := r.target - time.Duration(serviceTimeMargin*float64(r.serviceTime)) - r.waited; slack >= minSlack {
			maxDelay = min(maxDelay, slack)
		}
		return time.Duration(float64(maxDelay) * (minJitterFraction + (1-minJitterFraction)*random))
	case fault.Draining, fault.NoEndpoint, fault.NotReady:
		return min(memberChangeDelay, maxDelay)
	}
	return 0
}

// setComeback sets when the caller of q may come back after refusal e, which may
// be shared.
func (c *Caller) withRetryDelay(q *call, e *fault.Error) *fault.Error {
	if e.Run != fault.NotRun || e.RetryAfter > 0 || q.callerDeadline.IsZero() {
		return e
	}
	r := refusal{kind: e.Kind, remaining: time.Until(q.callerDeadline)}
	if q.route != nil {
		r.target = q.route.Policy.Target
		r.serviceTime = c.picker.MeanServiceTime(q.service, q.rank(), r.target)
		r.waited = c.callerTimeouts.estimate(q.route.Name) - r.remaining
	}
	d := retryDelay(r, rand.Float64())
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
type callerTimeouts struct {
	routes sync.Map // name of the route -> *waits
}

// waits holds the longest time of the present and the last period.
type timeoutWindow struct {
	mu                sync.Mutex
	started           time.Time
	current, previous time.Duration
}

// patiencePeriod is the time after which a longest time is forgotten that did not
// come again.
const timeoutPeriod = 10 * time.Second

// note takes in that a caller has the given time left at now.
func (p *callerTimeouts) observe(r string, left time.Duration, now time.Time) {
	w := p.window(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.started) > timeoutPeriod {
		w.started, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, left)
}

// retain forgets the routes that are not in s.
func (p *callerTimeouts) retain(s *config.Snapshot) {
	configured := make(map[string]bool, len(s.Routes))
	for i := range s.Routes {
		configured[s.Routes[i].Name] = true
	}
	p.routes.Range(func(r, _ any) bool {
		if !configured[r.(string)] {
			p.routes.Delete(r)
		}
		return true
	})
}

// longest returns the time that callers of r wait in all, 0 if it is not known.
func (p *callerTimeouts) estimate(r string) time.Duration {
	w := p.window(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.current, w.previous)
}

func (p *callerTimeouts) window(r string) *timeoutWindow {
	if v, ok := p.routes.Load(r); ok {
		return v.(*timeoutWindow)
	}
	v, _ := p.routes.LoadOrStore(r, new(timeoutWindow))
	return v.(*timeoutWindow)
}

// targetLeft returns the time that is left at now for an answer to q of full worth,
// counted from the first attempt of its caller. It is not known for a caller that
// did not say how long it waits, or on a route without a target.
func (c *Caller) targetLeft(q *call, now time.Time) (time.Duration, bool) {
	target := q.route.Policy.Target
	if target <= 0 || q.callerDeadline.IsZero() {
		return 0, false
	}
	waited := c.callerTimeouts.estimate(q.route.Name) - q.callerDeadline.Sub(now)
	return max(target-waited, 0), true
}
