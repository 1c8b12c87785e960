package retry

import (
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// budgetShare is the share of the requests of the window that may be sent
	// again.
	budgetShare = 0.2
	// budgetRate is the rate of retries that a service with few requests may
	// have in any case, per second and node.
	budgetRate = 0.5
)

// Budget limits the retries and hedges of one service to a share of its recent
// requests.
type Budget struct {
	mu sync.Mutex
	w  window // a: requests, b: retries and hedges
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.add(now, 1, 0)
}

// Take takes one retry or hedge from the budget, or reports false if the
// budget is spent.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.w.sums(now)
	if retries+1 > budgetShare*requests+budgetRate*windowWidth.Seconds() {
		return false
	}
	b.w.add(now, 0, 1)
	return true
}

// Budgets holds the budget of each service. Its zero value is ready for use.
type Budgets struct {
	m sync.Map // mesh.Service -> *Budget
}

// Of returns the budget of s.
func (b *Budgets) Of(s mesh.Service) *Budget {
	if v, ok := b.m.Load(s); ok {
		return v.(*Budget)
	}
	v, _ := b.m.LoadOrStore(s, new(Budget))
	return v.(*Budget)
}
