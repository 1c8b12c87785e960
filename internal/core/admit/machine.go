package admit

import (
	"container/heap"
	"math"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Order is the order in which waiting requests are admitted.
type Order uint8

// The orders.
const (
	Floors  Order = iota // most urgent first, with a floor for every rank
	Strict               // most urgent first
	Arrival              // first come, first served, over all ranks
)

// Defaults of Config.
const (
	defaultQueue = 256
	defaultRamp  = 5 * time.Second
)

// bulkMemory is the time for which ranks that had work keep half of the slots
// free of bulk requests.
const bulkMemory = 10 * time.Second

// noDeadline stands for the deadline of tickets without one.
const noDeadline = time.Duration(math.MaxInt64)

// Config holds the settings of a Machine. Zero fields get defaults.
type Config struct {
	Slots      int                 // announced slots; at least 1
	Ranks      []config.RankPolicy // most urgent first
	MaxQueue   int                 // longest queue of a rank
	Ramp       time.Duration       // time of a cold start; negative for none
	Order      Order
	FixedLimit bool // keep the limit at the slots

	// Reserve keeps slots free that more urgent ranks are expected to ask for, so
	// that short urgent work does not wait for long work to end.
	Reserve bool

	// TargetAware admits requests that can be answered within their target before those
	// that cannot, and estimates waits from the time in which slots come free.
	TargetAware bool

	// MaxWait is the longest wait in a queue of a Timely machine; 0 is no limit.
	MaxWait time.Duration

	// InitialServiceShare is the share of the target of a rank that its service time is taken
	// to be before the first samples; 0 assumes 10 ms. A gate that starts with too
	// short a time takes in more than can be answered in time.
	InitialServiceShare float64
}

// Machine is the admission state machine of one gate.
type Machine struct {
	epoch    time.Time
	order    Order
	reserve  bool
	assumed  float64
	timely   bool
	longest  time.Duration
	maxQueue int
	ranks    []*rank // most urgent first
	byName   map[mesh.Rank]*rank
	expiry   deadlines
	limiter  limiter
	inFlight int
	queued   int
	draining bool
	others   time.Duration // last time a rank that is not bulk had work
	decided  []*Ticket     // result of the current call
}

// New returns a Machine that starts with a ramp at now.
func New(c Config, now time.Time) *Machine {
	if c.MaxQueue <= 0 {
		c.MaxQueue = defaultQueue
	}
	if c.Ramp == 0 {
		c.Ramp = defaultRamp
	}
	m := &Machine{epoch: now, order: c.Order, reserve: c.Reserve, assumed: c.InitialServiceShare, timely: c.TargetAware, longest: c.MaxWait, maxQueue: c.MaxQueue, others: -bulkMemory}
	m.limiter = limiter{fixed: c.FixedLimit, ramp: c.Ramp}
	m.limiter.setSlots(c.Slots)
	m.SetRanks(now, c.Ranks)
	return m
}

// InFlight returns the number of admitted requests that are not done.
func (m *Machine) InFlight() int { return m.inFlight }

// Queued returns the number of waiting requests.
func (m *Machine) Queued() int { return m.queued }

// Limit returns the number of requests that may be in flight at now.
func (m *Machine) Limit(now time.Time) int { return m.limiter.limit(m.at(now)) }

// MeanServiceTime returns the mean time that a request of the given rank holds its slot.
func (m *Machine) MeanServiceTime(name mesh.Rank) time.Duration {
	r := m.rankNamed(name)
	if r == nil {
		return initialService
	}
	return r.meanService()
}

// Draining reports whether Drain was called.
func (m *Machine) Draining() bool { return m.draining }

// Offer decides on t or queues it; t.State tells which. It returns the other
// tickets that the call decided. The slice is valid until the next call of any
// method.
func (m *Machine) Offer(now time.Time, t *Ticket) []*Ticket {
	at := m.begin(now)
	t.heap, t.offered, t.deadline = -1, at, noDeadline
	if !t.Deadline.IsZero() {
		t.deadline = m.at(t.Deadline)
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
	t.rank = r
	r.arrived(at)
	t.target = at + r.policy.Target
	if !t.Target.IsZero() {
		t.target = m.at(t.Target)
	}
	if !r.policy.Bulk {
		m.others = at
	}
	switch {
	case t.deadline <= at:
		t.refuse(errExpired)
	case r.queue.n == 0 && m.inFlight < m.limiter.limit(at) && m.fits(at, r) && m.mayPass(at, t):
		m.admit(at, t)
	default:
		m.enqueue(at, t)
	}
	return m.decided
}

// Done records that the admitted t ended. Latency is the time that the backend
// server took to answer, or 0 if that says nothing about its load. Done returns
// the tickets that it decided.
func (m *Machine) Done(now time.Time, t *Ticket, latency time.Duration) []*Ticket {
	at := m.begin(now)
	if t.state != Admitted {
		return m.decided
	}
	t.state = Finished
	r := t.rank.current()
	m.inFlight--
	r.inFlight--
	r.served(at, t.charged, at-t.admitted)
	if !r.policy.Bulk {
		m.others = at
	}
	if latency > 0 {
		m.limiter.sample(&r.latency, latency)
		m.limiter.update(at, m.ranks)
	}
	m.dispatch(at)
	return m.decided
}

// Cancel takes the waiting t out of its queue. It reports whether t was
// waiting; if not, t had been decided before.
func (m *Machine) Cancel(now time.Time, t *Ticket) bool {
	m.begin(now)
	if t.state != Queued {
		return false
	}
	m.unqueue(t)
	t.state = Canceled
	return true
}

// Tick refuses the waiting tickets whose deadline has passed and admits what
// the ramp has made room for. It returns the tickets that it decided.
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
		for _, q := range []*queue{&r.queue, &r.behind} {
			for t := q.pop(); t != nil; t = q.pop() {
				m.leave(t)
				m.refuse(t, errDraining)
			}
		}
	}
	return m.decided
}

