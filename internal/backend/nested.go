package backend

import (
	"context"
	"slices"
	"strconv"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// lastAttempt is the number of the attempt after which a request is offered to no other
// gate.
const lastAttempt = 3

// placesByFinish reports whether nested calls are admitted first. g.mu must be held.
func (g *Gate) placesByFinish() bool {
	return g.conf.Demand != nil && g.snapshot != nil && g.snapshot.Placement == config.PlaceByFinish
}

// admissionRanks returns the ranks of the admission machine for s, which was applied. g.mu
// must be held.
func (g *Gate) admissionRanks(s *config.Snapshot) []config.RankPolicy {
	g.machine.SetFair(g.placesByFinish() && len(s.ClientAccounts) > 0)
	// Calls are first in the queue and short, and may be late for their target. Slots that
	// were kept free for them stayed idle: at high load gates had 4.8 of 6 slots in use.
	g.machine.SetReserve(g.conf.Admission.Reserve && !g.placesByFinish())
	if !g.placesByFinish() {
		return s.Ranks
	}
	tiers := make(map[mesh.Rank]int, len(s.Ranks))
	for i := range s.Ranks {
		tiers[s.Ranks[i].Name] = s.Ranks[i].Tier
	}
	g.conf.Demand.SetTiers(tiers)
	return admit.WithNested(s.Ranks)
}

// classify sets how c is admitted. It returns a refusal if c would likely run in vain.
// g.mu must be held.
func (g *Gate) classify(now time.Time, c *call) *fault.Error {
	if !g.placesByFinish() {
		return nil
	}
	d := g.conf.Demand
	c.Route = c.route
	c.Nested = c.origin == mesh.OriginCall
	if len(g.snapshot.ClientAccounts) == 0 && d.Forwarded(c.route, c.origin == mesh.OriginClient) {
		c.Nested = true
	}
	g.machine.SetCycle(slices.Contains(d.Needs(now), c.service))
	if c.Nested {
		g.metrics.nested.Add("offered", 1)
		return nil
	}
	reason, service := d.Check(c.route, c.Rank, now)
	switch reason {
	case demand.InVain:
		g.metrics.early.Add(string(reason), 1)
		return fault.Newf(fault.Throttled, "calls to service %q, which the request needs, would likely fail", service)
	case demand.Yields:
		g.metrics.early.Add(string(reason), 1)
		return fault.Newf(fault.Throttled, "service %q, which the request needs, refuses more urgent requests", service)
	}
	return nil
}

// acquireObserved is acquireSlot that records what the gate refuses.
func (g *Gate) acquireObserved(ctx context.Context, c *call) *fault.Error {
	e := g.acquireSlot(ctx, c)
	if c.Route == "" {
		return e
	}
	refused := e != nil && e.Kind != fault.Canceled
	if c.Nested {
		if refused {
			g.metrics.nested.Add("refused", 1)
		}
		return e
	}
	n := c.attemptNumber()
	early := e != nil && e.Kind == fault.Throttled
	final := n >= lastAttempt || refused && e.Kind == fault.DeadlineExceeded
	g.conf.Demand.RecordOffer(c.Rank, demand.Offer{First: n == 1, Refused: refused && !early && final, Early: early}, time.Now())
	return e
}

// attemptNumber returns the number of the attempt, or 0 if it is not known.
func (c *call) attemptNumber() int {
	n, err := strconv.Atoi(c.attempt)
	if err != nil {
		return 0
	}
	return n
}

// recordStart records that the backend server begins c. g.mu must be held.
func (g *Gate) recordStart(now time.Time, c *call) {
	c.admittedAt = now
	if c.Route != "" && !c.started {
		c.started = true
		g.conf.Demand.Started(c.Route, now)
	}
}

// endTicket records the end of the admitted c, which happens once. g.mu must be held.
func (g *Gate) endTicket(now time.Time, c *call, latency time.Duration) {
	if c.started {
		c.started = false
		g.conf.Demand.Ended(c.Route, c.status != 0 || !c.mayHaveRun, now)
	}
	g.wakeDecided(g.machine.Done(now, &c.Ticket, latency))
}
