package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// BudgetLimit is what one rank of a service may send again in a window of 10 s: Share
// of its requests, and Slack more.
type BudgetLimit struct {
	RetryRatio float64
	Slack      float64
	// MaxGateRefusals is the number of gates that may refuse one request, beyond the attempts
	// of its route, before its caller is refused. With 0 a refusal by a gate counts
	// as an attempt.
	MaxGateRefusals int
}

const (
	// budgetShare is the share of the requests of the window that may be sent
	// again.
	budgetShare = 0.2
	// budgetRate is the rate of retries that a rank with few requests may have in
	// any case, per second, service and node.
	budgetRate = 0.5
)

// Budget limits the retries and hedges of one rank of a service to a share of
// its recent requests.
type Budget struct {
	limit *atomic.Pointer[BudgetLimit] // nil or empty: the default
	mu    sync.Mutex
	w     window // a: requests, b: retries and hedges
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.add(now, 1, 0)
}

// TryWithdraw takes one retry or hedge from the budget, or reports false if the
// budget is spent.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.w.sums(now)
	l := b.bound()
	if retries+1 > l.RetryRatio*requests+l.Slack {
		return false
	}
	b.w.add(now, 0, 1)
	return true
}

// bound returns the limit in force.
func (b *Budget) bound() BudgetLimit {
	if b.limit != nil {
		if l := b.limit.Load(); l != nil {
			return *l
		}
	}
	return BudgetLimit{RetryRatio: budgetShare, Slack: budgetRate * windowWidth.Seconds()}
}

// Budgets holds a budget for each rank of each service, so that a flood of one
// rank does not use up the retries of the others. The budgets of all ranks
// together allow the share of the service's requests that one budget would.
// Its zero value is ready for use.
type Budgets struct {
	m     sync.Map // budgetKey -> *Budget
	limit atomic.Pointer[BudgetLimit]
}

type budgetKey struct {
	service mesh.Service
	rank    mesh.Rank
}

// SetLimit sets the limit of every budget of b.
func (b *Budgets) SetLimit(l BudgetLimit) { b.limit.Store(&l) }

// Get returns the budget of rank r of service s.
func (b *Budgets) Get(s mesh.Service, r mesh.Rank) *Budget {
	k := budgetKey{s, r}
	if v, ok := b.m.Load(k); ok {
		return v.(*Budget)
	}
	v, _ := b.m.LoadOrStore(k, &Budget{limit: &b.limit})
	return v.(*Budget)
}
