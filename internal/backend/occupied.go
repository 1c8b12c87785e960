package backend

import (
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
)

const (
	// maxHold is the longest time for which the slot of a request without a response is
	// kept.
	maxHold = time.Second
	// maxInherited is the longest time for which requests of the previous process beside
	// the backend server are assumed to run. Slow servers take 0.5 to 2 s for most work.
	maxInherited = 2 * time.Second
)

// heldSlot is the slot of a request that ended without a response and that the backend
// server may still run.
type heldSlot struct {
	call  *call
	until time.Time
}

// release releases the slot of c, or keeps it while the backend server is likely to run
// the request still. A server gets no more requests than it has slots for only if those
// that the gate has given up are counted, and one that resets connections at once would
// otherwise attract requests. g.mu must be held.
func (g *Gate) release(now time.Time, c *call) {
	d := g.holdTime(now, c)
	if d <= 0 {
		g.endTicket(now, c, c.latency)
		return
	}
	g.metrics.held.Add(1)
	g.held = append(g.held, heldSlot{c, now.Add(d)})
}

// holdTime returns for how long the slot of c is kept after its end. g.mu must be held.
func (g *Gate) holdTime(now time.Time, c *call) time.Duration {
	answered := c.status != 0 || !c.mayHaveRun
	if answered || c.Route == "" || c.State() != admit.Admitted || g.stopping || c.endpoint != g.endpoint.addr || c.instance != g.endpoint.instance {
		return 0
	}
	work := min(g.machine.MeanServiceTimeOf(&c.Ticket), maxHold)
	switch left := work - now.Sub(c.admittedAt); {
	case left > 0: // reset, or given up by the caller
		return left
	case !now.Before(c.Deadline): // no response in time
		return work
	}
	return 0 // the connection broke after about the time of the work
}

// releaseHeld releases the slots that were kept until now, or all of them. g.mu must be
// held.
func (g *Gate) releaseHeld(now time.Time, all bool) {
	rest := g.held[:0]
	var due []*call
	for _, h := range g.held {
		if all || !now.Before(h.until) {
			due = append(due, h.call)
		} else {
			rest = append(rest, h)
		}
	}
	clear(g.held[len(rest):])
	g.held = rest
	for _, c := range due {
		g.endTicket(now, c, 0)
	}
}

// startBelow limits the requests to a backend server that was running before this
// process, since it may still run those of the previous one. g.mu must be held.
func (g *Gate) startBelow(now time.Time) {
	if !g.placesByFinish() {
		return
	}
	longest := time.Duration(0)
	for i := range g.snapshot.Routes {
		if r := &g.snapshot.Routes[i]; r.Service == g.endpoint.service {
			longest = max(longest, r.Deadline)
		}
	}
	d := min(longest, maxInherited)
	g.log.Info("requests of the previous process may still run on the backend server", zap.Duration("ramp", d))
	g.machine.StartBelow(now, d)
}
