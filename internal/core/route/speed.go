package route

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/internal/core/member"
)

const (
	// priorWeight is the number of samples that the prior counts for: an endpoint is as
	// fast as the others of its service until it has been measured.
	priorWeight = 2
	// maxSpeedWeight bounds the weight of earlier samples of an endpoint.
	maxSpeedWeight = 24
	// speedMemory is the time constant after which samples of an endpoint are forgotten.
	speedMemory = 30 * time.Second
	// slowMemory is the time constant of the latest slowness of an endpoint. Servers are
	// slow for 600 ms at a time.
	slowMemory = 600 * time.Millisecond
	// trustTime is the time after a measurement by the node next to the server in which
	// attempts of this node say nothing more.
	trustTime = 5 * time.Second
	// learnedWeight is the weight of a reported slowness in samples.
	learnedWeight = 0.1
	// minSlowness and maxSlowness bound the slowness of an endpoint, relative to the mean
	// of its service.
	minSlowness = 0.25
	maxSlowness = 6
	// baseSamples is the number of samples over which the time of a route is averaged.
	baseSamples = 32
	// mixWeight is the weight of a sample in the mean time over all routes of a service. It
	// follows a change of the routes in use within seconds at 5 requests a second.
	mixWeight = 1.0 / 16
	// maxRoutes bounds the routes kept per service; those of earlier configurations stay
	// until the service has no endpoint.
	maxRoutes = 256
)

// slowness is what is known of the time that requests take at one endpoint, as a multiple
// of the mean over the endpoints of its service.
type slowness struct {
	mean     float64 // of the samples
	weight   float64 // of mean, in samples
	latest   float64
	latestAt time.Time
	sampleAt time.Time
	// measuredAt is when the node next to the server last measured it. Only that node knows
	// which requests did not wait for a slot.
	measuredAt time.Time
	route      routeHash // of the last request that was measured
}

// add records that a request took ratio times the usual time.
func (v *slowness) add(ratio float64, now time.Time) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	if !v.sampleAt.IsZero() {
		v.weight *= math.Exp(-max(now.Sub(v.sampleAt).Seconds(), 0) / speedMemory.Seconds())
	}
	v.average(ratio, 1)
	v.sampleAt = now
	v.latest += (1 - 0.5*v.latestWeight(now)) * (ratio - v.latest) // the more, the older it is
	v.latestAt = now
}

// average adds a sample of the given weight to the mean.
func (v *slowness) average(ratio, weight float64) {
	v.weight = min(v.weight+weight, maxSpeedWeight)
	v.mean += (ratio - v.mean) * min(weight/v.weight, 1)
}

// learn records the slowness that the node next to the server measured. It knows all
// requests there, so that its latest value replaces the one known here.
func (v *slowness) learn(slow float64, r routeHash, at time.Time) {
	slow = min(max(slow, minSlowness), maxSlowness)
	v.average(slow, learnedWeight)
	v.latest, v.latestAt, v.measuredAt, v.route = slow, at, at, r
}

func (v *slowness) latestWeight(now time.Time) float64 {
	if v.latestAt.IsZero() {
		return 0
	}
	return math.Exp(-max(now.Sub(v.latestAt).Seconds(), 0) / slowMemory.Seconds())
}

// usual returns the slowness over a long time.
func (v *slowness) usual() float64 {
	return (priorWeight + v.weight*v.mean) / (priorWeight + v.weight)
}

// at returns the slowness expected at now.
func (v *slowness) at(now time.Time) float64 {
	u := v.usual()
	return u + v.latestWeight(now)*(v.latest-u)
}

// times holds the time that requests take at an endpoint of usual speed of a service.
type times struct {
	routes map[string]*routeTime
	byHash map[routeHash]*routeTime
	mix    float64 // nanoseconds, mean over the requests of all routes; 0 if unknown
}

// routeHash names a route in reports.
type routeHash uint16

func hashRoute(name string) routeHash { return routeHash(xxhash.Sum64String(name)) }

type routeTime struct {
	hash    routeHash
	mean    float64 // nanoseconds
	samples int
	// reportedAt is the time of the last report of a node that measured the time at its own
	// server.
	reportedAt time.Time
}

// report records the time that a node measured at its own server. The mean over such reports
// is that over the servers, while most attempts of a node go to few of them.
func (r *routeTime) report(d float64, at time.Time) {
	r.reportedAt = at
	r.add(d)
}

func (r *routeTime) add(d float64) {
	r.samples = min(r.samples+1, baseSamples)
	r.mean += (min(d, 4*r.mean) - r.mean) / float64(r.samples)
}

// of returns the time of a route, or the mean of all routes or the given time if it is
// unknown.
func (t *times) of(route string, assumed time.Duration) float64 {
	if r := t.routes[route]; r != nil {
		return r.mean
	}
	return float64(assumed)
}

// add records that an attempt of this node on the route took d, divided by the slowness of
// its endpoint. The time may hold some wait, so that it does not count beside reports.
func (t *times) add(route string, d float64, now time.Time) {
	r := t.routes[route]
	if r == nil {
		if len(t.routes) >= maxRoutes {
			return
		}
		if t.routes == nil {
			t.routes, t.byHash = make(map[string]*routeTime), make(map[routeHash]*routeTime)
		}
		r = &routeTime{hash: hashRoute(route), mean: d}
		t.routes[route], t.byHash[r.hash] = r, r
	}
	if now.Sub(r.reportedAt) > trustTime {
		r.add(d)
	}
	t.addMix(r.mean)
}

// addMix adds a request of a route with the given time to the mean over all routes.
func (t *times) addMix(d float64) {
	if t.mix == 0 {
		t.mix = d
	}
	t.mix += mixWeight * (d - t.mix)
}

// slownessOf returns the expected slowness of e at now, a warm-up included.
func (e *Endpoint) slownessOf(now time.Time) float64 {
	f := e.finish.slowness.at(now)
	if e.state == member.Warming && e.finish.slowness.weight < priorWeight {
		f = max(f, warmingFactor)
	}
	return f
}

// ObserveTime records that a request of the route, which did not wait for a slot, took d
// at e. Requests that this node's own gate observed are many of one endpoint: they are
// marked as own, and say how slow it is, but not what is usual for the service unless nothing
// else is known.
func (p *Picker) ObserveTime(e *Endpoint, route string, d time.Duration, own bool, now time.Time) {
	s := e.svc
	s.mu.Lock()
	defer s.mu.Unlock()
	if d <= 0 {
		return
	}
	v := &e.finish.slowness
	if base := s.times.routes[route]; base != nil && (own || now.Sub(v.measuredAt) > trustTime) {
		v.add(float64(d)/base.mean, now)
		if own {
			v.measuredAt, v.route = now, base.hash
			s.times.addMix(base.mean)
		}
	}
	if (!own || s.times.routes[route] == nil) && e.state != member.Warming {
		// The root, since the scale of the slowness would be arbitrary at a node that uses
		// a single endpoint, if all of it were taken out.
		s.times.add(route, float64(d)/math.Sqrt(e.slownessOf(now)), now)
	}
}
