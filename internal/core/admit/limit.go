package admit

import (
	"math"
	"time"
)

const (
	// rampShare is the share of the slots that are open at a cold start.
	rampShare = 0.25
	// updatePeriod is the least time between two updates of the limit.
	updatePeriod = 100 * time.Millisecond
	// updateSamples is the least number of samples of an update.
	updateSamples = 16
	// tolerance is the ratio of latency to the best recent latency that does
	// not yet lower the limit.
	tolerance = 1.5
	// leastGradient bounds the reduction by one update.
	leastGradient = 0.5
	// smoothing is the weight of a new limit against the old.
	smoothing = 0.3
	// baselineGrowth is the growth of the best latency per second. It lets the
	// baseline follow a lasting change of the work.
	baselineGrowth = 0.02
)

// baseline compares the latency of a rank with its best recent latency. Both
// are means over the samples of one update, since single service times vary by
// nature.
type baseline struct {
	sum  float64 // seconds, samples since the last update
	n    int
	best float64 // seconds, 0 if unknown
}

// limiter is the adaptive concurrency limit.
type limiter struct {
	slots   int
	fixed   bool
	value   float64 // between 1 and slots
	ramp    time.Duration
	started time.Duration // start of the ramp
	updated time.Duration
	samples int
	busy    bool // the limit was reached since the last update
}

// limit returns the number of requests that may be in flight.
func (l *limiter) limit(now time.Duration) int {
	v := l.value
	if since := now - l.started; since < l.ramp {
		share := rampShare + (1-rampShare)*float64(since)/float64(l.ramp)
		v = min(v, float64(l.slots)*share)
	}
	return max(1, int(v))
}

// setSlots changes the announced slots and keeps the share of them in use.
func (l *limiter) setSlots(n int) {
	n = max(n, 1)
	if l.slots > 0 {
		l.value = l.value / float64(l.slots) * float64(n)
	} else {
		l.value = float64(n)
	}
	l.slots = n
	l.value = min(max(l.value, 1), float64(n))
}

// sample records the latency of one answer of a rank.
func (l *limiter) sample(b *baseline, latency time.Duration) {
	b.sum += latency.Seconds()
	b.n++
	l.samples++
}

// update adapts the limit if enough was observed since the last update.
func (l *limiter) update(now time.Duration, ranks []*rank) {
	since := now - l.updated
	if since < updatePeriod || l.samples < updateSamples {
		return
	}
	g := gradient(ranks, since.Seconds())
	if !l.fixed && (l.busy || g < 1) {
		next := l.value*g + math.Sqrt(l.value)
		l.value += smoothing * (next - l.value)
		l.value = min(max(l.value, 1), float64(l.slots))
	}
	l.updated, l.samples, l.busy = now, 0, false
}

// gradient returns the mean ratio of the tolerated latency to the observed one
// over all samples, between leastGradient and 1, and starts new windows.
func gradient(ranks []*rank, seconds float64) float64 {
	var sum, n float64
	for _, r := range ranks {
		b := &r.latency
		if b.best > 0 {
			b.best *= 1 + baselineGrowth*seconds
		}
		if b.n == 0 {
			continue
		}
		mean := max(b.sum/float64(b.n), 1e-6)
		if b.best == 0 || mean < b.best {
			b.best = mean
		}
		g := min(max(tolerance*b.best/mean, leastGradient), 1)
		sum += g * float64(b.n)
		n += float64(b.n)
		b.sum, b.n = 0, 0
	}
	if n == 0 {
		return 1
	}
	return sum / n
}
