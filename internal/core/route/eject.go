package route

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// ejectBase is the length of the first ejection; each further one doubles.
	ejectBase = 5 * time.Second
	ejectMax  = 5 * time.Minute
	// ejectForget is the time without ejection after which the next one has
	// the base length again.
	ejectForget = 10 * time.Minute
	// ejectShare is the divisor of the number of endpoints that gives the most
	// that may be ejected at a time.
	ejectShare = 3

	failsInRow     = 5   // consecutive failures that eject
	failRate       = 0.4 // failure rate, above that of the others, that ejects
	failSamples    = 20  // least observations before a rate is compared
	slowFactor     = 4   // latency, as a multiple of the median, that ejects
	slowLeast      = 20 * time.Millisecond
	latencySamples = 20
	compareEvery   = 8  // observations between comparisons
	compareSample  = 32 // endpoints compared with
	ewmaWeight     = 0.1

	// drainHold is the time for which a refusal with draining counts, unless
	// membership reports a newer incarnation.
	drainHold = 10 * time.Second

	// cautiousHold is the time for which a last known endpoint that failed is
	// tried only if no other endpoint is left.
	cautiousHold = 5 * time.Second
)

// Outcome says how an attempt ended, as far as it tells of the endpoint.
type Outcome uint8

// The outcomes of an attempt.
const (
	Success  Outcome = iota // complete response or a refusal that is no fault of the endpoint
	Failed                  // no connection, no or truncated response, crossed response, status 5xx
	Drained                 // the gate refused with draining
	Canceled                // ended by this node or the caller; tells nothing
)

// observations are what this node saw of one endpoint.
type observations struct {
	inRow     int // failures in a row
	rate      float64
	count     int // outcomes since the last ejection
	latency   []latencyEWMA
	ejections int
}

type latencyEWMA struct {
	rank  mesh.Rank
	value float64 // nanoseconds
	count int
}

func (o *observations) addLatency(rank mesh.Rank, d time.Duration) *latencyEWMA {
	for i := range o.latency {
		l := &o.latency[i]
		if l.rank == rank {
			l.value += ewmaWeight * (float64(d) - l.value)
			l.count++
			return l
		}
	}
	o.latency = append(o.latency, latencyEWMA{rank, float64(d), 1})
	return &o.latency[len(o.latency)-1]
}

func (o *observations) latencyOf(rank mesh.Rank) (float64, bool) {
	for i := range o.latency {
		if l := &o.latency[i]; l.rank == rank {
			return l.value, l.count >= latencySamples/2
		}
	}
	return 0, false
}

// observe records the outcome of an attempt on e and reports whether e should
// be ejected. Latency 0 is not recorded.
func (s *service) observe(e *Endpoint, out Outcome, rank mesh.Rank, latency time.Duration) bool {
	o := &e.obs
	failed := 0.0
	if out == Failed {
		failed = 1
		o.inRow++
	} else {
		o.inRow = 0
		e.probing = false
	}
	o.count++
	o.rate += ewmaWeight * (failed - o.rate)
	if out == Failed {
		return e.probing || o.inRow >= failsInRow ||
			o.count >= failSamples && o.rate > s.othersRate(e)+failRate
	}
	if latency <= 0 {
		return false
	}
	l := o.addLatency(rank, latency)
	return l.count >= latencySamples && l.count%compareEvery == 0 && s.isSlow(e, rank, l.value)
}

// othersRate returns the mean failure rate of the other open endpoints.
func (s *service) othersRate(e *Endpoint) float64 {
	sum, n := 0.0, 0
	s.eachOpen(func(x *Endpoint) bool {
		if x != e && x.obs.count > 0 {
			sum += x.obs.rate
			n++
		}
		return n < compareSample
	})
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// isSlow reports whether the latency v of e stands out from the median of the
// other open endpoints at the same rank.
func (s *service) isSlow(e *Endpoint, rank mesh.Rank, v float64) bool {
	vs := make([]float64, 0, compareSample)
	s.eachOpen(func(x *Endpoint) bool {
		if x == e {
			return true
		}
		if l, ok := x.obs.latencyOf(rank); ok {
			vs = append(vs, l)
		}
		return len(vs) < compareSample
	})
	if len(vs) < 2 {
		return false
	}
	slices.Sort(vs)
	m := vs[(len(vs)-1)/2]
	return v > slowFactor*m && v > m+float64(slowLeast)
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

// eject takes e out of the choice for a time, unless a third of the endpoints
// of the service is out already. It reports whether e was ejected.
func (s *service) eject(e *Endpoint, now time.Time) bool {
	out, n := 0, 0
	for _, x := range s.all {
		if x.class != healthy {
			continue
		}
		n++
		if x != e && now.Before(x.ejectedUntil) {
			out++
		}
	}
	if out+1 > n/ejectShare {
		return false
	}
	o := &e.obs
	if now.Sub(e.ejectedUntil) > ejectForget {
		o.ejections = 0
	}
	d := min(ejectBase<<min(o.ejections, 16), ejectMax)
	*o = observations{ejections: o.ejections + 1}
	e.ejectedUntil = now.Add(d)
	e.probing = true
	return true
}
