package demand

import (
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// ghostTime is how long the backend server may still run a request that ended without a
// response.
const ghostTime = time.Second

// toldTime is how long the statement of a gate about a route is believed. Each response
// repeats it.
const toldTime = 10 * time.Minute

// Reason is why a request is refused before it runs. Reasons are the names of counters.
type Reason string

// The reasons of a refusal.
const (
	Admitted Reason = ""      // not refused
	InVain   Reason = "vain"  // calls to a needed service likely fail
	Yields   Reason = "yield" // a needed service refuses more urgent requests
)

// Tracker is the knowledge of one node. It is safe for concurrent use. A nil Tracker
// knows nothing.
type Tracker struct {
	Rand func() float64 // random number in [0,1); rand.Float64 if nil

	// OnNested is called when a route is found to be one of nested calls, or no longer to
	// be; may be nil. It must not call the Tracker.
	OnNested func(route string, nested bool)

	mu         sync.Mutex
	runs       map[string]*runs // by route
	running    int
	ghostUntil time.Time // until then, the backend server may run requests that have ended here
	calls      map[mesh.Service]*called
	offers     map[mesh.Rank]*offered
	tiers      map[mesh.Rank]int

	arrivals evidence             // of requests that this node received from callers
	pooled   evidence             // of requests that its gate received from all nodes
	told     map[string]time.Time // when a gate last stated that a route is one of nested calls
}

// New returns a Tracker without knowledge.
func New() *Tracker {
	return &Tracker{runs: make(map[string]*runs), calls: make(map[mesh.Service]*called), offers: make(map[mesh.Rank]*offered)}
}

// SetTiers sets the tier of each rank, which is lower for more urgent ones. The Tracker
// keeps the map.
func (t *Tracker) SetTiers(tiers map[mesh.Rank]int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tiers = tiers
}

// Started records that the backend server beside this node begins a request.
func (t *Tracker) Started(route string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[route]
	if r == nil {
		r = &runs{calls: make(map[mesh.Service]*decayed)}
		t.runs[route] = r
	}
	r.running++
	t.running++
	r.total.add(now, ratioTime, 1)
}

// Ended records the end of a request that was started. Answered means that the backend
// server answered it, so that it no longer runs.
func (t *Tracker) Ended(route string, answered bool, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[route]
	if r == nil || r.running == 0 {
		return
	}
	t.running--
	if r.running--; r.running == 0 && len(t.runs) > maxRoutes {
		delete(t.runs, route)
	}
	if !answered {
		t.ghostUntil = now.Add(ghostTime)
	}
}

// Arrived records a request of a caller on connection c, which may be nil. It reports
// whether the request is known to come from outside, and whether its route is known to
// be one of nested calls.
func (t *Tracker) Arrived(route string, c *Conn, now time.Time) (outside, nested bool) {
	if t == nil {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	idle := t.running == 0 && !now.Before(t.ghostUntil)
	if idle && c != nil {
		c.idleArrivals++
	}
	outside = idle || c.outside()
	t.addEvidence(&t.arrivals, route, outside)
	return outside, !outside && t.isNested(route, now)
}

// Nested reports whether a route is known to be one of nested calls. It changes nothing.
func (t *Tracker) Nested(route string, now time.Time) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isNested(route, now)
}

func (t *Tracker) isNested(route string, now time.Time) bool {
	at, told := t.told[route]
	return t.arrivals.nested(route) || told && now.Sub(at) < toldTime
}

// Forwarded records a request that this gate received from any node. It reports whether
// the route is known to be one of nested calls.
func (t *Tracker) Forwarded(route string, outside bool) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addEvidence(&t.pooled, route, outside)
	return !outside && t.pooled.nested(route)
}

func (t *Tracker) addEvidence(e *evidence, route string, outside bool) {
	before := e.nested(route)
	e.add(route, outside)
	if after := e.nested(route); after != before && t.OnNested != nil {
		t.OnNested(route, after)
	}
}

// CallStarted records a nested call to s by the backend server beside this node.
func (t *Tracker) CallStarted(s mesh.Service, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attribute(s, now)
}

