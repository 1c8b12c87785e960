package admit

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Order is the order in which waiting requests are admitted.
type Order uint8

// Admission orders.
const (
	Floors  Order = iota // most urgent first, with a floor for every rank
	Strict               // most urgent first
	Arrival              // first come, first served, over all ranks
)

// Defaults of Config.
const (
	defaultMaxQueue = 256
	defaultRamp     = 5 * time.Second
)

// bulkHoldoff is how long bulk ranks remain limited to half of the slots after
// another rank had work.
const bulkHoldoff = 10 * time.Second

// noDeadline is the deadline of tickets without one.
const noDeadline = time.Duration(math.MaxInt64)

// Config holds the settings of a Machine. Zero fields get defaults.
type Config struct {
	Slots      int                 // announced slots; at least 1
	Ranks      []config.RankPolicy // most urgent first
	MaxQueue   int                 // maximum queue length of a rank
	MaxTotal   int                 // initial value of SetMaxTotal
	Ramp       time.Duration       // duration of the ramp after a cold start; negative for none
	Order      Order
	FixedLimit bool // keep the limit equal to the slots

	// Reserve keeps slots free for the expected requests of more urgent ranks, so
	// that short urgent work does not wait for long work to end.
	Reserve bool

	// TargetAware admits requests that can be answered within their target before
	// those that cannot, and estimates waits from the rate at which slots become
	// free.
	TargetAware bool

	// MaxWait is the maximum wait in a queue of a TargetAware machine; 0 means no
	// limit.
	MaxWait time.Duration

	// Fair is the initial value of SetFair.
	Fair bool

	// InitialServiceShare is the service time assumed before the first samples, as
	// a share of the target of the rank; 0 assumes 10 ms. A gate that starts with
	// too low a value admits more than can be answered in time.
	InitialServiceShare float64
}

// Machine is the admission state machine of one gate.
type Machine struct {
	epoch               time.Time
	order               Order
	reserve             bool
	initialServiceShare float64
	targetAware         bool
	maxWait             time.Duration
	maxQueue            int
	maxTotal            int
	ranks               []*rank // most urgent first
	byName              map[mesh.Rank]*rank
	nested              *rank // rank of nested calls, nil if there is none
	cycle               bool  // see SetCycle
	fair                bool  // see SetFair
	usage               map[mesh.ClientAccount]accountUsage
	expiry              expiryHeap
	limiter             limiter
	inFlight            int
	queued              int
	draining            bool
	endBy               time.Duration // end of the node, or noDeadline; see StopAt
	lastNonBulk         time.Duration // last time a non-bulk rank had work
	decided             []*Ticket     // tickets decided by the current call
}

// New returns a Machine that starts with a ramp at now.
func New(c Config, now time.Time) *Machine {
	if c.MaxQueue <= 0 {
		c.MaxQueue = defaultMaxQueue
	}
	if c.Ramp == 0 {
		c.Ramp = defaultRamp
	}
	m := &Machine{epoch: now, order: c.Order, reserve: c.Reserve, initialServiceShare: c.InitialServiceShare, fair: c.Fair, targetAware: c.TargetAware, maxWait: c.MaxWait, maxQueue: c.MaxQueue, maxTotal: c.MaxTotal, endBy: noDeadline, lastNonBulk: -bulkHoldoff}
	m.limiter = limiter{fixed: c.FixedLimit, rampDuration: c.Ramp}
	m.limiter.setSlots(c.Slots)
	m.SetRanks(now, c.Ranks)
	return m
}

// InFlight returns the number of admitted requests that have not ended.
func (m *Machine) InFlight() int { return m.inFlight }

// Queued returns the number of waiting requests.
func (m *Machine) Queued() int { return m.queued }

// SetMaxTotal sets the number of admitted and waiting tickets from which no further one is
// queued, unless it displaces a less urgent one; 0 means no limit.
func (m *Machine) SetMaxTotal(n int) { m.maxTotal = n }

// Limit returns the number of requests that may be in flight at now.
func (m *Machine) Limit(now time.Time) int { return m.limiter.limit(m.at(now)) }

