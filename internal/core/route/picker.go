package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// spillMargin is how much lower the score of an endpoint in another
	// availability zone must be to outweigh the cross-zone latency.
	spillMargin = 0.25
	// maxRandomDraws is the number of random draws for one choice before the
	// list is searched in order.
	maxRandomDraws = 4
)

// PickerConfig configures a Picker.
type PickerConfig struct {
	Zone mesh.AvailabilityZone // zone of this node
	Rand func(n int) int       // random number in [0,n); rand.IntN if nil
}

// Picker chooses endpoints. Its methods may be called concurrently: each
// service has its own lock, and Update replaces the map of services.
type Picker struct {
	zone      mesh.AvailabilityZone
	rand      func(n int) int
	services  atomic.Pointer[map[mesh.Service]*service]
	updateMu  sync.Mutex // serializes Update
	ejections atomic.Int64

	index    atomic.Pointer[reportIndex]
	recentMu sync.Mutex // guards recent; taken after the lock of a service
	recent   recentList
}

// service holds the endpoints of one service.
type service struct {
	mu        sync.Mutex
	all       map[mesh.NodeID]*Endpoint
	local     []*Endpoint // open, in the zone of this node
	remote    []*Endpoint // open, in other zones
	unhealthy []*Endpoint
	yielding  []*Endpoint // chosen only if no open one is left
	panicMode bool        // more endpoints are unhealthy than healthy, so unhealthy ones are tried
	rebuildAt time.Time   // next end of an ejection or of a drain hold; zero if none
	times     times
	zones     []zoneMean
}

// NewPicker returns a Picker without endpoints.
func NewPicker(cfg PickerConfig) *Picker {
	p := &Picker{zone: cfg.Zone, rand: cfg.Rand}
	if p.rand == nil {
		p.rand = rand.IntN
	}
	p.services.Store(&map[mesh.Service]*service{})
	return p
}

func (p *Picker) service(s mesh.Service) *service { return (*p.services.Load())[s] }

// Update replaces the members. Endpoints that remain keep their requests in
// flight, pressure and observations.
func (p *Picker) Update(members []member.Member, now time.Time) {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	old := *p.services.Load()
	seen := make(map[mesh.Service]map[mesh.NodeID]*member.Member, len(old))
	for i := range members {
		m := &members[i]
		if m.Service == "" {
			continue
		}
		if seen[m.Service] == nil {
			seen[m.Service] = make(map[mesh.NodeID]*member.Member)
		}
		seen[m.Service][m.ID] = m
	}
	next := make(map[mesh.Service]*service, len(seen))
	for name, ms := range seen {
		s := old[name]
		if s == nil {
			s = &service{all: make(map[mesh.NodeID]*Endpoint, len(ms))}
		}
		s.update(ms, p.zone, now)
		next[name] = s
	}
	p.services.Store(&next)
}

func (s *service) update(ms map[mesh.NodeID]*member.Member, zone mesh.AvailabilityZone, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.all {
		if ms[id] == nil {
			delete(s.all, id)
		}
	}
	for id, m := range ms {
		e := s.all[id]
		if e == nil || e.Addr != m.Addr || e.Zone != m.Zone {
			e = &Endpoint{ID: id, Zone: m.Zone, Addr: m.Addr, Service: m.Service, svc: s}
			s.all[id] = e
		}
		e.update(m)
	}
	s.partition(zone, now)
}

// partition divides the endpoints into the lists that Pick draws from.
func (s *service) partition(zone mesh.AvailabilityZone, now time.Time) {
	s.local, s.remote, s.unhealthy = s.local[:0], s.remote[:0], s.unhealthy[:0]
	s.yielding = s.yielding[:0]
	s.rebuildAt = time.Time{}
	healthyCount := 0
	for _, e := range s.all {
		if e.class == closed {
			continue
		}
		if s.holdUntil(e.drainedUntil, now) {
			continue
		}
		if e.class == yielding {
			s.yielding = append(s.yielding, e)
			continue
		}
		if e.class == unhealthy {
			s.unhealthy = append(s.unhealthy, e)
			continue
		}
		healthyCount++
		switch {
		case s.holdUntil(e.ejectedUntil, now):
		case e.Zone == zone:
			s.local = append(s.local, e)
		default:
			s.remote = append(s.remote, e)
		}
	}
	s.panicMode = len(s.unhealthy) > healthyCount
}

// holdUntil reports whether t is in the future and, if so, schedules a rebuild
// of the lists for then.
func (s *service) holdUntil(t, now time.Time) bool {
	if !now.Before(t) {
		return false
	}
	if s.rebuildAt.IsZero() || t.Before(s.rebuildAt) {
		s.rebuildAt = t
	}
	return true
}

// Pick returns an endpoint of service s for a request of the given rank and
// counts the request as in flight there, or returns nil if there is none. It
// never returns an endpoint in tried. Done must be called once for every
// endpoint returned.
func (p *Picker) Pick(s mesh.Service, rank mesh.Rank, tried []*Endpoint, now time.Time) *Endpoint {
	return p.PickFor(s, Requirements{Rank: rank}, tried, now)
}

