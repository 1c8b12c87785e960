package admit

import "time"

const (
	// maxLateWait is the maximum wait of a ticket whose target has passed. It
	// bridges the gaps between bursts; beyond it, a retry serves the caller
	// better.
	maxLateWait = 150 * time.Millisecond
	// maxLateShare is the maximum number of waiting tickets whose target has
	// passed, as a share of the slots.
	maxLateShare = 0.5
	// inTimeShare is the remaining share of the target with which a ticket counts
	// as able to meet it, whatever its service time.
	inTimeShare = 0.8
	// maxUrgentLoad limits the share of the slots that more urgent ranks are
	// assumed to use when the wait of a less urgent one is estimated.
	maxUrgentLoad = 0.9
)

// missesTarget reports whether the response to t would come after its target if
// t were admitted at now.
func (t *Ticket) missesTarget(now time.Duration) bool {
	r := t.rank
	// Tickets that have hardly waited count as in time even if the service time of
	// their rank exceeds its target.
	maxRequired := time.Duration(inTimeShare * float64(r.policy.Target))
	return r.policy.Target > 0 && t.target-now < min(t.service.meanServiceTime(), maxRequired)
}

// maySkipQueue reports whether t may take a free slot at once. A ticket that
// misses its target may not while others are waiting.
func (m *Machine) maySkipQueue(at time.Duration, t *Ticket) bool {
	return !m.targetAware || m.queued == 0 || !t.missesTarget(at)
}

// enqueueTargetAware adds t to its queue, or to the late queue if its target
// has passed. It refuses t if the wait would be too long.
func (m *Machine) enqueueTargetAware(at time.Duration, t *Ticket) {
	r := t.rank
	wait := m.expectedTargetAwareWait(at, t)
	if t.deadline != noDeadline && wait+t.service.meanServiceTime() > t.deadline-at {
		t.refuse(errWaitOverDeadline)
		return
	}
	if m.maxWait > 0 {
		t.limitWait(at + m.maxWait)
	}
	if !t.AdmitBy.IsZero() {
		t.limitWait(m.at(t.AdmitBy))
	}
	if wait > t.expiresAt-at {
		t.refuse(errWaitOverDeadline)
		return
	}
	if t.missesTarget(at) {
		if float64(r.lateQueue.n) >= maxLateShare*float64(m.limiter.limit(at)) {
			t.refuse(errTargetPassed)
			return
		}
		t.late = true
		t.limitWait(at + maxLateWait)
		m.push(at, t)
		return
	}
	if p := r.policy.Target; p > 0 && wait > max(t.target-at-t.service.upperServiceTime(), p/minWaitDivisor) {
		t.refuse(errWaitOverTarget)
		return
	}
	m.push(at, t)
}

// expectedTargetAwareWait returns the expected wait of the new ticket t. Slots become
// free one by one, the tickets of more urgent ranks and those of its own that aheadOf
// counts are served first, and more urgent ones keep arriving.
func (m *Machine) expectedTargetAwareWait(at time.Duration, t *Ticket) time.Duration {
	r, limit := t.rank, float64(m.limiter.limit(at))
	own := m.aheadOf(at, t)
	ahead, urgent, bulk := own, 0.0, 0
	for _, o := range m.ranks {
		if o.policy.Bulk {
			bulk += o.inFlight
		}
	}
	for _, o := range m.ranks {
		if o == r {
			break
		}
		ahead += o.queue.n
		urgent += o.arrivalRateAt(at) * o.serviceSeconds / limit
	}
	interval := m.meanSlotInterval()
	if r.policy.Bulk && !m.withinBulkLimit(at, r) {
		interval = max(interval, r.serviceSeconds/float64(max(bulk, 1)))
	}
	w := interval * float64(ahead+1) / (1 - min(urgent, maxUrgentLoad))
	if r.policy.Floor > minFloor {
		// More urgent work does not delay requests within the floor of r.
		w = min(w, float64(own+1)*r.serviceSeconds/(r.policy.Floor*limit))
	}
	return time.Duration(w * float64(time.Second))
}

// meanSlotInterval returns the mean time in seconds until the next slot becomes
// free.
func (m *Machine) meanSlotInterval() float64 {
	busy := 0.0 // seconds of work in the slots
	for _, r := range m.ranks {
		busy += float64(r.inFlight) * r.serviceSeconds
	}
	n := float64(max(m.inFlight, 1))
	return busy / (n * n)
}

// admitLate admits the first late ticket of the most urgent rank that has one.
// It reports whether there was one.
func (m *Machine) admitLate(at time.Duration) bool {
	for _, r := range m.ranks {
		if r.lateQueue.n == 0 || !m.mayTakeSlot(at, r) {
			continue
		}
		t := r.lateQueue.pop()
		m.untrack(t)
		if !t.endsInTime(at) {
			m.refuse(t, errOutlastsNode)
			return true
		}
		if t.deadline-at < t.service.meanServiceTime() {
			m.refuse(t, errLateForDeadline)
			return true
		}
		m.admit(at, t)
		m.decided = append(m.decided, t)
		return true
	}
	return false
}
