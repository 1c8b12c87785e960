package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// throttleMultiple is the number of requests sent for each accepted one
	// while gates refuse. Below 1 a service could not recover; each unit above
	// 1 costs the gates one refusal per accepted request.
	throttleMultiple = 1.5
	// maxThrottleShare is the maximum share of requests refused, so that recovery
	// is detected.
	maxThrottleShare = 0.98
)

// throttleKey identifies a throttle.
type throttleKey struct {
	service mesh.Service
	rank    mesh.Rank
}

// Throttle refuses a share of the requests of a service and rank while gates
// refuse most of them: client-side adaptive throttling. The share is
// (requests - 1.5*accepts)/(requests+1) over a window of 10 s, where requests
// include those that the throttle refused.
type Throttle struct {
	Rand func() float64 // random number in [0,1); rand.Float64 if nil

	throttles sync.Map // throttleKey -> *throttle
}

type throttle struct {
	mu     sync.Mutex
	counts window // a: requests, b: accepts
}

func (t *Throttle) get(s mesh.Service, r mesh.Rank) *throttle {
	k := throttleKey{s, r}
	if v, ok := t.throttles.Load(k); ok {
		return v.(*throttle)
	}
	v, _ := t.throttles.LoadOrStore(k, new(throttle))
	return v.(*throttle)
}

// Allow reports whether a request may be sent, and counts it if not.
// underPressure reports whether all gates report pressure for the rank; without
// it nothing is refused, since refusals then have another cause. underPressure
// is only called if the window calls for a refusal.
func (t *Throttle) Allow(s mesh.Service, r mesh.Rank, now time.Time, underPressure func() bool) bool {
	h := t.get(s, r)
	share := h.refusalShare(now)
	if share <= 0 {
		return true
	}
	f := t.Rand
	if f == nil {
		f = rand.Float64
	}
	if f() >= share || !underPressure() {
		return true
	}
	h.add(now, 0)
	return false
}

// RecordOutcome counts a sent request once its outcome is known. Counting
// requests when they are sent would make a slow rank look refused.
func (t *Throttle) RecordOutcome(s mesh.Service, r mesh.Rank, accepted bool, now time.Time) {
	n := 0.0
	if accepted {
		n = 1
	}
	t.get(s, r).add(now, n)
}

// Share returns the share of the requests that Allow refuses under pressure, 0 if none.
// It changes nothing.
func (t *Throttle) Share(s mesh.Service, r mesh.Rank, now time.Time) float64 {
	v, ok := t.throttles.Load(throttleKey{s, r})
	if !ok {
		return 0
	}
	h := v.(*throttle)
	h.mu.Lock()
	counts := h.counts
	h.mu.Unlock()
	return max(refusalShare(&counts, now), 0)
}

func (h *throttle) refusalShare(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return refusalShare(&h.counts, now)
}

func refusalShare(counts *window, now time.Time) float64 {
	requests, accepts := counts.sums(now)
	return min((requests-throttleMultiple*accepts)/(requests+1), maxThrottleShare)
}

func (h *throttle) add(now time.Time, accepts float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.add(now, 1, accepts)
}
