package admit

import (
	"math"
	"time"
)

const (
	// rampStartShare is the share of the slots that is available at a cold start.
	rampStartShare = 0.25
	// belowStartShare is the share of the slots that is available at first to a gate whose
	// predecessor may have requests running. Most of these end within one service time.
	belowStartShare = 0.5
	// minUpdateInterval is the minimum time between two updates of the limit.
	minUpdateInterval = 100 * time.Millisecond
	// minUpdateSamples is the minimum number of samples for an update.
	minUpdateSamples = 32
	// minBaselineSamples is the minimum number of samples of a rank that are
	// compared with its baseline; fewer are kept for the next update.
	minBaselineSamples = 16
	// minEvaluationSamples is the minimum number of samples before and after a
	// reduction that are needed to evaluate it.
	minEvaluationSamples = 48
	// baselineWeight is the weight of a lower latency in the baseline. The minimum
	// of many noisy means would be far below the true latency.
	baselineWeight = 0.3
	// latencyTolerance is the highest ratio of latency to the best recent latency
	// that does not lower the limit.
	latencyTolerance = 1.5
	// reductionShare is the share by which the limit is lowered at a time. It is
	// large enough for its effect to exceed the noise of 32 samples.
	reductionShare = 0.3
	// growthFactor is the increase of the limit per update, as a multiple of the
	// square root of the limit.
	growthFactor = 0.3
	// baselineGrowthPerSecond is the relative growth of the best latency. It lets
	// the baseline follow a lasting change of the workload.
	baselineGrowthPerSecond = 0.02
)

// baseline compares the latency of a rank with its best recent latency. Both
// are means over the samples of one update, since individual service times
// vary.
type baseline struct {
	sum             float64 // sum of the samples since the last update, in seconds
	n               int
	best            float64 // seconds, 0 if unknown
	beforeReduction float64 // mean that caused the last reduction, 0 if there were too few samples
}

// enoughSamples reports whether there are enough samples to compare.
func (b *baseline) enoughSamples() bool { return b.n >= minBaselineSamples }

func (b *baseline) mean() float64 { return max(b.sum/float64(b.n), 1e-6) }

// phase determines how the limiter uses the samples of the next update.
type phase uint8

const (
	starting phase = iota // samples are biased, since only fast requests have ended
	steady
	confirming // the latency was high; new samples must confirm it
	settling   // the limit was lowered; requests admitted before are still running
	evaluating // measures whether the lower limit reduced the latency
)

// limiter is the adaptive concurrency limit.
//
// Latency above the best recent one has two causes. If requests queue inside
// the backend server, a lower limit lowers the latency and costs no throughput.
// If the server itself has become slower, a lower limit only costs throughput.
// Every reduction is therefore evaluated: if it did not help, it is reverted
// and the current latency becomes the best one.
type limiter struct {
	slots         int
	fixed         bool
	value         float64 // between 1 and slots
	rampDuration  time.Duration
	rampStart     time.Duration
	belowStart    time.Duration // see Machine.StartBelow
	belowDuration time.Duration
	lastUpdate    time.Duration
	samples       int
	sampleSeconds float64 // sum of the samples
	limitReached  bool    // the limit was reached since the last update
	phase         phase
	ratioBefore   float64 // latency ratio that caused the last reduction
	ineffective   bool    // the last reduction did not help
	restoreLimit  float64 // limit before the current series of reductions, or 0
}

// limit returns the number of requests that may be in flight.
func (l *limiter) limit(now time.Duration) int {
	v := l.value
	if since := now - l.rampStart; since < l.rampDuration {
		share := rampStartShare + (1-rampStartShare)*float64(since)/float64(l.rampDuration)
		v = min(v, float64(l.slots)*share)
	}
	if since := now - l.belowStart; since < l.belowDuration {
		share := belowStartShare + (1-belowStartShare)*float64(since)/float64(l.belowDuration)
		v = min(v, float64(l.slots)*share)
	}
	return max(1, int(v))
}

// restart resets the adapted limit and starts the ramp.
func (l *limiter) restart(now time.Duration) {
	l.rampStart, l.lastUpdate, l.belowDuration = now, now, 0
	l.value, l.restoreLimit, l.phase, l.ineffective = float64(l.slots), 0, starting, false
}

// setSlots changes the announced slots and scales the limit in proportion.
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

// recordLatency records the latency of one response of a rank.
func (l *limiter) recordLatency(b *baseline, latency time.Duration) {
	b.sum += latency.Seconds()
	b.n++
	l.sampleSeconds += latency.Seconds()
	l.samples++
}