// MeanServiceTime returns the mean time that a request of the given rank holds its slot.
func (m *Machine) MeanServiceTime(name mesh.Rank) time.Duration {
	r := m.rankNamed(name)
	if r == nil {
		return initialServiceTime
	}
	return r.meanServiceTime()
}

// Draining reports whether Drain was called.
func (m *Machine) Draining() bool { return m.draining }

// Offer admits, refuses or queues t, as t.State reports. It returns the other
// tickets that the call decided. The slice is valid until the next call of any
// method.
func (m *Machine) Offer(now time.Time, t *Ticket) []*Ticket {
	at := m.begin(now)
	t.heapIndex, t.offered, t.deadline = -1, at, noDeadline
	if !t.Deadline.IsZero() {
		t.deadline = m.at(t.Deadline)
	}
	t.endBy = m.endBy
	if !t.EndBy.IsZero() {
		t.endBy = min(t.endBy, m.at(t.EndBy))
	}
	if m.draining {
		t.refuse(errDraining)
		return m.decided
	}
	r := m.rankOf(t)
	if r == nil {
		t.refuse(errNoRanks)
		return m.decided
	}
	m.dispatch(at)
	t.rank, t.service = r, r.serviceOf(t.Route)
	m.recordCallTarget(t)
	r.recordArrival(at)
	t.target = at + r.policy.Target
	if !t.Target.IsZero() {
		t.target = m.at(t.Target)
	}
	if !r.policy.Bulk {
		m.lastNonBulk = at
	}
	switch {
	case t.deadline <= at:
		t.refuse(errExpired)
	case !t.endsInTime(at):
		t.refuse(errOutlastsNode)
	case r.queue.n == 0 && m.inFlight < m.limiter.limit(at) && m.mayTakeSlot(at, r) && m.maySkipQueue(at, t):
		m.admit(at, t)
	default:
		m.enqueue(at, t)
	}
	return m.decided
}

// Done records the end of the admitted t. Latency is the response time of the
// backend server, or 0 if it does not reflect the load of the server. Done
// returns the tickets that it decided.
func (m *Machine) Done(now time.Time, t *Ticket, latency time.Duration) []*Ticket {
	at := m.begin(now)
	if t.state != Admitted {
		return m.decided
	}
	t.state = Finished
	r := t.rank.current()
	m.inFlight--
	r.inFlight--
	r.admittedSum -= t.admitted
	r.recordService(at, t.charged, at-t.admitted)
	r.recordRoute(at, t)
	m.charge(at, t, (at-t.admitted).Seconds()-t.charged)
	if !r.policy.Bulk {
		m.lastNonBulk = at
	}
	if latency > 0 {
		m.limiter.recordLatency(&r.latency, latency)
		m.limiter.update(at, m.ranks)
	}
	m.dispatch(at)
	return m.decided
}

// Cancel removes the waiting t from its queue. It reports whether t was
// waiting; if not, t was already decided.
func (m *Machine) Cancel(now time.Time, t *Ticket) bool {
	m.begin(now)
	if t.state != Queued {
		return false
	}
	m.dequeue(t)
	t.state = Canceled
	return true
}

// Tick refuses the waiting tickets that have expired and admits others to slots
// that the ramp has opened. It returns the tickets that it decided.
func (m *Machine) Tick(now time.Time) []*Ticket {
	m.dispatch(m.begin(now))
	return m.decided
}

// Drain refuses every waiting ticket and every later one. It returns the
// tickets that it decided.
func (m *Machine) Drain(now time.Time) []*Ticket {
	m.begin(now)
	m.draining = true
	for _, r := range m.ranks {
		for _, q := range []*queue{&r.queue, &r.lateQueue} {
			for t := q.pop(); t != nil; t = q.pop() {
				m.untrack(t)
				m.refuse(t, errDraining)
			}
		}
	}
	return m.decided
}

// Restart ends draining and starts a new ramp, for a backend server that is
// available again.
func (m *Machine) Restart(now time.Time) {
	m.draining = false
	m.limiter.restart(m.at(now))
}

