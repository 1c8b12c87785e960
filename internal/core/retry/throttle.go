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
	// throttleMost is the greatest share refused, so that recovery is noticed.
	throttleMost = 0.98
)

// throttleKey names one throttle.
type throttleKey struct {
	service mesh.Service
	rank    mesh.Rank
}

// Throttle refuses a share of the requests of a service and rank while gates
// refuse most of them: client-side adaptive throttling. The share is
// (requests - 1.5*accepts)/(requests+1) over a window of 10 s, where requests
// include those refused here.
type Throttle struct {
	Rand func() float64 // random number in [0,1); rand.Float64 if nil

	m sync.Map // throttleKey -> *throttle
}

type throttle struct {
	mu sync.Mutex
	w  window // a: requests, b: accepts
}

func (t *Throttle) of(s mesh.Service, r mesh.Rank) *throttle {
	k := throttleKey{s, r}
	if v, ok := t.m.Load(k); ok {
		return v.(*throttle)
	}
	v, _ := t.m.LoadOrStore(k, new(throttle))
	return v.(*throttle)
}

// Allow reports whether a request may be sent, and counts it if not. Pressed
// says whether all gates report pressure for the rank; without it nothing is
// refused, since then the refusals have another cause. Pressed is only called
// if the window asks for a refusal.
func (t *Throttle) Allow(s mesh.Service, r mesh.Rank, now time.Time, pressed func() bool) bool {
	h := t.of(s, r)
	share := h.share(now)
	if share <= 0 {
		return true
	}
	f := t.Rand
	if f == nil {
		f = rand.Float64
	}
	if f() >= share || !pressed() {
		return true
	}
	h.add(now, 0)
	return false
}

// RecordOutcome counts a request that was sent, when its outcome is known. A request
// counted when it is sent would make a slow rank look refused.
func (t *Throttle) RecordOutcome(s mesh.Service, r mesh.Rank, accepted bool, now time.Time) {
	n := 0.0
	if accepted {
		n = 1
	}
	t.of(s, r).add(now, n)
}

func (h *throttle) share(now time.Time) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	requests, accepts := h.w.sums(now)
	return min((requests-throttleMultiple*accepts)/(requests+1), throttleMost)
}

func (h *throttle) add(now time.Time, accepts float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.w.add(now, 1, accepts)
}
