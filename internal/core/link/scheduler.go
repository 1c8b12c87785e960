package link

import (
	"slices"
	"time"
)

const (
	// sharedPart is the part of the link that bodies use while that suffices. The rest
	// keeps the queue of the link short for small messages, which would otherwise wait
	// behind whole bodies.
	sharedPart = 0.9
	// idleCredit is the number of bytes that may follow each other without a pause
	// after the link was not used.
	idleCredit Bytes = 16 << 10
	// maxLag is the time for which unused capacity is made up for while bodies can miss
	// their ends. Timers that fire late on a busy VM would otherwise waste capacity.
	maxLag = 50 * time.Millisecond
	// delayPart is the part of the time to a deadline that is kept for delays on the way.
	delayPart = 0.1
	// maxWriting is the number of bodies that are written at the same time while the
	// order matters. If a full link blocked the writes of more of them, they would share
	// it again.
	maxWriting = 2
	// unusedTime is the time without use of the link after which more bodies than
	// maxWriting are written: the receivers are slow, and the link is not full.
	unusedTime = 40 * time.Millisecond
)

// Config holds the settings of a Scheduler.
type Config struct {
	Rate Rate // of the link; must be positive
}

// Scheduler decides which body uses a link next.
type Scheduler struct {
	rate    Rate
	bodies  []*Body   // ordered by their ends
	stopAt  time.Time // end of this process; zero while it does not stop
	free    time.Time // at which the granted chunks have been sent
	waiting int       // bodies with a chunk that waits
	writing int       // bodies whose last chunk is being written
	order   uint64    // of the last body that began to wait
}

// New returns a Scheduler without bodies.
func New(c Config) *Scheduler { return &Scheduler{rate: c.Rate} }

// Add adds b, which ends at its deadline or at the end of this process.
func (s *Scheduler) Add(b *Body) {
	b.end = b.Deadline
	s.insert(b)
	if !s.stopAt.IsZero() {
		s.LimitEnd(b, s.stopAt)
	}
}

// Remove removes b, whether it has been sent or was given up. Bodies that are not known
// are ignored.
func (s *Scheduler) Remove(b *Body) {
	if !b.added {
		return
	}
	s.delete(b)
	s.endWrite(b)
	if b.chunk > 0 {
		b.chunk = 0
		s.waiting--
	}
}

// LimitEnd sets the time at which a process that sends or receives b stops. A later time
// than the end of b has no effect, nor has a body that is not known.
func (s *Scheduler) LimitEnd(b *Body, end time.Time) {
	if !b.added || !b.end.IsZero() && !end.Before(b.end) {
		return
	}
	s.delete(b)
	b.end, b.final = end, true
	s.insert(b)
}

// StopAt sets the time at which this process stops, for the present and all later bodies.
func (s *Scheduler) StopAt(end time.Time) {
	s.stopAt = end
	for _, b := range slices.Clone(s.bodies) {
		s.LimitEnd(b, end)
	}
}

// Wait adds a chunk of n bytes of b that waits for the link. A body has one chunk at a
// time. Bodies that are not known are ignored.
func (s *Scheduler) Wait(b *Body, n Bytes) {
	if !b.added {
		return
	}
	s.endWrite(b)
	s.order++
	b.chunk, b.order = n, s.order
	s.waiting++
}

// Next grants the chunk that is sent next and returns its body. If no chunk can be sent at
// now it returns nil and the time at which one can be, which is zero if no chunk waits.
func (s *Scheduler) Next(now time.Time) (*Body, time.Time) {
	if s.waiting == 0 {
		return nil, time.Time{}
	}
	p := s.plan(now)
	lag := s.rate.timeFor(idleCredit)
	if p.byEnd {
		lag = max(lag, maxLag)
	}
	if t := now.Add(-lag); s.free.Before(t) {
		s.free = t
	}
	if next := s.nextGrant(now, p); next.After(now) {
		return nil, next
	}
	b := s.pick(now, p)
	cost := p.rate.timeFor(b.chunk)
	s.free = s.free.Add(cost)
	if t := now.Add(cost); s.free.After(t) {
		s.free = t // beyond the rate of the link; the next body does not wait for that
	}
	b.sent += b.chunk
	b.chunk, b.writing = 0, true
	s.waiting--
	s.writing++
	return b, time.Time{}
}

// nextGrant returns the time at which the next chunk can be granted unless a body that is
// written before asks for its next one.
func (s *Scheduler) nextGrant(now time.Time, p plan) time.Time {
	if !p.byEnd {
		return s.free
	}
	switch {
	case s.writing >= maxWriting:
		return s.free.Add(unusedTime)
	case s.writing == 0 && p.exceeds:
		return now
	}
	return s.free
}

// plan is how the link is used at one moment.
type plan struct {
	rate  Rate
	byEnd bool // the body with the earliest end is served first
	// exceeds means that the rate of the link does not suffice for the bodies of
	// processes that stop. The real rate may be higher than the stated one: one chunk
	// at a time is granted as soon as the one before is written.
	exceeds bool
}

// plan returns how the link is used at now. Bodies of processes that stop get the whole
// link, since what is left of them then is lost. For the others, the part of the link that
// is used grows as far as their deadlines require.
func (s *Scheduler) plan(now time.Time) plan {
	shared := sharedPart * s.rate
	p := plan{rate: shared}
	var due Bytes // bytes of the bodies up to the current one
	for _, b := range s.bodies {
		if b.end.IsZero() {
			break
		}
		if !b.final && !b.fits(now, s.rate) {
			continue
		}
		due += min(b.Left(), maxBytes-due)
		left := b.end.Sub(now)
		if b.final {
			p.rate, p.byEnd = s.rate, true
			p.exceeds = p.exceeds || s.rate.timeFor(due) > left
			continue
		}
		left = time.Duration((1 - delayPart) * float64(left))
		if shared.timeFor(due) > left {
			p.byEnd = true
			p.rate = min(max(p.rate, Rate(float64(due)/left.Seconds())), s.rate)
		}
	}
	return p
}

// pick returns the waiting body that is served next.
func (s *Scheduler) pick(now time.Time, p plan) *Body {
	var best *Body
	bestFits := false
	for _, b := range s.bodies {
		if b.chunk == 0 {
			continue
		}
		if !p.byEnd {
			if best == nil || b.order < best.order {
				best = b
			}
			continue
		}
		fits := b.fits(now, s.rate)
		if best == nil || fits && !bestFits || fits == bestFits && compareUrgency(b, best) < 0 {
			best, bestFits = b, fits
		}
	}
	return best
}

// insert adds b to the bodies, behind those of the same end.
func (s *Scheduler) insert(b *Body) {
	i, _ := slices.BinarySearchFunc(s.bodies, b, func(other, b *Body) int {
		if compareEnds(other, b) <= 0 {
			return -1
		}
		return 1
	})
	s.bodies = slices.Insert(s.bodies, i, b)
	b.added = true
}

// delete is the inverse of insert.
func (s *Scheduler) delete(b *Body) {
	i := slices.Index(s.bodies, b)
	s.bodies = slices.Delete(s.bodies, i, i+1)
	b.added = false
}

// endWrite records that the last chunk of b was written.
func (s *Scheduler) endWrite(b *Body) {
	if b.writing {
		b.writing = false
		s.writing--
	}
}