// Report is what the gate of a called service reports with its response.
type Report struct {
	Shortage []Share
	Needs    []mesh.Service // services that requests of the called one need
}

// CallOutcome says how a nested call ended.
type CallOutcome uint8

// Outcomes of nested calls.
const (
	CallSucceeded CallOutcome = iota
	CallRefused               // the gates had no capacity for it
	CallFailed                // a backend server received it and did not answer with success
)

// CallEnded records the end of a nested call to s.
func (t *Tracker) CallEnded(s mesh.Service, out CallOutcome, report Report, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[s]
	if c == nil {
		c = &called{shortage: make(map[mesh.Rank]*decayed), needs: make(map[mesh.Service]time.Time)}
		t.calls[s] = c
	}
	switch out {
	case CallSucceeded:
		c.succeeded.add(now, outcomeTime, 1)
	case CallRefused:
		c.refused.add(now, outcomeTime, 1)
	case CallFailed: // see vainShare
	}
	c.recordShortage(report.Shortage, now)
	c.recordNeeds(report.Needs, now)
}

// Check returns why a new request should not run, or Admitted, and the service that it
// needs.
func (t *Tracker) Check(route string, rank mesh.Rank, now time.Time) (Reason, mesh.Service) {
	if t == nil {
		return Admitted, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	share, reason, needed := t.earlyShare(route, rank, now)
	if share == 0 || t.random() >= share {
		return Admitted, ""
	}
	return reason, needed
}

// EarlyShare returns the share of the requests that Check refuses, with the reason and the
// service. It changes nothing.
func (t *Tracker) EarlyShare(route string, rank mesh.Rank, now time.Time) (float64, Reason, mesh.Service) {
	if t == nil {
		return 0, Admitted, ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.earlyShare(route, rank, now)
}

func (t *Tracker) earlyShare(route string, rank mesh.Rank, now time.Time) (float64, Reason, mesh.Service) {
	r := t.runs[route]
	if r == nil {
		return 0, Admitted, ""
	}
	tier, ranked := t.tiers[rank]
	own := 0.0
	if o := t.offers[rank]; o != nil {
		own = o.refusedShare(now)
	}
	share, reason, needed := 0.0, Admitted, mesh.Service("")
	for s, c := range t.calls {
		if r.ratio(s, now) < minRatio {
			continue
		}
		if v := c.vainShare(now); v > share {
			share, reason, needed = v, InVain, s
		}
		if !ranked {
			continue
		}
		if v := c.yieldShare(t.tiers, tier, own, now); v > share {
			share, reason, needed = v, Yields, s
		}
	}
	return share, reason, needed
}

func (t *Tracker) random() float64 {
	if t.Rand != nil {
		return t.Rand()
	}
	return rand.Float64()
}

// Offer is the outcome of a request that a gate was offered, other than a nested call.
type Offer struct {
	First   bool // the first attempt of the request
	Refused bool // admission refused the last attempt
	Early   bool // Check refused the request
}

// RecordOffer records a request of the given rank.
func (t *Tracker) RecordOffer(rank mesh.Rank, f Offer, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.offers[rank]
	if o == nil {
		if len(t.offers) >= maxReportedRanks {
			return
		}
		o = new(offered)
		t.offers[rank] = o
	}
	for d, v := range map[*decayed]bool{&o.first: f.First, &o.refused: f.Refused, &o.early: f.Early} {
		if v {
			d.add(now, outcomeTime, 1)
		}
	}
}

// Shortage returns the ranks of which the gate of this node refuses a share, in no
// particular order.
func (t *Tracker) Shortage(now time.Time) []Share {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Share
	for name, o := range t.offers {
		if v := o.refusedShare(now); v >= minShortage {
			out = append(out, Share{name, v})
		}
	}
	return out
}

// Told records that a gate knows the given route as one of nested calls.
func (t *Tracker) Told(route string, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.told == nil || len(t.told) >= maxRoutes {
		t.told = make(map[string]time.Time)
	}
	t.told[route] = now
}
