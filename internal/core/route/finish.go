package route

import (
	"math"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/zone"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxCandidates is the number of endpoints with room that one choice compares. With
	// more, the callers of a zone fill the endpoint that the latest reports show as free.
	maxCandidates = 4
	// maxPredicted is the number of endpoints that one choice looks at to find those with
	// room. It bounds the time of a choice in a large service that is full.
	maxPredicted = 64
	// queueShare is the part of the slots of an endpoint that may be waiting there, by the
	// estimate, before it counts as full. It is an eighth of the queue of a backend server
	// with 4 places for each slot.
	queueShare = 0.5
	// fullPressure is the pressure of a rank from which a gate counts as full for it.
	fullPressure = 0.5
	// reportMemory is the time constant after which a reported load says nothing about the
	// present one.
	reportMemory = 1500 * time.Millisecond
	// loadSpread is the uncertainty of the number of requests at an endpoint: loadSpread
	// for a report of this moment, and staleSpread more for one that is outdated.
	loadSpread  = 0.4
	staleSpread = 1.0
	// noiseShare is the scale of the noise that is added to the expected time, as a share of
	// the service time. It is of the Gumbel distribution: of two endpoints whose times differ
	// by the scale, the faster one is chosen e times as often. Without noise, all nodes choose
	// the same endpoint after a report.
	noiseShare = 0.15
	// zoneLoadWeight is the weight of a report in the mean load of a zone.
	zoneLoadWeight = 1.0 / 16
	// answerWorth is the wait that an answer is worth, in the measure of FinishRequest.Cost.
	// A request that the gates of the home zone refused is not sent abroad if its bytes cost
	// more than the answer is worth. At 20 ms a kB, this is the worth of 30 kB, of which
	// 1 MB costs as much as 35 answers.
	answerWorth = 600 * time.Millisecond
	// unservedMemory is the time constant after which a reported share of unserved requests
	// is forgotten, so that an endpoint which is avoided for it is tried again.
	unservedMemory = 2 * time.Second
	// unseenLoad is the load per slot that is assumed of a zone without reports.
	unseenLoad = 0.5
	// randomSteps is the resolution of random numbers in [0,1).
	randomSteps = 1 << 20
)

// finishState is what this node knows of an endpoint to predict when requests end there.
type finishState struct {
	slowness   slowness
	unserved   float64 // share of requests that the backend server refuses or fails
	unservedAt time.Time
}

// zoneMean is the mean load per slot that the endpoints of one zone reported.
type zoneMean struct {
	zone mesh.AvailabilityZone
	load float64
}

// FinishRequest describes a request whose endpoint is chosen by its expected end.
type FinishRequest struct {
	Requirements
	Route   string
	Left    time.Duration // until the deadline
	Shares  []zone.Share  // of requests that are sent to other zones
	Latency time.Duration // that another zone adds
	Cost    time.Duration // wait that the bytes of the request are worth between zones
	Refused bool          // the last gate had no capacity for the request
}

// Choice is the result of PickByFinish.
type Choice struct {
	Endpoint *Endpoint // nil if there is none, or if all are full
	// Full means that no endpoint can end the request in the time left. The request should
	// be repeated after FreeIn.
	Full   bool
	FreeIn time.Duration
}

// candidate is an endpoint with its expected load and time.
type candidate struct {
	endpoint *Endpoint
	finish   float64 // expected time in nanoseconds
	loss     float64 // expected time that is lost since the backend server does not serve the request
	noisy    float64 // finish and loss with noise
	room     bool
}

