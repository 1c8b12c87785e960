package quota

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// SharePreview says how a request of a client account would be decided on now.
type SharePreview struct {
	Allowed  bool
	Waits    bool          // the request would wait for a grant of Owner
	Retry    time.Duration // time until there is credit, if the request is refused
	Owner    mesh.NodeID   // keeps the credit of the account; "" if no node is known
	Share    Limit         // held by this node
	Credit   float64       // requests, before this one
	Fallback bool          // the owner does not answer, so that rate and burst are divided by Nodes
	Nodes    int           // known
}

// Preview returns the decision that Allow would make, without using credit or counting. It
// runs Allow on a copy of the account.
func (l *ShareLimiter) Preview(a mesh.ClientAccount, limit Limit, now time.Time) SharePreview {
	trial := &ShareLimiter{bounds: l.bounds}
	v := l.view.Load()
	trial.view.Store(v)
	h := new(heldAccount)
	if known, ok := l.accounts.Load(a); ok {
		h = known.(*heldAccount).clone()
	}
	trial.accounts.Store(a, h)
	h.limit = limit
	h.fill(l.bounds, v, now)
	p := SharePreview{Owner: ownerOf(a, v.Owners), Credit: h.tokens, Fallback: h.fallback, Nodes: v.Known}
	p.Share, _ = h.held(now)
	d := trial.Allow(a, limit, now)
	p.Allowed, p.Waits, p.Retry = d.Allowed, d.Waiter != nil, d.Retry
	return p
}

// clone returns a copy of h that shares no memory with it.
func (h *heldAccount) clone() *heldAccount {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &heldAccount{
		limit: h.limit, share: h.share, base: h.base, until: h.until, tokens: h.tokens, filledAt: h.filledAt,
		fallback: h.fallback, slot: h.slot, unused: h.unused, failedAt: h.failedAt, failures: h.failures, asked: h.asked,
		fallbackAt: h.fallbackAt, emptyTil: h.emptyTil, promised: h.promised,
		waiters: slices.Clone(h.waiters), number: h.number, applied: h.applied,
		offered: h.offered, periodStart: h.periodStart, wanted: h.wanted, lastUsed: h.lastUsed,
	}
}
