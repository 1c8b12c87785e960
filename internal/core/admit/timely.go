package admit

import "time"

const (
	// lateWait is the longest wait of a ticket whose target has passed. It bridges
	// the gaps between bursts; a caller that waits longer does better to come back.
	lateWait = 150 * time.Millisecond
	// lateShare is the most tickets whose target has passed that may wait, as a
	// share of the slots.
	lateShare = 0.5
	// freshShare is the share of the target that is left to a ticket that counts as
	// one that can be in time, whatever its work takes.
	freshShare = 0.8
	// mostUrgentLoad bounds the share of the slots that more urgent ranks are
	// taken to use when the wait of a lower one is estimated.
	mostUrgentLoad = 0.9
)

// passed reports whether an answer to t, were it admitted at now, would come after
// its target.
func (t *Ticket) passed(now time.Duration) bool {
	r := t.rank
	// A rank whose work takes longer than its target has tickets in time, too:
	// those that have hardly waited.
	most := time.Duration(freshShare * float64(r.policy.Target))
	return r.policy.Target > 0 && t.target-now < min(r.meanService(), most)
}

// mayPass reports whether t may take a free slot: one whose target has passed only
// if no rank has work waiting that can be in time.
func (m *Machine) mayPass(at time.Duration, t *Ticket) bool {
	return !m.timely || m.queued == 0 || !t.passed(at)
}

// enqueueTimely puts t into its queue, or behind it if its target has passed. It
// refuses t if the wait would be too long.
func (m *Machine) enqueueTimely(at time.Duration, t *Ticket) {
	r := t.rank
	wait := m.turns(at, r)
	if t.deadline != noDeadline && wait+r.meanService() > t.deadline-at {
		t.refuse(errWait)
		return
	}
	if m.longest > 0 {
		t.until = min(t.until, at+m.longest)
	}
	if !t.AdmitBy.IsZero() {
		t.until = min(t.until, m.at(t.AdmitBy))
	}
	if wait > t.until-at {
		t.refuse(errWait)
		return
	}
	if t.passed(at) {
		if float64(r.behind.n) >= lateShare*float64(m.limiter.limit(at)) {
			t.refuse(errPassed)
			return
		}
		t.late, t.until = true, min(t.until, at+lateWait)
		m.push(at, t)
		return
	}
	if p := r.policy.Target; p > 0 && wait > max(t.target-at-r.expectedService(), p/leastWait) {
		t.refuse(errTarget)
		return
	}
	m.push(at, t)
}

// turns returns the expected wait of a new ticket of r: the slots come free one by
// one, the tickets of more urgent ranks and of r are served first, and more urgent
// ones go on to arrive.
func (m *Machine) turns(at time.Duration, r *rank) time.Duration {
	limit := float64(m.limiter.limit(at))
	ahead, urgent, bulk := r.queue.n, 0.0, 0
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
		urgent += o.rateAt(at) * o.service / limit
	}
	turn := m.turn()
	if r.policy.Bulk && !m.bulkFits(at, r) {
		turn = max(turn, r.service/float64(max(bulk, 1)))
	}
	w := turn * float64(ahead+1) / (1 - min(urgent, mostUrgentLoad))
	if r.policy.Floor > minFloor {
		// More urgent work does not hold up the floor of r.
		w = min(w, float64(r.queue.n+1)*r.service/(r.policy.Floor*limit))
	}
	return time.Duration(w * float64(time.Second))
}

// turn returns the mean time in seconds until the next slot comes free.
func (m *Machine) turn() float64 {
	busy := 0.0 // seconds of work in the slots
	for _, r := range m.ranks {
		busy += float64(r.inFlight) * r.service
	}
	n := float64(max(m.inFlight, 1))
	return busy / (n * n)
}

// admitLate admits the first waiting ticket whose target has passed, of the most
// urgent rank that has one. It reports whether there was one.
func (m *Machine) admitLate(at time.Duration) bool {
	for _, r := range m.ranks {
		if r.behind.n == 0 || !m.fits(at, r) {
			continue
		}
		t := r.behind.pop()
		m.leave(t)
		if t.deadline-at < r.meanService() {
			m.refuse(t, errTooShort)
			return true
		}
		m.admit(at, t)
		m.decided = append(m.decided, t)
		return true
	}
	return false
}
