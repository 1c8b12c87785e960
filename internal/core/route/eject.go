package route

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// baseEjectionTime is the length of the first ejection; it doubles with
	// each further one.
	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 5 * time.Minute
	// ejectionResetTime is the time without an ejection after which the next
	// one has the base length again.
	ejectionResetTime = 10 * time.Minute
	// ejectableDivisor limits concurrent ejections: at most one in
	// ejectableDivisor healthy endpoints of a service is ejected.
	ejectableDivisor = 3

	maxConsecutiveFailures = 5   // consecutive failures that cause an ejection
	failureRateMargin      = 0.4 // excess over the failure rate of the others that causes an ejection
	minFailureSamples      = 20  // observations required to compare the failure rate
	slowLatencyFactor      = 4   // multiple of the median latency that causes an ejection
	minSlowMargin          = 20 * time.Millisecond
	minLatencySamples      = 20
	compareInterval        = 8  // observations between latency comparisons
	maxCompared            = 32 // maximum number of other endpoints in a comparison
	ewmaWeight             = 0.1

	// drainHold is how long an endpoint is excluded after a refusal with
	// draining, unless membership reports a newer incarnation.
	drainHold = 10 * time.Second

	// failedHold is how long an unhealthy endpoint that failed is tried only if
	// no other endpoint is left.
	failedHold = 5 * time.Second
)

// Outcome is the result of an attempt as far as it concerns the endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	Success  Outcome = iota // complete response, or a refusal that is not the endpoint's fault
	Failed                  // no connection, no or truncated response, response to another request, status 5xx
	Drained                 // refused by the gate with draining
	Canceled                // canceled by this node or the caller; says nothing about the endpoint
)

// observations holds what this node measured for one endpoint.
type observations struct {
	consecutiveFailures int
	failureRate         float64
	samples             int // outcomes since the last ejection
	latencies           []latencyEWMA
	ejections           int
}

type latencyEWMA struct {
	rank  mesh.Rank
	value float64 // nanoseconds
	count int
}

func (o *observations) addLatency(rank mesh.Rank, d time.Duration) *latencyEWMA {
	for i := range o.latencies {
		l := &o.latencies[i]
		if l.rank == rank {
			l.value += ewmaWeight * (float64(d) - l.value)
			l.count++
			return l
		}
	}
	o.latencies = append(o.latencies, latencyEWMA{rank, float64(d), 1})
	return &o.latencies[len(o.latencies)-1]
}

func (o *observations) latencyOf(rank mesh.Rank) (float64, bool) {
	for i := range o.latencies {
		if l := &o.latencies[i]; l.rank == rank {
			return l.value, l.count >= minLatencySamples/2
		}
	}
	return 0, false
}

// observe records the outcome of an attempt on e and reports whether e should
// be ejected. A latency of 0 is not recorded.
func (s *service) observe(e *Endpoint, out Outcome, rank mesh.Rank, latency time.Duration) bool {
	o := &e.obs
	failed := 0.0
	if out == Failed {
		failed = 1
		o.consecutiveFailures++
	} else {
		o.consecutiveFailures = 0
		e.probing = false
	}
	o.samples++
	o.failureRate += ewmaWeight * (failed - o.failureRate)
	if out == Failed {
		return e.probing || o.consecutiveFailures >= maxConsecutiveFailures ||
			o.samples >= minFailureSamples && o.failureRate > s.othersFailureRate(e)+failureRateMargin
	}
	if latency <= 0 {
		return false
	}
	l := o.addLatency(rank, latency)
	return l.count >= minLatencySamples && l.count%compareInterval == 0 && s.isSlow(e, rank, l.value)
}

// othersFailureRate returns the mean failure rate of the other open endpoints.
func (s *service) othersFailureRate(e *Endpoint) float64 {
	sum, n := 0.0, 0
	s.eachOpen(func(x *Endpoint) bool {
		if x != e && x.obs.samples > 0 {
			sum += x.obs.failureRate
			n++
		}
		return n < maxCompared
	})
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// isSlow reports whether the latency v of e is far above the median of the
// other open endpoints for the same rank.
func (s *service) isSlow(e *Endpoint, rank mesh.Rank, v float64) bool {
	vs := make([]float64, 0, maxCompared)
	s.eachOpen(func(x *Endpoint) bool {
		if x == e {
			return true
		}
		if l, ok := x.obs.latencyOf(rank); ok {
			vs = append(vs, l)
		}
		return len(vs) < maxCompared
	})
	if len(vs) < 2 {
		return false
	}
	slices.Sort(vs)
	m := vs[(len(vs)-1)/2]
	return v > slowLatencyFactor*m && v > m+float64(minSlowMargin)
}

func (s *service) eachOpen(f func(*Endpoint) bool) {
	for _, e := range s.local {
		if !f(e) {
			return
		}
	}
	for _, e := range s.remote {
		if !f(e) {
			return
		}
	}
}

// eject excludes e from selection for a time, unless more than a third of the
// healthy endpoints of the service would be ejected. It reports whether e was
// ejected.
func (s *service) eject(e *Endpoint, now time.Time) bool {
	ejected, n := 0, 0
	for _, x := range s.all {
		if x.class != healthy {
			continue
		}
		n++
		if x != e && now.Before(x.ejectedUntil) {
			ejected++
		}
	}
	if ejected+1 > n/ejectableDivisor {
		return false
	}
	o := &e.obs
	if now.Sub(e.ejectedUntil) > ejectionResetTime {
		o.ejections = 0
	}
	d := min(baseEjectionTime<<min(o.ejections, 16), maxEjectionTime)
	*o = observations{ejections: o.ejections + 1}
	e.ejectedUntil = now.Add(d)
	e.probing = true
	return true
}
