package link

import (
	"cmp"
	"time"
)

// Bytes is a number of bytes.
type Bytes int64

// Rate is a number of bytes per second.
type Rate float64

// timeFor returns the time that n bytes take at rate r, which must be positive. It is at
// most maxTime.
func (r Rate) timeFor(n Bytes) time.Duration {
	d := float64(n) / float64(r) * float64(time.Second)
	if d > float64(maxTime) {
		return maxTime
	}
	return time.Duration(d)
}

const (
	maxTime  = 24 * time.Hour // longer than any deadline
	maxBytes = Bytes(1) << 62 // of all bodies together; lengths from outside can be arbitrary
)

// UnknownLength is the Length of a body whose length is not known.
const UnknownLength Bytes = -1

// Body is one body that uses a link. The exported fields are set before Scheduler.Add and
// not changed afterwards. A Body must not be copied or added twice.
type Body struct {
	Length   Bytes     // or UnknownLength
	Deadline time.Time // latest useful time of the last byte; zero means none

	end     time.Time // by which the last byte must have been sent; zero means none
	final   bool      // a process that sends or receives the body stops at end
	sent    Bytes
	chunk   Bytes  // that waits for the link, 0 if none does
	order   uint64 // position among the waiting bodies in order of arrival
	added   bool   // and not removed
	writing bool   // a chunk was granted, and the body has not asked for the next one
}

// Sent returns the bytes of the chunks of b that were granted.
func (b *Body) Sent() Bytes { return b.sent }

// Left returns the expected number of bytes of b that were not granted. A body of unknown
// length is expected to be half done.
func (b *Body) Left() Bytes {
	if b.Length < 0 {
		return max(b.sent, b.chunk)
	}
	return max(b.Length-b.sent, b.chunk)
}

// fits reports whether the link, if it is used for b alone, carries b before its end.
func (b *Body) fits(now time.Time, r Rate) bool {
	return b.end.IsZero() || r.timeFor(b.Left()) <= b.end.Sub(now)
}

// compareEnds compares the ends of two bodies. Those without an end come last.
func compareEnds(a, b *Body) int {
	switch {
	case a.end.IsZero() && b.end.IsZero():
		return 0
	case a.end.IsZero():
		return 1
	case b.end.IsZero():
		return -1
	}
	return a.end.Compare(b.end)
}

// compareUrgency is compareEnds that puts the body with fewer bytes left first if the ends
// are equal: more bodies are whole when the end comes.
func compareUrgency(a, b *Body) int {
	return cmp.Or(compareEnds(a, b), cmp.Compare(a.Left(), b.Left()), cmp.Compare(a.order, b.order))
}
