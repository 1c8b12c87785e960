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
	// availability zone must be to be worth the longer way.
	spillMargin = 0.25
	// draws is the number of random draws for one choice before the list is
	// searched in order.
	draws = 4
)

// PickerConfig configures a Picker.
type PickerConfig struct {
	Zone mesh.AvailabilityZone // zone of this node
	Rand func(n int) int       // random number in [0,n); rand.IntN if nil
}

// Picker chooses endpoints. Its methods may be called concurrently: each
// service has a lock of its own, and Update replaces the map of services.
type Picker struct {
	zone     mesh.AvailabilityZone
	rand     func(n int) int
	services atomic.Pointer[map[mesh.Service]*service]
	updates  sync.Mutex // serialises Update
	ejected  atomic.Int64
}

// service holds the endpoints of one service.
type service struct {
	mu       sync.Mutex
	all      map[mesh.NodeID]*Endpoint
	local    []*Endpoint // open, in the zone of this node
	remote   []*Endpoint // open, in other zones
	doubtful []*Endpoint
	yielding []*Endpoint // taken if no open one is left
	mass     bool        // more than half of the endpoints are doubtful
	rebuild  time.Time   // next end of an ejection or of a drain; zero if none
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

// Update replaces the members. Endpoints that stay keep their requests in
// flight, pressure and observations.
func (p *Picker) Update(members []member.Member, now time.Time) {
	p.updates.Lock()
	defer p.updates.Unlock()
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
	s.sort(zone, now)
}

// sort divides the endpoints into the lists that Pick draws from.
func (s *service) sort(zone mesh.AvailabilityZone, now time.Time) {
	s.local, s.remote, s.doubtful = s.local[:0], s.remote[:0], s.doubtful[:0]
	s.yielding = s.yielding[:0]
	s.rebuild = time.Time{}
	healthyCount := 0
	for _, e := range s.all {
		if e.class == closed {
			continue
		}
		if s.hold(e.drainedUntil, now) {
			continue
		}
		if e.class == yielding {
			s.yielding = append(s.yielding, e)
			continue
		}
		if e.class == doubtful {
			s.doubtful = append(s.doubtful, e)
			continue
		}
		healthyCount++
		switch {
		case s.hold(e.ejectedUntil, now):
		case e.Zone == zone:
			s.local = append(s.local, e)
		default:
			s.remote = append(s.remote, e)
		}
	}
	s.mass = len(s.doubtful) > healthyCount
}

// hold reports whether t is still to come, and if so has the lists rebuilt then.
func (s *service) hold(t, now time.Time) bool {
	if !now.Before(t) {
		return false
	}
	if s.rebuild.IsZero() || t.Before(s.rebuild) {
		s.rebuild = t
	}
	return true
}

// Pick returns an endpoint of service s for a request of the given rank and
// counts the request as in flight there, or returns nil if there is none. It
// never returns an endpoint of tried. Every endpoint returned must be given
// back by one call of Done.
func (p *Picker) Pick(s mesh.Service, rank mesh.Rank, tried []*Endpoint, now time.Time) *Endpoint {
	return p.PickFor(s, Requirements{Rank: rank}, tried, now)
}

// PickFor is Pick for a request that needs n.
func (p *Picker) PickFor(s mesh.Service, n Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	svc := p.service(s)
	if svc == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.rebuild.IsZero() && !now.Before(svc.rebuild) {
		svc.sort(p.zone, now)
	}
	e := p.choose(svc, n, tried, now)
	if e == nil {
		e = p.better(svc.yielding, n.Rank, tried, now)
	}
	if svc.mass && (e == nil || e.pressed(n.Rank, now)) {
		if d := p.cautious(svc.doubtful, tried, e == nil, now); d != nil {
			e = d
		}
	}
	if e != nil {
		e.inflight++
	}
	return e
}

// choose returns an open endpoint for n, or nil.
func (p *Picker) choose(svc *service, n Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	if n.Spill == SpillWhenEmpty && slices.ContainsFunc(tried, func(e *Endpoint) bool { return e.Zone == p.zone }) {
		return p.better(svc.local, n.Rank, tried, now)
	}
	if n.Target > 0 {
		return p.byTime(svc, n, tried, now)
	}
	e := p.better(svc.local, n.Rank, tried, now)
	if e == nil || n.Spill == SpillOnLoad && e.pressed(n.Rank, now) {
		r := p.better(svc.remote, n.Rank, tried, now)
		if e == nil || r != nil && r.score(n.Rank, now)+spillMargin < e.score(n.Rank, now) {
			e = r
		}
	}
	return e
}

// better returns the endpoint of lower score of two random ones of es.
func (p *Picker) better(es []*Endpoint, rank mesh.Rank, tried []*Endpoint, now time.Time) *Endpoint {
	a := p.draw(es, tried, nil)
	if a == nil || len(es) == 1 {
		return a
	}
	b := p.draw(es, tried, a)
	if b != nil && b.score(rank, now) < a.score(rank, now) {
		return b
	}
	return a
}

// draw returns a random usable endpoint of es other than not, or nil.
func (p *Picker) draw(es []*Endpoint, tried []*Endpoint, not *Endpoint) *Endpoint {
	n := len(es)
	if n == 0 {
		return nil
	}
	first := 0
	for range draws {
		first = p.rand(n)
		if e := es[first]; e != not && e.usable(tried) {
			return e
		}
	}
	for i := range n {
		if e := es[(first+i)%n]; e != not && e.usable(tried) {
			return e
		}
	}
	return nil
}

func (e *Endpoint) usable(tried []*Endpoint) bool {
	return (!e.probing || e.inflight == 0) && !slices.Contains(tried, e)
}

// cautious returns a last known endpoint without request in flight that did not
// fail lately. With must it returns one that did if there is no other.
func (p *Picker) cautious(es []*Endpoint, tried []*Endpoint, must bool, now time.Time) *Endpoint {
	n := len(es)
	if n == 0 {
		return nil
	}
	var second *Endpoint
	first := p.rand(n)
	for i := range n {
		e := es[(first+i)%n]
		if e.inflight > 0 || slices.Contains(tried, e) {
			continue
		}
		if !now.Before(e.failedUntil) {
			return e
		}
		if must && second == nil {
			second = e
		}
	}
	return second
}

// Done ends an attempt that Pick started. Rank and latency (time until the
// response header) are recorded if the latency is positive. Done reports
// whether the endpoint was ejected because of it.
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
		s.sort(p.zone, now)
		return false
	}
	if now.Before(e.ejectedUntil) {
		return false // began before the ejection, so it tells nothing new
	}
	if e.class != healthy {
		e.failedUntil = time.Time{}
		if out == Failed {
			e.failedUntil = now.Add(cautiousHold)
		}
		return false
	}
	if !s.observe(e, out, rank, latency) {
		return false
	}
	if !s.eject(e, now) {
		return false
	}
	s.sort(p.zone, now)
	p.ejected.Add(1)
	return true
}

// Ejections returns the number of ejections so far.
func (p *Picker) Ejections() int64 { return p.ejected.Load() }

// Endpoints describes the endpoints of s, sorted by id, with the pressure of
// rank.
func (p *Picker) Endpoints(s mesh.Service, rank mesh.Rank, now time.Time) []EndpointInfo {
	svc := p.service(s)
	if svc == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	vs := make([]EndpointInfo, 0, len(svc.all))
	for _, e := range svc.all {
		vs = append(vs, e.view(rank, now))
	}
	slices.SortFunc(vs, func(a, b EndpointInfo) int {
		switch {
		case a.ID < b.ID:
			return -1
		case a.ID > b.ID:
			return 1
		}
		return 0
	})
	return vs
}