// SetSlots changes the announced slots and returns the tickets that it decided.
func (m *Machine) SetSlots(now time.Time, slots int) []*Ticket {
	at := m.begin(now)
	if slots != m.limiter.slots {
		m.limiter.setSlots(slots)
	}
	m.dispatch(at)
	return m.decided
}

// SetRanks replaces the rank policies, most urgent first. Requests of a removed
// rank move to the least urgent rank. It returns the tickets that it decided.
func (m *Machine) SetRanks(now time.Time, policies []config.RankPolicy) []*Ticket {
	at := m.begin(now)
	if len(policies) == 0 {
		return m.decided
	}
	old := m.byName
	m.ranks = m.ranks[:0:0]
	m.byName = make(map[mesh.Rank]*rank, len(policies))
	for _, p := range policies {
		r := old[p.Name]
		if r == nil {
			r = newRank(p, at, m.initialServiceShare)
		}
		r.setPolicy(p)
		m.ranks = append(m.ranks, r)
		m.byName[p.Name] = r
	}
	for name, r := range old {
		if m.byName[name] == nil {
			r.mergeInto(m.ranks[len(m.ranks)-1])
		}
	}
	m.nested = m.byName[NestedRank]
	m.dispatch(at)
	return m.decided
}

// mergeInto moves the tickets of r to the rank to.
func (r *rank) mergeInto(to *rank) {
	r.mergedInto = to
	to.inFlight += r.inFlight
	to.admittedSum += r.admittedSum
	for t := r.queue.pop(); t != nil; t = r.queue.pop() {
		t.rank = to
		to.queue.push(t)
	}
	for t := r.lateQueue.pop(); t != nil; t = r.lateQueue.pop() {
		t.rank = to
		to.lateQueue.push(t)
	}
}

// begin discards the result of the previous call and returns the time of this
// one.
func (m *Machine) begin(now time.Time) time.Duration {
	m.decided = m.decided[:0]
	return m.at(now)
}

func (m *Machine) at(now time.Time) time.Duration { return now.Sub(m.epoch) }

// rankOf returns the rank that t is queued in. If the order is Arrival, it also
// clears the account of t.
func (m *Machine) rankOf(t *Ticket) *rank {
	if m.order == Arrival {
		t.Account = ""
		return m.rankNamed("")
	}
	if t.Nested && m.nested != nil {
		return m.nested
	}
	return m.rankNamed(t.Rank)
}

// rankNamed returns the rank with the given name. It returns the least urgent
// one if the name is unknown, which happens while a configuration spreads, and
// nil before the first configuration.
func (m *Machine) rankNamed(name mesh.Rank) *rank {
	if r := m.byName[name]; r != nil {
		return r
	}
	if n := len(m.ranks); n > 0 {
		return m.ranks[n-1]
	}
	return nil
}

// dispatch refuses expired tickets and admits as many others as the limit
// allows.
func (m *Machine) dispatch(at time.Duration) {
	for len(m.expiry) > 0 && m.expiry[0].expiresAt <= at {
		t := m.expiry[0]
		if e := t.waitEnd(at); e > at {
			t.expiresAt = e // the service time has become shorter
			heap.Fix(&m.expiry, 0)
			continue
		}
		m.dequeue(t)
		switch {
		case t.deadline <= at:
			m.refuse(t, errExpired)
		case t.latestStart(at) <= at:
			m.refuse(t, errOutlastsNode)
		case t.late:
			m.refuse(t, errTargetPassed)
		default:
			m.refuse(t, errLateForTarget)
		}
	}
	limit := m.limiter.limit(at)
	if m.inFlight >= limit {
		m.limiter.limitReached = true
	}
	if m.queued == 0 {
		return
	}
	for m.inFlight < limit {
		r := m.nextRank(at, limit)
		if r == nil {
			if !m.admitLate(at) {
				return
			}
			continue
		}
		t := m.pop(at, &r.queue)
		m.untrack(t)
		if !t.endsInTime(at) {
			m.refuse(t, errOutlastsNode)
			continue
		}
		if m.order != Arrival {
			if e := m.lateRefusal(at, t); e != nil {
				m.refuse(t, e)
				continue
			}
		}
		r.recordAdmission(at)
		m.admit(at, t)
		m.decided = append(m.decided, t)
	}
}

