package backend

import (
	"context"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/rollout"
)

// turn is the part of a call in a roll-out.
type turn struct {
	reserved bool         // it counts in rolloutState.reserved
	counts   *routeCounts // of its route, or nil if it is not counted
	start    time.Time
	began    time.Time // of the counting
	good     bool      // it was counted as done
}

// acquireTurn is acquireObserved for a gate that a roll-out may limit.
func (g *Gate) acquireTurn(ctx context.Context, c *call) *fault.Error {
	if e := g.reserveTurn(c); e != nil {
		g.notifyEndpoint() // other nodes should prefer endpoints that may take requests
		return e
	}
	e := g.acquireObserved(ctx, c)
	if e != nil {
		g.mu.Lock()
		g.releaseTurn(c)
		g.mu.Unlock()
	}
	return e
}

// reserveTurn returns a refusal if the limit of a roll-out does not allow c.
func (g *Gate) reserveTurn(c *call) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.rollout
	if !s.control.Limited || s.control.Closed {
		return nil // closed gates refuse in checkAvailable
	}
	now := time.Now()
	s.tokens = min(s.tokens+s.control.Rate*now.Sub(s.filled).Seconds(), limitBurst)
	s.filled = now
	if s.tokens < 1 || s.sent()+s.reserved >= s.control.Cap {
		s.used = s.sent()+s.reserved >= s.control.Cap
		g.metrics.registry.CounterGroup("rollout_gate").Add("refused_over_limit", 1)
		e := fault.New(fault.Overloaded, "the version of the backend server serves few requests now")
		e.ThisOnly = true
		return e
	}
	s.tokens--
	s.reserved++
	c.turn.reserved = true
	return nil
}

// sent returns the requests sent since StartCounting.
func (s *rolloutState) sent() uint64 {
	var n uint64
	for _, r := range s.routes {
		n += r.Sent
	}
	return n
}

// releaseTurn ends the reservation of c. g.mu must be held.
func (g *Gate) releaseTurn(c *call) {
	if c.turn.reserved {
		c.turn.reserved = false
		g.rollout.reserved--
	}
}

// forwardCounted is forward that counts c in a roll-out.
func (g *Gate) forwardCounted(ctx context.Context, c *call, r *http.Request) (*http.Response, *fault.Error) {
	g.countStart(c)
	resp, e := g.forward(ctx, c, r)
	if c.turn.counts != nil {
		g.countEnd(c, resp, e)
	}
	return resp, e
}

// maxCountedRoutes bounds the routes that are counted apart. A mesh of 1,100 routes would
// make reports too long.
const maxCountedRoutes = 24

// otherRoutes is the name under which further routes are counted.
const otherRoutes = "other"

func (g *Gate) countStart(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseTurn(c)
	s := &g.rollout
	if !s.counting {
		return
	}
	r := s.routes[c.route]
	if r == nil {
		name := c.route
		if len(s.routes) >= maxCountedRoutes {
			name = otherRoutes
		}
		if r = s.routes[name]; r == nil {
			r = &routeCounts{}
			s.routes[name] = r
		}
	}
	c.turn.counts, c.turn.start, c.turn.began = r, time.Now(), s.began
	r.Sent++
	r.running++
	r.started += c.turn.start.Sub(s.began)
}

// countEnd counts the outcome of c. A request of which nothing was sent does not count,
// and one that the backend server refused as not run counts as sent and refused.
func (g *Gate) countEnd(c *call, resp *http.Response, e *fault.Error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	r := c.turn.counts
	r.running--
	r.started -= c.turn.start.Sub(c.turn.began)
	if !c.mayHaveRun && resp == nil {
		r.Sent--
		return
	}
	r.Busy += now.Sub(c.turn.start)
	*outcome(&r.Counts, c, resp, e)++
	c.turn.good = e == nil && resp.StatusCode < http.StatusInternalServerError
}

// outcome returns the count to which the result of c belongs.
func outcome(r *rollout.Counts, c *call, resp *http.Response, e *fault.Error) *uint64 {
	switch {
	case e == nil && statesNotRun(resp), c.refused:
		return &r.Refused
	case e == nil && resp.StatusCode >= http.StatusInternalServerError:
		return &r.Failed
	case e == nil:
		return &r.Done
	case e.Kind == fault.OutcomeUnknown, e.Kind == fault.NoEndpoint:
		return &r.Broken
	}
	return &r.Expired // the deadline passed or the caller left
}

// brokenBody returns the refusal of c, whose response body was not read completely.
func (g *Gate) brokenBody(ctx context.Context, c *call, err error) *fault.Error {
	if t := &c.turn; t.good && ctx.Err() == nil {
		g.mu.Lock()
		t.counts.Done--
		t.counts.Broken++
		g.mu.Unlock()
	}
	return g.responseBodyRefusal(ctx, err)
}