// PickFor is Pick for a request with requirements req.
func (p *Picker) PickFor(s mesh.Service, req Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	svc := p.service(s)
	if svc == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.rebuildAt.IsZero() && !now.Before(svc.rebuildAt) {
		svc.partition(p.zone, now)
	}
	e := p.decide(svc, req, tried, now)
	if e != nil {
		e.inflight++
	}
	return e
}

// decide is PickFor with the lock held and without counting the request.
func (p *Picker) decide(svc *service, req Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	return p.orFallback(svc, p.choose(svc, req, tried, now), req.Rank, tried, now)
}

// choose returns an open endpoint for req, or nil.
func (p *Picker) choose(svc *service, req Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	if req.Spill == SpillWhenEmpty && slices.ContainsFunc(tried, func(e *Endpoint) bool { return e.Zone == p.zone }) {
		return p.leastLoadedOfTwo(svc.local, req.Rank, tried, now)
	}
	if req.Target > 0 {
		return p.chooseByLatency(svc, req, tried, now)
	}
	e := p.leastLoadedOfTwo(svc.local, req.Rank, tried, now)
	if e == nil || req.Spill == SpillOnLoad && e.overloaded(req.Rank, now) {
		r := p.leastLoadedOfTwo(svc.remote, req.Rank, tried, now)
		if e == nil || r != nil && r.score(req.Rank, now)+spillMargin < e.score(req.Rank, now) {
			e = r
		}
	}
	return e
}

// leastLoadedOfTwo returns the endpoint with the lower score of two random ones
// of es.
func (p *Picker) leastLoadedOfTwo(es []*Endpoint, rank mesh.Rank, tried []*Endpoint, now time.Time) *Endpoint {
	a := p.drawUsable(es, tried, nil)
	if a == nil || len(es) == 1 {
		return a
	}
	b := p.drawUsable(es, tried, a)
	if b != nil && b.score(rank, now) < a.score(rank, now) {
		return b
	}
	return a
}

// drawUsable returns a random usable endpoint of es other than except, or nil.
func (p *Picker) drawUsable(es []*Endpoint, tried []*Endpoint, except *Endpoint) *Endpoint {
	n := len(es)
	if n == 0 {
		return nil
	}
	first := 0
	for range maxRandomDraws {
		first = p.rand(n)
		if e := es[first]; e != except && e.usable(tried) {
			return e
		}
	}
	for i := range n {
		if e := es[(first+i)%n]; e != except && e.usable(tried) {
			return e
		}
	}
	return nil
}

func (e *Endpoint) usable(tried []*Endpoint) bool {
	return (!e.probing || e.inflight == 0) && !slices.Contains(tried, e)
}

// pickUnhealthy returns an unhealthy endpoint without requests in flight that
// has not failed recently. With allowFailed it returns one that has if there is
// no other.
func (p *Picker) pickUnhealthy(es []*Endpoint, tried []*Endpoint, allowFailed bool, now time.Time) *Endpoint {
	n := len(es)
	if n == 0 {
		return nil
	}
	var fallback *Endpoint
	first := p.rand(n)
	for i := range n {
		e := es[(first+i)%n]
		if e.inflight > 0 || slices.Contains(tried, e) {
			continue
		}
		if !now.Before(e.failedUntil) {
			return e
		}
		if allowFailed && fallback == nil {
			fallback = e
		}
	}
	return fallback
}

// Done ends an attempt that Pick started. Rank and latency (time until the
// response header) are recorded if the latency is positive. Done reports
// whether the attempt caused the endpoint to be ejected.
func (p *Picker) Done(e *Endpoint, out Outcome, rank mesh.Rank, latency time.Duration, now time.Time) bool {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	e.inflight--
	switch out {
	case Canceled:
		return false
	case Drained:
		e.drainedUntil = now.Add(drainHold)
		s.partition(p.zone, now)
		return false
	}
	if now.Before(e.ejectedUntil) {
		return false // the attempt began before the ejection and adds no information
	}
	if e.class != healthy {
		e.failedUntil = time.Time{}
		if out == Failed {
			e.failedUntil = now.Add(failedHold)
		}
		return false
	}
	if !s.observe(e, out, rank, latency) {
		return false
	}
	if !s.eject(e, now) {
		return false
	}
	s.partition(p.zone, now)
	p.ejections.Add(1)
	return true
}

// Ejections returns the number of ejections so far.
func (p *Picker) Ejections() int64 { return p.ejections.Load() }

// Endpoints returns a description of the endpoints of s, sorted by id, with the
// pressure of rank.
func (p *Picker) Endpoints(s mesh.Service, rank mesh.Rank, now time.Time) []EndpointInfo {
	svc := p.service(s)
	if svc == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	infos := make([]EndpointInfo, 0, len(svc.all))
	for _, e := range svc.all {
		infos = append(infos, e.info(rank, now))
	}
	slices.SortFunc(infos, func(a, b EndpointInfo) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return infos
}