// outsideReserve reports whether a slot is free for r in addition to those
// reserved for the expected requests of more urgent ranks.
func (m *Machine) outsideReserve(at time.Duration, r *rank) bool {
	if !m.reserve {
		return true
	}
	limit := float64(m.limiter.limit(at))
	reserved := 0.0
	for _, o := range m.ranks {
		if o == r {
			break
		}
		if m.needsReserve(at, o, r) {
			reserved += o.expectedDemand(at)
		}
	}
	return limit-float64(m.inFlight) >= 1+min(reserved, maxReserveShare*limit)
}

// needsReserve reports whether slots are reserved for o before r gets one. Slots that
// are kept free save requests of o that would otherwise wait longer than their wait
// budget for the next free slot, and cost requests of r, which could use them.
func (m *Machine) needsReserve(at time.Duration, o, r *rank) bool {
	missed := math.Exp(-o.waitBudget().Seconds() / max(m.fullSlotInterval(at), 1e-6))
	saved := o.arrivalRateAt(at) * missed
	lost := o.expectedDemand(at) / r.serviceSeconds
	return saved*urgentWeight > lost
}

// fullSlotInterval returns the mean time in seconds until the next slot becomes free
// when all slots are taken by requests such as those in flight.
func (m *Machine) fullSlotInterval(at time.Duration) float64 {
	busy := 0.0 // seconds of work in the slots
	for _, r := range m.ranks {
		busy += float64(r.inFlight) * max(r.serviceSeconds, 2*r.meanAge(at).Seconds())
	}
	return busy / float64(max(m.inFlight, 1)) / float64(m.limiter.limit(at))
}

// withinBulkLimit reports whether the limit on bulk ranks allows r one more
// slot. Bulk ranks get at most half of the slots while other ranks have work or
// had some recently, and never the last one, since a bulk request may hold it
// for long.
func (m *Machine) withinBulkLimit(at time.Duration, r *rank) bool {
	if !r.policy.Bulk || m.order == Arrival {
		return true
	}
	bulk, other := 0, 0
	for _, o := range m.ranks {
		if o.policy.Bulk {
			bulk += o.inFlight
		} else {
			other += o.inFlight + o.queue.n
		}
	}
	limit := m.limiter.limit(at)
	if other > 0 || at-m.lastNonBulk < bulkHoldoff {
		return bulk < max(1, limit/2)
	}
	return bulk < max(1, limit-1)
}

func (m *Machine) admit(at time.Duration, t *Ticket) {
	r := t.rank
	r.refill(at, float64(m.limiter.limit(at)))
	t.state, t.admitted = Admitted, at
	t.charged = t.service.serviceSeconds
	r.credit -= t.charged
	m.charge(at, t, t.charged)
	r.inFlight++
	r.admittedSum += at
	m.inFlight++
}

// enqueue adds t to its queue, or refuses t if the queue is full or the wait
// would be too long.
func (m *Machine) enqueue(at time.Duration, t *Ticket) {
	r := t.rank
	t.waitLimit = t.deadline
	t.expiresAt = t.waitEnd(at)
	if t.expiresAt < t.deadline && m.waitOf(at, t) > t.expiresAt-at {
		t.refuse(errOutlastsNode)
		return
	}
	if m.targetAware {
		m.enqueueTargetAware(at, t)
		return
	}
	if m.order != Arrival {
		wait := m.expectedWait(at, r, r.queue.accountLen(t.Account))
		if t.deadline != noDeadline && wait+r.upperServiceTime() > t.deadline-at {
			t.refuse(errWaitOverDeadline)
			return
		}
		if r.policy.Target > 0 && wait > r.waitBudget() {
			t.refuse(errWaitOverTarget)
			return
		}
	}
	m.push(at, t)
}