// updateDue reports whether there are enough samples and time since the last
// update. The time covers two mean latencies, so that after one update no
// request admitted before a reduction is in flight.
func (l *limiter) updateDue(since time.Duration) bool {
	if since < minUpdateInterval || l.samples < minUpdateSamples {
		return false
	}
	return since.Seconds() >= 2*l.sampleSeconds/float64(l.samples)
}

// update adapts the limit if an update is due.
func (l *limiter) update(now time.Duration, ranks []*rank) {
	since := now - l.lastUpdate
	if l.fixed || !l.updateDue(since) {
		return
	}
	ratio := latencyRatio(ranks, since.Seconds())
	switch l.phase {
	case starting:
		l.phase = steady
		resetSamples(ranks, true)
	case confirming:
		l.confirm(ranks, ratio)
	case settling:
		l.phase = evaluating
		resetSamples(ranks, true)
	case evaluating:
		l.evaluate(ranks, ratio)
	case steady:
		l.adapt(ranks, ratio)
	}
	l.lastUpdate, l.samples, l.sampleSeconds, l.limitReached = now, 0, 0, false
}

// adapt raises the limit if it was reached, or starts to confirm a high
// latency.
func (l *limiter) adapt(ranks []*rank, ratio float64) {
	switch {
	case !l.limitReached:
		l.restoreLimit = 0
	case ratio > latencyTolerance:
		l.phase = confirming
		resetSamples(ranks, true)
		return
	default:
		l.restoreLimit = 0
		l.value = min(l.value+growthFactor*math.Sqrt(l.value), float64(l.slots))
	}
	resetSamples(ranks, false)
}

// confirm lowers the limit if the latency is still high. The samples that led
// here are not used again: they were selected for being high, so compared with
// them any later ones would make the reduction look successful.
func (l *limiter) confirm(ranks []*rank, ratio float64) {
	n := 0
	for _, r := range ranks {
		if r.latency.enoughSamples() {
			n += r.latency.n
		}
	}
	switch {
	case n < minEvaluationSamples:
	case ratio > latencyTolerance && l.limitReached:
		l.reduce(ranks, ratio)
	default:
		l.phase, l.restoreLimit = steady, 0
		resetSamples(ranks, false)
	}
}

// reduce lowers the limit because of the given latency ratio.
func (l *limiter) reduce(ranks []*rank, ratio float64) {
	if l.restoreLimit == 0 {
		l.restoreLimit = l.value
	}
	for _, r := range ranks {
		r.latency.beforeReduction = 0
		if r.latency.enoughSamples() {
			r.latency.beforeReduction = r.latency.mean()
		}
	}
	l.ratioBefore, l.phase = ratio, settling
	l.value = max(l.value*(1-reductionShare), 1)
}

// evaluate reverts the last reduction unless the latency of the ranks that
// caused it has fallen. It waits until there are enough samples of them.
func (l *limiter) evaluate(ranks []*rank, ratio float64) {
	var before, after float64
	n := 0
	for _, r := range ranks {
		if b := &r.latency; b.enoughSamples() && b.beforeReduction > 0 {
			before += b.beforeReduction * float64(b.n)
			after += b.sum
			n += b.n
		}
	}
	if n < minEvaluationSamples {
		return
	}
	l.phase = steady
	if after <= before*(1-reductionShare/2) {
		l.ineffective = false
		l.adapt(ranks, ratio)
		return
	}
	if !l.ineffective {
		// The latency may still have been rising when the limit was lowered.
		l.ineffective = true
		l.reduce(ranks, max(ratio, l.ratioBefore))
		return
	}
	l.value, l.restoreLimit, l.ineffective = l.restoreLimit, 0, false
	for _, r := range ranks {
		if b := &r.latency; b.enoughSamples() {
			b.best = b.mean()
		} else {
			b.best *= l.ratioBefore
		}
	}
	resetSamples(ranks, false)
}

// resetSamples discards the samples of the ranks that have enough of them, or
// of every rank if all is set.
func resetSamples(ranks []*rank, all bool) {
	for _, r := range ranks {
		if b := &r.latency; all || b.enoughSamples() {
			b.sum, b.n = 0, 0
		}
	}
}

// latencyRatio returns the mean ratio of the observed latency to the best one,
// over all samples since the last update. It also updates the best latencies.
func latencyRatio(ranks []*rank, seconds float64) float64 {
	var sum, n float64
	for _, r := range ranks {
		b := &r.latency
		b.best *= 1 + baselineGrowthPerSecond*seconds
		if !b.enoughSamples() {
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
