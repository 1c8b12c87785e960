package admit

import (
	"container/heap"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

const (
	// minKnownSamples is the number of samples from which the service time of a rank
	// counts as known.
	minKnownSamples = initialSamples
	// longestPeriod is the length of a period of a longestService.
	longestPeriod = 30 * time.Second
	// ageFactor is the expected service time of the requests in flight, as a multiple
	// of their mean age: in a steady state they are half done.
	ageFactor = 2
)

// longestService holds the longest service time of the current and of the previous
// period. A mean with its deviation misses rare long requests.
type longestService struct {
	started           time.Duration
	current, previous time.Duration
}

func (l *longestService) record(now, d time.Duration) {
	if since := now - l.started; since > longestPeriod {
		l.previous = 0
		if since <= 2*longestPeriod {
			l.previous = l.current
		}
		l.started, l.current = now, 0
	}
	l.current = max(l.current, d)
}

func (l *longestService) max() time.Duration { return max(l.current, l.previous) }

// safeServiceTime returns a service time that requests of r hardly exceed. It reports
// whether that is known.
func (r *rank) safeServiceTime(now, left time.Duration) (time.Duration, bool) {
	return r.safeTimeOf(&r.serviceTime, now, left)
}

// safeTimeOf is safeServiceTime for the requests that s covers. It is known if there are
// enough samples, and requests that take as long as left would have ended since the
// first one.
func (r *rank) safeTimeOf(s *serviceTime, now, left time.Duration) (time.Duration, bool) {
	if s.serviceSamples < minKnownSamples || now-s.firstSample < left {
		return 0, false
	}
	return max(s.upperServiceTime(), s.longest.max(), ageFactor*r.meanAge(now)), true
}

// latestStart returns the latest time of admission at which t still ends in time, or
// noDeadline if it does so whenever it is admitted.
func (t *Ticket) latestStart(now time.Duration) time.Duration {
	if t.endBy == noDeadline || t.deadline <= t.endBy {
		return noDeadline // the request ends at its deadline at the latest
	}
	d, known := t.rank.safeTimeOf(t.service, now, t.endBy-now)
	if !known {
		return -1 // before any time of the machine
	}
	return t.endBy - d
}

// waitEnd returns the end of the wait of t in the queue.
func (t *Ticket) waitEnd(now time.Duration) time.Duration {
	return min(t.waitLimit, t.latestStart(now))
}

// limitWait ends the wait of t in the queue at the given time at the latest.
func (t *Ticket) limitWait(until time.Duration) {
	t.waitLimit, t.expiresAt = min(t.waitLimit, until), min(t.expiresAt, until)
}

// endsInTime reports whether t, if it is admitted now, ends before the node beside the
// backend server and before the node that sent it.
func (t *Ticket) endsInTime(now time.Duration) bool { return now <= t.latestStart(now) }

// StopAt sets the time at which the node ends. Requests that cannot end before it, or
// are not expected to, are refused from now on, waiting ones included. It returns the
// tickets that it decided.
func (m *Machine) StopAt(now, end time.Time) []*Ticket {
	m.endBy = m.at(end)
	return m.LimitEnd(now, end, func(*Ticket) bool { return true })
}

// LimitEnd sets the time by which the waiting tickets that match must end, as StopAt
// does for all. It returns the tickets that it decided.
func (m *Machine) LimitEnd(now, end time.Time, match func(*Ticket) bool) []*Ticket {
	at, endBy := m.begin(now), m.at(end)
	for _, r := range m.ranks {
		for _, q := range []*queue{&r.queue, &r.lateQueue} {
			for _, t := range q.tickets() {
				if match(t) {
					m.limitEnd(at, endBy, t)
				}
			}
		}
	}
	m.dispatch(at)
	return m.decided
}

// limitEnd sets the time by which the waiting t must end.
func (m *Machine) limitEnd(at, endBy time.Duration, t *Ticket) {
	t.endBy = min(t.endBy, endBy)
	latest := t.latestStart(at)
	if latest < at {
		m.dequeue(t)
		m.refuse(t, errOutlastsNode)
		return
	}
	if latest >= t.expiresAt {
		return
	}
	t.expiresAt = latest
	if t.heapIndex < 0 {
		heap.Push(&m.expiry, t)
	} else {
		heap.Fix(&m.expiry, t.heapIndex)
	}
}

// tickets returns the waiting tickets.
func (q *queue) tickets() []*Ticket {
	ts := make([]*Ticket, 0, q.n)
	for _, a := range q.accounts {
		for t := a.head; t != nil; t = t.next {
			ts = append(ts, t)
		}
	}
	return ts
}

// outlastsNode returns the refusal of a request that cannot end before a node on its
// path does. Others may be admitted.
func outlastsNode() *fault.Error {
	e := fault.New(fault.Draining, "a node on the path stops before the request is expected to end")
	e.ThisOnly = true
	return e
}
