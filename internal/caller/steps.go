package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// gateGrace is the time after the deadline during which the refusal of a gate
// is awaited. A gate refuses a queued request at its deadline; without that
// refusal the request would end as outcome_unknown although it did not run.
const gateGrace = 100 * time.Millisecond

// route selects the route and service of q and sets its deadline.
func (c *Caller) route(ctx context.Context, q *call) (context.Context, error) {
	allow, e := c.selectRoute(q)
	if e != nil {
		if len(allow) > 0 {
			q.w.Header().Set("Allow", strings.Join(allow, ", "))
		}
		return ctx, e
	}
	if !q.callerDeadline.IsZero() {
		c.callerTimeouts.observe(q.route.Name, q.callerDeadline.Sub(q.arrived), q.arrived)
	}
	if e := q.expired(); e != nil {
		return ctx, e
	}
	q.ctx, q.cancel = context.WithDeadline(ctx, q.deadline.Add(gateGrace))
	return q.ctx, nil
}

// selectRoute is route without effects other than on q. If only the method does not match,
// it also returns the methods that are allowed.
func (c *Caller) selectRoute(q *call) (allow []string, e *fault.Error) {
	q.table = c.currentTable()
	if q.table == nil {
		return nil, fault.New(fault.NotReady, "node holds no configuration")
	}
	r, allow, e := match(q.table, q.in)
	if e != nil {
		return allow, e
	}
	q.route, q.service = r, selectService(r, rand.IntN)
	q.account, q.accountRank = r.Account, r.Policy.Name
	limit := r.Deadline
	if limit <= 0 {
		limit = c.cfg.Deadline
	}
	if d := q.arrived.Add(limit); q.deadline.IsZero() || d.Before(q.deadline) {
		q.deadline = d
	}
	return nil, nil
}

// expired returns the refusal of q if its deadline had passed on arrival.
func (q *call) expired() *fault.Error {
	if !q.deadline.After(q.arrived) {
		return fault.New(fault.DeadlineExceeded, "deadline had passed on arrival")
	}
	return nil
}

// selectService returns the service for one request on r: that of the route, or
// one of its shares with a probability proportional to its weight. intN returns
// a random number below its argument.
func selectService(r *route.Route, intN func(int) int) mesh.Service {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return r.Service
	}
	n := intN(total)
	for _, s := range r.Split {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Service
}

// match returns the route of r, or the refusal and the methods that are allowed
// on the path.
func match(t *route.Table, r *http.Request) (*route.Route, []string, *fault.Error) {
	host, err := route.NormalizeHost(r.Host)
	if err != nil {
		return nil, nil, fault.Newf(fault.BadRequest, "%w", err)
	}
	if t.Snapshot().Literal {
		if m := t.MatchLiteral(host, r.URL.EscapedPath()); m != nil {
			return m, nil, nil
		}
		return nil, nil, fault.New(fault.NoRoute, "no route matches host and path")
	}
	path, err := route.NormalizeURLPath(r.URL)
	if err != nil {
		return nil, nil, fault.Newf(fault.BadRequest, "%w", err)
	}
	m := t.Match(r.Method, host, path)
	switch {
	case m.Route != nil:
		return m.Route, nil, nil
	case len(m.Allow) > 0:
		return nil, m.Allow, fault.New(fault.MethodNotAllowed, "route does not allow the method")
	}
	return nil, nil, fault.New(fault.NoRoute, "no route matches host and path")
}

// retryAfterSeconds returns wait in whole seconds, rounded up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.FormatInt(int64((wait+time.Second-1)/time.Second), 10)
}

// throttle refuses a share of the requests that gates would refuse.
func (c *Caller) throttle(ctx context.Context, q *call) (context.Context, error) {
	c.selectThrottle(q)
	underPressure := func() bool { return c.pressure(q) >= throttlePressure }
	if q.isUnthrottled() || c.throttles.Allow(q.service, q.throttle, q.arrived, underPressure) {
		return ctx, nil
	}
	return ctx, throttledRefusal()
}

// selectThrottle sets the rank under which q is throttled.
func (c *Caller) selectThrottle(q *call) {
	q.throttle = throttleRank(q)
	if left, ok := c.targetLeft(q, q.arrived); ok && left < c.picker.MeanServiceTime(q.service, q.rank(), q.route.Policy.Target) {
		// Gates first refuse requests that cannot meet the target. Those
		// refusals must not throttle requests that can.
		q.throttle += lateSuffix
	}
}

// isUnthrottled reports whether q is a nested call, whose refusal would fail the request that
// made it.
func (q *call) isUnthrottled() bool { return q.origin == originCall }

// pressure returns the lowest pressure for the rank of q that endpoints report.
func (c *Caller) pressure(q *call) float64 {
	return c.picker.MinPressure(q.service, q.rank(), q.arrived)
}

func throttledRefusal() *fault.Error {
	return fault.New(fault.Throttled, "all endpoints sampled report pressure for the rank")
}

// lateSuffix is appended to the rank of requests that can no longer meet their
// target. They are throttled separately.
const lateSuffix = "/late"

// throttlePressure is the pressure at which an endpoint counts as overloaded.
// Requests are throttled if all sampled endpoints reach it.
const throttlePressure = 0.5
