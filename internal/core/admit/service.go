package admit

import (
	"math"
	"time"
)

// maxRoutes is the maximum number of routes of a rank whose service time is kept apart;
// further ones share that of the rank.
const maxRoutes = 64

// serviceTime estimates how long requests hold their slot.
type serviceTime struct {
	serviceSeconds   float64       // mean service time
	firstSample      time.Duration // time of the first sample
	lastSample       time.Duration // time of the last sample
	serviceSamples   int           // number of samples, up to initialSamples
	deviationSeconds float64       // mean deviation
	longest          longestService
}

// record records the end of a request that held its slot for d.
func (e *serviceTime) record(now, d time.Duration) {
	s := d.Seconds()
	e.longest.record(now, d)
	w := min(maxServiceWeight, float64(now-e.lastSample)/float64(serviceTimeConstant))
	if e.serviceSamples == 0 {
		e.firstSample = now
	}
	if e.serviceSamples < initialSamples {
		e.serviceSamples++
		w = max(w, 1/float64(e.serviceSamples+1)) // the assumed time counts as one sample
	} else {
		s = min(s, outlierRatio*e.serviceSeconds)
	}
	e.lastSample = now
	diff := s - e.serviceSeconds
	e.serviceSeconds += w * diff
	e.deviationSeconds += w * (math.Abs(diff) - e.deviationSeconds)
}

// upperServiceTime returns a service time that few requests exceed.
func (e *serviceTime) upperServiceTime() time.Duration {
	return time.Duration((e.serviceSeconds + serviceDeviations*e.deviationSeconds) * float64(time.Second))
}

// meanServiceTime returns the mean service time.
func (e *serviceTime) meanServiceTime() time.Duration {
	return time.Duration(e.serviceSeconds * float64(time.Second))
}

// serviceOf returns the service time of the given route, or that of r if the route is
// "" or one too many.
func (r *rank) serviceOf(route string) *serviceTime {
	if route == "" {
		return &r.serviceTime
	}
	if e := r.routes[route]; e != nil {
		return e
	}
	if len(r.routes) >= maxRoutes {
		return &r.serviceTime
	}
	if r.routes == nil {
		r.routes = make(map[string]*serviceTime)
	}
	e := &serviceTime{serviceSeconds: r.initialSeconds}
	r.routes[route] = e
	return e
}

// recordRoute records the end of t in the service time of its route, if it has its own.
func (r *rank) recordRoute(now time.Duration, t *Ticket) {
	if e := r.serviceOf(t.Route); e != &r.serviceTime {
		e.record(now, now-t.admitted)
	}
}

// StartBelow lets the limit rise from half of the slots to all of them within d, since
// requests that this machine does not know may be running.
func (m *Machine) StartBelow(now time.Time, d time.Duration) {
	m.limiter.belowStart, m.limiter.belowDuration = m.at(now), d
}

// MeanServiceTimeOf returns the mean time that requests such as t, which was offered,
// hold their slot.
func (m *Machine) MeanServiceTimeOf(t *Ticket) time.Duration {
	if t.rank == nil || t.Route == "" && !t.Nested {
		return m.MeanServiceTime(t.Rank)
	}
	return t.rank.current().serviceOf(t.Route).meanServiceTime()
}