// Restart ends draining and starts a new ramp towards all slots, for a backend
// server that came back.
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

// SetRanks changes the rank policies, most urgent first. Requests of a rank
// that is no longer named belong to the least urgent rank from then on. It
// returns the tickets that it decided.
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
			r = newRank(p, at, m.assumed)
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
	m.dispatch(at)
	return m.decided
}

// mergeInto hands the tickets of r over to to.
func (r *rank) mergeInto(to *rank) {
	r.merged = to
	to.inFlight += r.inFlight
	for t := r.queue.pop(); t != nil; t = r.queue.pop() {
		t.rank = to
		to.queue.push(t)
	}
	for t := r.behind.pop(); t != nil; t = r.behind.pop() {
		t.rank = to
		to.behind.push(t)
	}
}

// begin starts a call: it empties the result and returns the time of the call.
func (m *Machine) begin(now time.Time) time.Duration {
	m.decided = m.decided[:0]
	return m.at(now)
}

func (m *Machine) at(now time.Time) time.Duration { return now.Sub(m.epoch) }

// rankOf returns the rank that t is queued in.
func (m *Machine) rankOf(t *Ticket) *rank {
	if m.order == Arrival {
		t.Account = ""
		return m.rankNamed("")
	}
	return m.rankNamed(t.Rank)
}

// rankNamed returns the rank of the given name. It is the least urgent one if
// the name is unknown, which happens while a configuration spreads, and nil
// before the first configuration.
func (m *Machine) rankNamed(name mesh.Rank) *rank {
	if r := m.byName[name]; r != nil {
		return r
	}
	if n := len(m.ranks); n > 0 {
		return m.ranks[n-1]
	}
	return nil
}

// dispatch refuses what has expired and admits as much as the limit allows.
func (m *Machine) dispatch(at time.Duration) {
	for len(m.expiry) > 0 && m.expiry[0].until <= at {
		t := m.expiry[0]
		m.unqueue(t)
		switch {
		case t.deadline <= at:
			m.refuse(t, errExpired)
		case t.late:
			m.refuse(t, errPassed)
		default:
			m.refuse(t, errLate)
		}
	}
	limit := m.limiter.limit(at)
	if m.inFlight >= limit {
		m.limiter.busy = true
	}
	if m.queued == 0 {
		return
	}
	for m.inFlight < limit {
		r := m.choose(at, limit)
		if r == nil {
			if !m.admitLate(at) {
				return
			}
			continue
		}
		t := r.queue.pop()
		m.leave(t)
		if m.order != Arrival {
			if e := m.late(at, t); e != nil {
				m.refuse(t, e)
				continue
			}
		}
		r.dequeued(at)
		m.admit(at, t)
		m.decided = append(m.decided, t)
	}
}

// choose returns the rank that is served next, or nil.
func (m *Machine) choose(at time.Duration, limit int) *rank {
	var first *rank
	for _, r := range m.ranks {
		if r.queue.n == 0 || !m.bulkFits(at, r) {
			continue
		}
		r.refill(at, float64(limit))
		if !m.spared(at, r) && !r.belowFloor(float64(limit)) {
			continue
		}
		if m.order != Floors {
			return r
		}
		if r.belowFloor(float64(limit)) {
			return r
		}
		if first == nil {
			first = r
		}
	}
	return first
}

// fits reports whether r may take a free slot.
func (m *Machine) fits(at time.Duration, r *rank) bool {
	return m.bulkFits(at, r) && m.spared(at, r)
}

