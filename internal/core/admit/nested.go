package admit

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// NestedRank is the name of the rank of nested calls. The request that made a call
// already holds a slot elsewhere, and fails if the call is refused. Calls therefore have
// no target that they could miss: they wait as long as their deadline allows.
const NestedRank mesh.Rank = "nested"

const (
	// initialNestedTime is the service time assumed for nested calls before the first
	// sample.
	initialNestedTime = 50 * time.Millisecond
	// maxNestedShare is the share of the slots beyond which nested calls no longer go
	// before the floors of other ranks, so that a flood of calls starves no rank.
	maxNestedShare = 0.75
	// minNestedRate is the arrival rate of nested calls per second from which a slot is
	// kept for them.
	minNestedRate = 0.05
)

// WithNested returns ranks with the rank of nested calls as the most urgent one.
func WithNested(ranks []config.RankPolicy) []config.RankPolicy {
	if len(ranks) == 0 {
		return ranks
	}
	return append([]config.RankPolicy{{Name: NestedRank}}, ranks...)
}

// SetCycle sets whether admitted requests need calls to their own service, directly or by
// way of others. Requests other than nested calls then never take the last slot:
// services that call each other would otherwise fill each other's slots with requests
// that wait for the other service.
func (m *Machine) SetCycle(v bool) { m.cycle = v }

// keepsSlotForCalls reports whether r may not take the last slot.
func (m *Machine) keepsSlotForCalls(at time.Duration, r *rank) bool {
	n := m.nested
	if n == nil || r == n || !m.cycle || n.arrivalRateAt(at) < minNestedRate {
		return false
	}
	return m.inFlight-n.inFlight >= max(1, m.limiter.limit(at)-1)
}

// recordCallTarget records the target of the nested call t, which bounds the wait that a
// slot kept free saves.
func (m *Machine) recordCallTarget(t *Ticket) {
	if t.rank != m.nested || m.nested == nil {
		return
	}
	if r := m.byName[t.Rank]; r != nil && r != m.nested {
		m.nested.callTarget = r.policy.Target
	}
}

// nestedFirst reports whether a waiting nested call is served next.
func (m *Machine) nestedFirst(limit int) bool {
	n := m.nested
	return n != nil && n.queue.n > 0 && float64(n.inFlight) < max(1, maxNestedShare*float64(limit))
}
