package retry

import (
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// BudgetLimit limits the retries and hedges of one rank of a service in a
// window of 10 s to RetryRatio times its requests, plus Slack.
type BudgetLimit struct {
	RetryRatio float64
	Slack      float64
	// MaxGateRefusals is the number of gates that may refuse one request, beyond
	// the attempts of its route, before its caller is refused. With 0 a refusal by
	// a gate counts as an attempt.
	MaxGateRefusals int
}

const (
	// defaultRetryRatio is the maximum ratio of retries and hedges to requests in
	// the window.
	defaultRetryRatio = 0.2
	// defaultRetryRate is the rate of retries that even a rank with few requests
	// is allowed, per second, service and node.
	defaultRetryRate = 0.5
)

// Budget limits the retries and hedges of one rank of a service to a share of
// its recent requests.
type Budget struct {
	limit  *atomic.Pointer[BudgetLimit] // nil or unset: the defaults
	mu     sync.Mutex
	counts window // a: requests, b: retries and hedges
}

// RecordRequest counts a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.add(now, 1, 0)
}

// TryWithdraw withdraws one retry or hedge from the budget. It returns false if
// the budget is exhausted.
func (b *Budget) TryWithdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	requests, retries := b.counts.sums(now)
	l := b.currentLimit()
	if retries+1 > l.RetryRatio*requests+l.Slack {
		return false
	}
	b.counts.add(now, 0, 1)
	return true
}

// currentLimit returns the limit in effect.
func (b *Budget) currentLimit() BudgetLimit {
	if b.limit != nil {
		if l := b.limit.Load(); l != nil {
			return *l
		}
	}
	return BudgetLimit{RetryRatio: defaultRetryRatio, Slack: defaultRetryRate * windowWidth.Seconds()}
}

// Budgets holds a budget for each rank of each service, so that a flood of one
// rank does not use up the retries of the others. Together, the budgets of all
// ranks allow the same share of the service's requests as a single budget. Its
// zero value is ready for use.
type Budgets struct {
	budgets sync.Map // budgetKey -> *Budget
	limit   atomic.Pointer[BudgetLimit]
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
	if v, ok := b.budgets.Load(k); ok {
		return v.(*Budget)
	}
	v, _ := b.budgets.LoadOrStore(k, &Budget{limit: &b.limit})
	return v.(*Budget)
}
