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
	updateSamples = 32
	// baselineSamples is the least number of samples of a rank that are compared
	// with its baseline; fewer are kept for the next update.
	baselineSamples = 16
	// judgeSamples is the least number of samples before and after a reduction
	// that decide on its success.
	judgeSamples = 48
	// baselineWeight is the weight of a better latency in the baseline. The
	// least of many noisy means would be far below the true latency.
	baselineWeight = 0.3
	// tolerance is the ratio of latency to the best recent latency that does
	// not yet lower the limit.
	tolerance = 1.5
	// reduction is the share by which the limit is lowered at a time. It is
	// large enough for its effect to stand out from the noise of 32 samples.
	reduction = 0.3
	// growth is the growth of the limit by one update, in square roots of the
	// limit.
	growth = 0.3
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
	then float64 // mean that led to the last reduction, 0 if not known then
}

// known reports whether enough samples are in hand.
func (b *baseline) known() bool { return b.n >= baselineSamples }

func (b *baseline) mean() float64 { return max(b.sum/float64(b.n), 1e-6) }

// phase is what the limiter does with the samples until the next update.
type phase uint8

const (
	starting phase = iota // only the fast ones of the first requests have ended
	steady
	confirming // the latency was high; a second look avoids acting on chance
	settling   // the limit was lowered; requests admitted before still end
	judging    // shows whether the lower limit lowered the latency
)

// limiter is the adaptive concurrency limit.
//
// Latency above the best recent one has two causes. If requests queue inside
// the backend server, a lower limit lowers the latency and costs no throughput.
// If the server has just become slower, a lower limit only costs throughput. So
// every reduction is judged: if it did not help, it is taken back and the
// present latency becomes the best one.
type limiter struct {
	slots   int
	fixed   bool
	value   float64 // between 1 and slots
	ramp    time.Duration
	started time.Duration // start of the ramp
	updated time.Duration
	samples int
	seconds float64 // sum of the samples
	busy    bool    // the limit was reached since the last update
	phase   phase
	before  float64 // slowness that caused the last reduction
	doubted bool    // the last reduction did not help
	restore float64 // limit before the present run of reductions, or 0
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

// restart forgets the adapted limit and starts the ramp.
func (l *limiter) restart(now time.Duration) {
	l.started, l.updated = now, now
	l.value, l.restore, l.phase, l.doubted = float64(l.slots), 0, starting, false
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
	l.seconds += latency.Seconds()
	l.samples++
}

// due reports whether enough was observed since the last update. The time
// covers two requests, so that after one update nothing admitted before a
// reduction is in flight.
func (l *limiter) due(since time.Duration) bool {
	if since < updatePeriod || l.samples < updateSamples {
		return false
	}
	return since.Seconds() >= 2*l.seconds/float64(l.samples)
}

// update adapts the limit if enough was observed since the last update.
func (l *limiter) update(now time.Duration, ranks []*rank) {
	since := now - l.updated
	if l.fixed || !l.due(since) {
		return
	}
	s := slowness(ranks, since.Seconds())
	switch l.phase {
	case starting:
		l.phase = steady
		forgetSamples(ranks, true)
	case confirming:
		l.confirm(ranks, s)
	case settling:
		l.phase = judging
		forgetSamples(ranks, true)
	case judging:
		l.judge(ranks, s)
	case steady:
		l.adapt(ranks, s)
	}
	l.updated, l.samples, l.seconds, l.busy = now, 0, 0, false
}

// adapt lowers the limit if latency is high, and raises it if more is asked
// for.
func (l *limiter) adapt(ranks []*rank, s float64) {
	switch {
	case !l.busy:
		l.restore = 0
	case s > tolerance:
		l.phase = confirming
		forgetSamples(ranks, true)
		return
	default:
		l.restore = 0
		l.value = min(l.value+growth*math.Sqrt(l.value), float64(l.slots))
	}
	forgetSamples(ranks, false)
}

// confirm lowers the limit if the latency is still high. The samples that led
// here are not used again: they were chosen for being high, so that any later
// ones would look like a success of the reduction.
func (l *limiter) confirm(ranks []*rank, s float64) {
	n := 0
	for _, r := range ranks {
		if r.latency.known() {
			n += r.latency.n
		}
	}
	switch {
	case n < judgeSamples:
	case s > tolerance && l.busy:
		l.reduce(ranks, s)
	default:
		l.phase, l.restore = steady, 0
		forgetSamples(ranks, false)
	}
}

// reduce lowers the limit because of slowness s.
func (l *limiter) reduce(ranks []*rank, s float64) {
	if l.restore == 0 {
		l.restore = l.value
	}
	for _, r := range ranks {
		r.latency.then = 0
		if r.latency.known() {
			r.latency.then = r.latency.mean()
		}
	}
	l.before, l.phase = s, settling
	l.value = max(l.value*(1-reduction), 1)
}

// judge takes the last reduction back unless the latency of the ranks that led
// to it has fallen. It waits until enough of their samples are in.
func (l *limiter) judge(ranks []*rank, s float64) {
	var was, is float64
	n := 0
	for _, r := range ranks {
		if b := &r.latency; b.known() && b.then > 0 {
			was += b.then * float64(b.n)
			is += b.sum
			n += b.n
		}
	}
	if n < judgeSamples {
		return
	}
	l.phase = steady
	if is <= was*(1-reduction/2) {
		l.doubted = false
		l.adapt(ranks, s)
		return
	}
	if !l.doubted {
		// The latency may still have been rising when the limit was lowered.
		l.doubted = true
		l.reduce(ranks, max(s, l.before))
		return
	}
	l.value, l.restore, l.doubted = l.restore, 0, false
	for _, r := range ranks {
		if b := &r.latency; b.known() {
			b.best = b.mean()
		} else {
			b.best *= l.before
		}
	}
	forgetSamples(ranks, false)
}

// forgetSamples starts new samples for the ranks that are known, or for all.
func forgetSamples(ranks []*rank, all bool) {
	for _, r := range ranks {
		if b := &r.latency; all || b.known() {
			b.sum, b.n = 0, 0
		}
	}
}

// slowness returns the mean ratio of the observed latency to the best one, over
// all samples since the last update. It keeps the best latencies up to date.
func slowness(ranks []*rank, seconds float64) float64 {
	var sum, n float64
	for _, r := range ranks {
		b := &r.latency
		b.best *= 1 + baselineGrowth*seconds
		if !b.known() {
			continue
		}
		mean := b.mean()
		switch {
		case b.best == 0:
			b.best = mean
		case mean < b.best:
			b.best += baselineWeight * (mean - b.best)
		}
		sum += mean / b.best * float64(b.n)
		n += float64(b.n)
	}
	if n == 0 {
		return 1
	}
	return sum / n
}