// PickByFinish returns the endpoint of service s where a request is expected to end
// earliest, and counts the request as in flight there. It returns none if every endpoint
// is full and none would end the request in time. Done must be called once for every
// endpoint returned.
func (p *Picker) PickByFinish(s mesh.Service, req FinishRequest, tried []*Endpoint, now time.Time) Choice {
	svc := p.service(s)
	if svc == nil {
		return Choice{}
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.rebuildAt.IsZero() && !now.Before(svc.rebuildAt) {
		svc.partition(p.zone, now)
	}
	c := p.decideByFinish(svc, &req, tried, now)
	if c.Endpoint != nil {
		c.Endpoint.inflight++
	}
	return c
}

// decideByFinish is PickByFinish with the lock held and without counting the request.
func (p *Picker) decideByFinish(svc *service, req *FinishRequest, tried []*Endpoint, now time.Time) Choice {
	best := p.chooseByFinish(svc, req, tried, now)
	if best.isFullFor(req, now) {
		return Choice{Full: true, FreeIn: svc.freeIn(best.endpoint, now)}
	}
	return Choice{Endpoint: p.orFallback(svc, best.endpoint, req.Rank, tried, now)}
}

// isFullFor reports whether c cannot end a request in the time left. The estimate counts
// requests of all ranks, and a gate serves urgent ones first: it must report pressure for
// the rank too.
func (c *candidate) isFullFor(req *FinishRequest, now time.Time) bool {
	return c.endpoint != nil && !c.room && c.finish > float64(req.Left) && c.endpoint.pressureOf(req.Rank, now) >= fullPressure
}

// orFallback returns e, or an endpoint that is chosen only if no open one can be.
func (p *Picker) orFallback(svc *service, e *Endpoint, rank mesh.Rank, tried []*Endpoint, now time.Time) *Endpoint {
	if e == nil {
		e = p.leastLoadedOfTwo(svc.yielding, rank, tried, now)
	}
	if svc.panicMode && (e == nil || e.overloaded(rank, now)) {
		if u := p.pickUnhealthy(svc.unhealthy, tried, e == nil, now); u != nil {
			e = u
		}
	}
	return e
}

// chooseByFinish returns the best open endpoint. The shares say whether an endpoint of the
// home zone or of another one is preferred. The other group is chosen if the preferred one
// is full, and if that is worth the bytes.
func (p *Picker) chooseByFinish(svc *service, req *FinishRequest, tried []*Endpoint, now time.Time) candidate {
	homeOnly := req.Spill == SpillWhenEmpty && slices.ContainsFunc(tried, func(e *Endpoint) bool { return e.Zone == p.zone })
	if req.Spill == SpillOnLoad {
		if z := p.drawZone(req.Shares); z != "" {
			if c := p.bestOf(svc, svc.remote, z, req, tried, now); c.room {
				return c
			}
		}
	}
	home := p.bestOf(svc, svc.local, "", req, tried, now)
	if home.room && !homeOnly && req.Spill == SpillOnLoad && home.loss > float64(req.Cost+req.Latency) {
		if c := p.bestOf(svc, svc.remote, "", req, tried, now); c.room && c.finish+c.loss+float64(req.Cost) < home.finish+home.loss {
			return c
		}
	}
	if home.room || homeOnly || home.endpoint != nil && req.Spill != SpillOnLoad {
		return home
	}
	if home.endpoint == nil && req.Refused && req.Cost > answerWorth && len(svc.local) > 0 {
		return home
	}
	abroad := p.bestOf(svc, svc.remote, "", req, tried, now)
	if home.endpoint == nil || abroad.room && abroad.finish+float64(req.Cost) < home.finish {
		return abroad
	}
	return home
}

// drawZone returns a zone with a probability of its share, or "" for the home zone.
func (p *Picker) drawZone(shares []zone.Share) mesh.AvailabilityZone {
	if len(shares) == 0 {
		return ""
	}
	x := p.random()
	for _, s := range shares {
		if x < s.Share {
			return s.Zone
		}
		x -= s.Share
	}
	return ""
}

// random returns a random number in [0,1).
func (p *Picker) random() float64 { return float64(p.rand(randomSteps)) / randomSteps }

// bestOf returns the endpoint of es, in zone z if that is not empty, with the earliest
// expected end. It compares the first maxCandidates with room from a random position; full
// ones are chosen only if none has room.
func (p *Picker) bestOf(svc *service, es []*Endpoint, z mesh.AvailabilityZone, req *FinishRequest, tried []*Endpoint, now time.Time) candidate {
	var best candidate
	n := len(es)
	if n == 0 {
		return best
	}
	base, mix := svc.usualTimes(req)
	first, withRoom, predicted := p.rand(n), 0, 0
	for i := 0; i < n && withRoom < maxCandidates && predicted < maxPredicted; i++ {
		e := es[(first+i)%n]
		if z != "" && e.Zone != z || !e.usable(tried) {
			continue
		}
		predicted++
		c := e.predict(base, mix, now)
		if c.room {
			withRoom++
		}
		c.loss = e.unservedShare(now) * float64(req.Target)
		c.noisy = c.finish + c.loss + noiseShare*mix*math.Log(-math.Log(1-p.random()))
		c.finish += p.zoneLatency(e, req)
		if best.endpoint == nil || c.room && !best.room || c.room == best.room && c.noisy < best.noisy {
			best = c
		}
	}
	return best
}

// unservedShare returns the share of requests that the backend server of e is expected to
// refuse or fail. A request that is lost to this costs its target: the caller returns later,
// or the run of which it is a call was in vain.
func (e *Endpoint) unservedShare(now time.Time) float64 {
	if e.finish.unserved == 0 {
		return 0
	}
	return e.finish.unserved * math.Exp(-max(now.Sub(e.finish.unservedAt), 0).Seconds()/unservedMemory.Seconds())
}

// usualTimes returns the time of req at an endpoint of usual speed, and that of the requests
// ahead of it.
func (s *service) usualTimes(req *FinishRequest) (base, mix float64) {
	base = s.times.of(req.Route, s.meanServiceTime(req.Rank, req.Target))
	return base, s.mixTime(base)
}

// zoneLatency returns the time that the zone of e adds to req, in nanoseconds.
func (p *Picker) zoneLatency(e *Endpoint, req *FinishRequest) float64 {
	if e.Zone == p.zone {
		return 0
	}
	return float64(req.Latency)
}

// mixTime returns the mean time that a request of any route holds a slot, or base if it is
// unknown.
func (s *service) mixTime(base float64) float64 {
	if s.times.mix > 0 {
		return s.times.mix
	}
	return base
}

// predict returns the expected time of a request at e that takes base at an endpoint of
// usual speed, where requests ahead of it take mix.
func (e *Endpoint) predict(base, mix float64, now time.Time) candidate {
	n, fresh := e.presentRequests(now)
	slow := e.slownessOf(now)
	spread := loadSpread + staleSpread*(1-fresh)
	ahead := spread * softplus((n+1-e.slots)/spread)
	return candidate{endpoint: e, finish: slow * (base + ahead/e.slots*mix), room: n < e.slots*(1+queueShare)}
}

// softplus returns log(1+exp(x)), the mean of a positive part that is uncertain.
func softplus(x float64) float64 {
	if x > 30 {
		return x // exp could overflow
	}
	return math.Log1p(math.Exp(x))
}

// presentRequests returns the estimated number of requests in flight and waiting at e, and
// how far it rests on a report of this moment, between 0 and 1. An outdated report counts
// less, and the mean load of the zone in its place.
func (e *Endpoint) presentRequests(now time.Time) (n, fresh float64) {
	usual := max(e.svc.zoneLoad(e.Zone)*e.slots, float64(e.inflight))
	if e.load.reportedAt.IsZero() {
		return usual, 0
	}
	fresh = math.Exp(-max(now.Sub(e.load.reportedAt), 0).Seconds() / reportMemory.Seconds())
	reported := e.load.utilization*e.slots + float64(e.inflight-e.load.ownInflight)
	return fresh*max(reported, 0) + (1-fresh)*usual, fresh
}

// zoneLoad returns the mean load per slot in zone z.
func (s *service) zoneLoad(z mesh.AvailabilityZone) float64 {
	for i := range s.zones {
		if s.zones[i].zone == z {
			return s.zones[i].load
		}
	}
	return unseenLoad
}

// addZoneLoad records a load per slot that an endpoint in zone z reported.
func (s *service) addZoneLoad(z mesh.AvailabilityZone, load float64) {
	for i := range s.zones {
		if m := &s.zones[i]; m.zone == z {
			m.load += zoneLoadWeight * (load - m.load)
			return
		}
	}
	s.zones = append(s.zones, zoneMean{z, load})
}

// FreeIn returns the time until some endpoint of s is expected to have a free slot.
func (p *Picker) FreeIn(s mesh.Service, now time.Time) time.Duration {
	svc := p.service(s)
	if svc == nil {
		return 0
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	first := time.Duration(math.MaxInt64)
	svc.eachOpen(func(e *Endpoint) bool {
		first = min(first, svc.freeIn(e, now))
		return first > 0
	})
	if first == math.MaxInt64 {
		return 0
	}
	return first
}

// freeIn returns the time until a slot is expected to be free at e.
func (s *service) freeIn(e *Endpoint, now time.Time) time.Duration {
	n, _ := e.presentRequests(now)
	return time.Duration(max(n+1-e.slots, 0) / e.slots * s.mixTime(0) * e.slownessOf(now))
}
