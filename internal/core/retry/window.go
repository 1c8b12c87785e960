package retry

import "time"

const (
	// windowSlots and slotWidth define the window of 10 s over which requests,
	// retries and accepts are counted.
	windowSlots = 10
	slotWidth   = time.Second
	windowWidth = windowSlots * slotWidth
)

// window counts two kinds of events in a sliding window of 10 s with a
// resolution of 1 s. It is not safe for concurrent use.
type window struct {
	a, b  [windowSlots]float64
	sumA  float64
	sumB  float64
	slot  int64     // number of the current slot since start
	start time.Time // first use; compared by the monotonic clock
}

// advance clears the slots that left the window.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start) / slotWidth)
	if slot <= w.slot {
		return
	}
	for i := int64(1); i <= min(slot-w.slot, windowSlots); i++ {
		k := (w.slot + i) % windowSlots
		w.sumA -= w.a[k]
		w.sumB -= w.b[k]
		w.a[k], w.b[k] = 0, 0
	}
	w.slot = slot
}

func (w *window) add(now time.Time, a, b float64) {
	w.advance(now)
	k := w.slot % windowSlots
	w.a[k] += a
	w.b[k] += b
	w.sumA += a
	w.sumB += b
}

func (w *window) sums(now time.Time) (a, b float64) {
	w.advance(now)
	return w.sumA, w.sumB
}