// spared reports whether a slot is left for r beside those that more urgent ranks
// are expected to ask for.
func (m *Machine) spared(at time.Duration, r *rank) bool {
	if !m.reserve {
		return true
	}
	limit := float64(m.limiter.limit(at))
	reserved := 0.0
	for _, o := range m.ranks {
		if o == r {
			break
		}
		reserved += o.expected(at) * m.urgency(o)
	}
	return limit-float64(m.inFlight) >= 1+min(reserved, reserveShare*limit)
}

// urgency returns the share of the slots that o is expected to ask for that is
// kept free: 0 if slots come free so often that a request of o hardly waits for
// one, 1 if that wait takes a good part of what the service time leaves of the
// target.
func (m *Machine) urgency(o *rank) float64 {
	return min(1, turnShare*m.turn()/max(o.waitBudget().Seconds(), 1e-3))
}

// bulkFits reports whether r may take one more slot. Bulk ranks get at most
// half of the slots while other ranks have work or had some a short time ago,
// and never the last one, since a bulk request may hold it for long.
func (m *Machine) bulkFits(at time.Duration, r *rank) bool {
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
	if other > 0 || at-m.others < bulkMemory {
		return bulk < max(1, limit/2)
	}
	return bulk < max(1, limit-1)
}

func (m *Machine) admit(at time.Duration, t *Ticket) {
	r := t.rank
	r.refill(at, float64(m.limiter.limit(at)))
	t.state, t.admitted = Admitted, at
	t.charged = r.service
	r.credit -= t.charged
	r.inFlight++
	m.inFlight++
}

// enqueue puts t into its queue, unless the queue is full or the wait would be
// too long.
func (m *Machine) enqueue(at time.Duration, t *Ticket) {
	r := t.rank
	t.until = t.deadline
	if m.timely {
		m.enqueueTimely(at, t)
		return
	}
	if m.order != Arrival {
		wait := m.wait(at, r, r.queue.lenOf(t.Account))
		if t.deadline != noDeadline && wait+r.expectedService() > t.deadline-at {
			t.refuse(errWait)
			return
		}
		if r.policy.Target > 0 && wait > r.waitBudget() {
			t.refuse(errTarget)
			return
		}
	}
	m.push(at, t)
}

// push puts t at the end of its queue, unless the queue is full.
func (m *Machine) push(at time.Duration, t *Ticket) {
	r := t.rank
	if r.queue.n >= m.maxQueue && !m.displace(t) {
		t.refuse(errQueueFull)
		return
	}
	if r.queue.n == 0 {
		r.last = at
		r.refill(at, float64(m.limiter.limit(at)))
	}
	t.state = Queued
	if t.late {
		r.behind.push(t)
	} else {
		r.queue.push(t)
	}
	m.queued++
	if t.until != noDeadline {
		heap.Push(&m.expiry, t)
	}
}

// displace makes room for t in a full queue at the cost of an account that
// holds more than its share. It reports whether it did.
func (m *Machine) displace(t *Ticket) bool {
	q := &t.rank.queue
	own, lines := q.lenOf(t.Account), len(q.lines)
	if own == 0 {
		lines++
	}
	share := m.maxQueue / lines
	if own >= share {
		return false
	}
	v := q.longerThan(share)
	if v == nil {
		return false
	}
	m.unqueue(v)
	m.refuse(v, errEvicted)
	return true
}

// wait returns the expected wait of a new ticket of r whose account has own
// tickets waiting.
func (m *Machine) wait(at time.Duration, r *rank, own int) time.Duration {
	ahead := float64(min(r.queue.n, (own+1)*len(r.queue.lines)))
	work := (ahead + 1) * r.service
	for _, o := range m.ranks {
		if o == r {
			break
		}
		work += float64(o.queue.n) * o.service
	}
	limit := float64(m.limiter.limit(at))
	w := work / limit
	if m.order == Floors {
		// More urgent work does not hold up the floor of r.
		w = min(w, (ahead+1)*r.service/(r.policy.Floor*limit))
	}
	if r.queue.n > 0 {
		w = max(w, ahead*max(r.interval, (at-r.last).Seconds()))
	}
	return time.Duration(w * float64(time.Second))
}

// unqueue takes the waiting t out of its queue.
func (m *Machine) unqueue(t *Ticket) {
	if t.late {
		t.rank.behind.remove(t)
	} else {
		t.rank.queue.remove(t)
	}
	m.leave(t)
}

// leave updates the figures of a ticket that left its queue.
func (m *Machine) leave(t *Ticket) {
	m.queued--
	if t.heap >= 0 {
		heap.Remove(&m.expiry, t.heap)
	}
}

func (m *Machine) refuse(t *Ticket, e *fault.Error) {
	t.refuse(e)
	m.decided = append(m.decided, t)
}

func (t *Ticket) refuse(e *fault.Error) { t.state, t.refusal = Refused, e }