// push appends t to its queue, or refuses t if the queue is full.
func (m *Machine) push(at time.Duration, t *Ticket) {
	r := t.rank
	if r.queue.n >= m.maxQueue && !m.displace(t) {
		t.refuse(errQueueFull)
		return
	}
	if m.maxTotal > 0 && m.inFlight+m.queued >= m.maxTotal && !m.displaceLessUrgent(t) {
		t.refuse(errQueueFull)
		return
	}
	if r.queue.n == 0 {
		r.lastAdmission = at
		r.refill(at, float64(m.limiter.limit(at)))
	}
	t.state = Queued
	if t.late {
		r.lateQueue.push(t)
	} else {
		r.queue.push(t)
	}
	m.queued++
	if t.expiresAt != noDeadline {
		heap.Push(&m.expiry, t)
	}
}

// displace makes room for t in a full queue by refusing a ticket of an account
// that holds more than its share. It reports whether there was one.
func (m *Machine) displace(t *Ticket) bool {
	q := &t.rank.queue
	own, accounts := q.accountLen(t.Account), len(q.accounts)
	if own == 0 {
		accounts++
	}
	share := m.maxQueue / accounts
	if own >= share {
		return false
	}
	victim := q.newestOver(share)
	if victim == nil {
		return false
	}
	m.dequeue(victim)
	m.refuse(victim, errDisplaced)
	return true
}

// displaceLessUrgent makes room for t by refusing a waiting ticket of the least urgent rank
// below that of t, a late one first. It reports whether there was one.
func (m *Machine) displaceLessUrgent(t *Ticket) bool {
	if t.late {
		return false
	}
	for _, r := range slices.Backward(m.ranks) {
		if r == t.rank {
			return false
		}
		for _, q := range []*queue{&r.lateQueue, &r.queue} {
			if victim := q.newestOver(0); victim != nil {
				m.dequeue(victim)
				m.refuse(victim, errOutranked)
				return true
			}
		}
	}
	return false
}

// waitOf returns the expected wait of the new ticket t.
func (m *Machine) waitOf(at time.Duration, t *Ticket) time.Duration {
	if m.targetAware {
		return m.expectedTargetAwareWait(at, t)
	}
	return m.expectedWait(at, t.rank, t.rank.queue.accountLen(t.Account))
}

// expectedWait returns the expected wait of a new ticket of r whose account
// already has own tickets waiting.
func (m *Machine) expectedWait(at time.Duration, r *rank, own int) time.Duration {
	ahead := float64(min(r.queue.n, (own+1)*len(r.queue.accounts)))
	work := (ahead + 1) * r.serviceSeconds
	for _, o := range m.ranks {
		if o == r {
			break
		}
		work += float64(o.queue.n) * o.serviceSeconds
	}
	limit := float64(m.limiter.limit(at))
	w := work / limit
	if m.order == Floors {
		// More urgent work does not delay requests within the floor of r.
		w = min(w, (ahead+1)*r.serviceSeconds/(r.policy.Floor*limit))
	}
	if r.queue.n > 0 {
		w = max(w, ahead*max(r.admissionInterval, (at-r.lastAdmission).Seconds()))
	}
	return time.Duration(w * float64(time.Second))
}

// dequeue removes the waiting t from its queue.
func (m *Machine) dequeue(t *Ticket) {
	if t.late {
		t.rank.lateQueue.remove(t)
	} else {
		t.rank.queue.remove(t)
	}
	m.untrack(t)
}

// untrack updates the queue count and the expiry heap after t left its queue.
func (m *Machine) untrack(t *Ticket) {
	m.queued--
	if t.heapIndex >= 0 {
		heap.Remove(&m.expiry, t.heapIndex)
	}
}

func (m *Machine) refuse(t *Ticket, e *fault.Error) {
	t.refuse(e)
	m.decided = append(m.decided, t)
}

func (t *Ticket) refuse(e *fault.Error) { t.state, t.refusal = Refused, e }
