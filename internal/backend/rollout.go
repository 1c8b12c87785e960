package backend

import (
	"maps"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/rollout"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Control is what a roll-out requires of a gate. The zero value requires nothing.
type Control struct {
	Closed  bool // no new requests; other nodes do not choose the endpoint
	Last    bool // other nodes choose the endpoint only if no other is left
	Limited bool // Cap and Rate apply
	Cap     uint64
	Rate    float64 // requests per second
}

// limitBurst is the number of requests that a limited gate takes at once. Some arrive
// together at any rate.
const limitBurst = 4

// rolloutState is the state of a gate in a roll-out. It is guarded by the mutex of the
// gate.
type rolloutState struct {
	control  Control
	counting bool
	routes   map[string]*routeCounts
	reserved uint64    // requests that passed the limit and were not sent yet
	tokens   float64   // requests that may pass the limit now
	filled   time.Time // when tokens was last updated
	began    time.Time // time of the last StartCounting
	used     bool      // a request was refused since Cap is reached
	crashed  bool      // the backend server was lost or replaced since then
	heardOf  time.Time // when the backend server was first announced
}

// routeCounts are the counts of a route, and its requests that run.
type routeCounts struct {
	rollout.Counts
	running int
	started time.Duration // sum of the start times of the running ones, from the start of counting
}

// serverReplaced records that another instance takes the place of previous.
func (s *rolloutState) serverReplaced(now time.Time, previous mesh.Instance) {
	s.heardOf = now
	s.crashed = s.crashed || previous != ""
}

// endpointState returns the state to publish to other nodes. g.mu must be held.
func (g *Gate) endpointState() member.EndpointState {
	s := g.ownState()
	switch s {
	case member.Ready, member.Warming, member.Yielding:
	default:
		return s
	}
	switch c := &g.rollout.control; {
	case c.Closed:
		return member.Starting
	case c.Last, g.rollout.used:
		return member.Yielding
	}
	return s
}

// SetControl applies c. Requests in flight continue; if c closes the gate, queued ones
// are refused as not run.
func (g *Gate) SetControl(c Control) {
	now := time.Now()
	g.mu.Lock()
	s := &g.rollout
	prev := g.endpointState()
	if c.Limited && !s.control.Limited {
		s.tokens, s.filled = limitBurst, now
	}
	s.control = c
	s.used = s.used && c.Limited && s.sent()+s.reserved >= c.Cap
	g.applyStateChange(now, prev)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// StartCounting counts requests by route, from zero. Requests that run already are not
// counted.
func (g *Gate) StartCounting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &g.rollout
	s.counting, s.crashed, s.began, s.routes = true, false, time.Now(), make(map[string]*routeCounts)
}

// StopCounting ends the counting.
func (g *Gate) StopCounting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rollout.counting, g.rollout.routes = false, nil
}

// Observation is what a gate has seen of its backend server.
type Observation struct {
	Service  mesh.Service
	Routes   map[string]rollout.Counts // since StartCounting
	Slots    int
	Healthy  bool          // it is ready, whatever Control requires
	Warm     bool          // and at full speed
	Age      time.Duration // since it was first announced
	Crashed  bool          // it was lost or replaced since StartCounting
	Closed   bool          // the gate takes no new requests
	InFlight int           // queued requests included
}

// Observe returns the observation of now.
func (g *Gate) Observe() Observation {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s, own := &g.rollout, g.ownState()
	s.crashed = s.crashed || own == member.Unhealthy
	o := Observation{
		Service: g.endpoint.service, Routes: make(map[string]rollout.Counts, len(s.routes)), Slots: g.endpoint.slots,
		Healthy: own == member.Ready || own == member.Warming, Warm: own == member.Ready,
		Age: now.Sub(s.heardOf), Crashed: s.crashed, Closed: s.control.Closed || own != member.Ready && own != member.Warming,
		InFlight: g.machine.InFlight() + g.machine.Queued() + g.bufferedResponses,
	}
	for name, r := range maps.All(s.routes) {
		c := r.Counts
		c.Busy += time.Duration(r.running)*now.Sub(s.began) - r.started
		o.Routes[name] = c
	}
	return o
}
