package caller

import (
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

const (
	// maxRetryDelayFraction is the longest retry delay, as a fraction of the
	// remaining time of the caller: callers honor at most this, and the rest is
	// left for the request itself.
	maxRetryDelayFraction = 1.0 / 3
	// minJitterFraction is the shortest retry delay, as a fraction of the
	// longest. The range above it spreads the retries of callers that are
	// refused together.
	minJitterFraction = 0.3
	// serviceTimeMargin is the multiple of the service time that must be left
	// until the target when a caller retries, so that the response can be in
	// time.
	serviceTimeMargin = 1.2
	// minSlack is the shortest retry delay for which the target is considered
	// reachable.
	minSlack = 30 * time.Millisecond
	// memberChangeDelay is the retry delay after a refusal because an endpoint
	// or a node is about to change. Membership updates spread in less time.
	memberChangeDelay = 200 * time.Millisecond
)

// refusal describes a refused request, to compute its retry delay.
type refusal struct {
	kind        fault.Kind
	remaining   time.Duration // until the deadline of the caller
	waited      time.Duration // since the first attempt of the caller
	target      time.Duration // latency within which a response has full worth
	serviceTime time.Duration // expected duration of the request
}

// retryDelay returns the time after which the caller may retry, or 0 if it
// should not. If the target can still be met, the delay leaves enough time for
// that. Otherwise it is as long as the deadline allows, less jitter, since bursts
// last longer than most callers wait. The argument random is in [0,1).
func retryDelay(r refusal, random float64) time.Duration {
	maxDelay := time.Duration(maxRetryDelayFraction * float64(r.remaining))
	switch r.kind {
	case fault.Overloaded, fault.Throttled:
		if slack := r.target - time.Duration(serviceTimeMargin*float64(r.serviceTime)) - r.waited; slack >= minSlack {
			maxDelay = min(maxDelay, slack)
		}
		return jittered(maxDelay, random)
	case fault.Draining, fault.NoEndpoint, fault.NotReady:
		return min(memberChangeDelay, maxDelay)
	}
	return 0
}

// jittered returns a delay between minJitterFraction of longest and longest.
func jittered(longest time.Duration, random float64) time.Duration {
	return time.Duration(float64(longest) * (minJitterFraction + (1-minJitterFraction)*random))
}

// outlastDelay returns the retry delay of a request that would have outlasted a stopping
// node. A stop takes seconds, so that the delay is as long as the deadline allows, less
// jitter. If it is the node of the caller that stops, callers use other nodes after
// switchIn.
func outlastDelay(remaining, switchIn time.Duration, random float64) time.Duration {
	maxDelay := time.Duration(maxRetryDelayFraction * float64(remaining))
	return max(jittered(maxDelay, random), min(switchIn, maxDelay))
}

// withRetryDelay returns e with the retry delay of q. It copies e, which may be
// shared, unless there is no delay to set.
func (c *Caller) withRetryDelay(q *call, e *fault.Error) *fault.Error {
	if e.Run != fault.NotRun || e.RetryAfter > 0 || q.callerDeadline.IsZero() {
		return e
	}
	r := refusal{kind: e.Kind, remaining: time.Until(q.callerDeadline)}
	if q.route != nil {
		r.target = q.route.Policy.Target
		r.serviceTime = c.picker.MeanServiceTime(q.service, q.rank(), r.target)
		r.waited = c.callerTimeout(q) - r.remaining
	}
	d := c.untilFree(q, r, retryDelay(r, rand.Float64()))
	if e.ThisOnly {
		var switchIn time.Duration
		if at := c.switchedAt.Load(); at != nil {
			switchIn = time.Until(*at)
		}
		d = outlastDelay(r.remaining, switchIn, rand.Float64())
	}
	if d <= 0 {
		return e
	}
	n := *e
	n.RetryAfter = d
	return &n
}

// callerTimeouts estimates the timeout of the callers of each route by the
// longest remaining time of any request, which is that of a first attempt. A
// request with less time left is considered a retry. Callers with a shorter
// timeout on the same route are misjudged in the same way, which only lowers
// their precedence in an overload.
type callerTimeouts struct {
	routes sync.Map // route name -> *timeoutWindow
}

// timeoutWindow holds the longest remaining time observed in the current and in
// the previous period.
type timeoutWindow struct {
	mu                sync.Mutex
	started           time.Time
	current, previous time.Duration
}

// timeoutPeriod is the length of a period of a timeoutWindow. The longest time
// of a period expires at the end of the next one.
const timeoutPeriod = 10 * time.Second

// observe records that a caller of r has the given time remaining at now.
func (p *callerTimeouts) observe(r string, remaining time.Duration, now time.Time) {
	w := p.window(r)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.started) > timeoutPeriod {
		w.started, w.previous, w.current = now, w.current, 0
	}
	w.current = max(w.current, remaining)
}

// retain removes the routes that are not in s.
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

// estimate returns the estimated timeout of callers of r, 0 if it is unknown.
func (p *callerTimeouts) estimate(r string) time.Duration {
	v, ok := p.routes.Load(r)
	if !ok {
		return 0
	}
	w := v.(*timeoutWindow)
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

// targetLeft returns the time left at now for a response to q of full worth,
// counted from the first attempt of its caller. It is unknown if the caller
// sent no deadline or the route has no target.
func (c *Caller) targetLeft(q *call, now time.Time) (time.Duration, bool) {
	target := q.route.Policy.Target
	if target <= 0 || q.callerDeadline.IsZero() {
		return 0, false
	}
	waited := c.callerTimeout(q) - q.callerDeadline.Sub(now)
	return max(target-waited, 0), true
}

// targetOf returns the latest time of a response to q of full worth, or zero if it is that of
// the rank.
func (c *Caller) targetOf(q *call, now time.Time) time.Time {
	if left, ok := c.targetLeft(q, now); ok {
		return now.Add(left)
	}
	return time.Time{}
}

// callerTimeout returns the estimated timeout of the caller of q, which has sent a deadline.
func (c *Caller) callerTimeout(q *call) time.Duration {
	return max(c.callerTimeouts.estimate(q.route.Name), q.callerDeadline.Sub(q.arrived))
}
