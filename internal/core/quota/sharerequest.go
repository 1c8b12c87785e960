package quota

import (
	"cmp"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// failureRetry is the time after the first failed request to an owner until the next
	// one. It doubles with each failure in a row, up to ShareInterval.
	failureRetry = 150 * time.Millisecond
	// greetInterval is the least time between two requests to an owner after changes of
	// the set of owners, which come in series when nodes start.
	greetInterval = 500 * time.Millisecond
	// maxReportedOwners is the number of owners up to which each node sends requests to
	// each owner, also without a share. Beyond that, owners rely on the member list, and a
	// takeover lasts for ShareLease.
	maxReportedOwners = 8
)

// ShareSend is a request to be sent to an owner.
type ShareSend struct {
	Owner   mesh.NodeID
	Request *ShareRequest
	SentAt  time.Time
}

// Due returns the requests to be sent at now. Accounts whose owner is unknown fail.
func (l *ShareLimiter) Due(now time.Time) []ShareSend {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	v := l.view.Load()
	sends := make(map[mesh.NodeID]*ownerDemands)
	empty := true
	l.accounts.Range(func(k, val any) bool {
		name, h := k.(mesh.ClientAccount), val.(*heldAccount)
		owner := ownerOf(name, v.Owners)
		h.mu.Lock()
		defer h.mu.Unlock()
		if _, held := h.held(now); held || h.number != 0 {
			empty = false
		}
		if owner == "" {
			h.fail(now)
			return true
		}
		s := sends[owner]
		if s == nil {
			s = &ownerDemands{owner: owner}
			sends[owner] = s
		}
		s.add(name, h, now)
		return true
	})
	for _, id := range v.Owners {
		if sends[id] == nil {
			sends[id] = &ownerDemands{owner: id}
		}
	}
	out := make([]ShareSend, 0, len(sends))
	for id, s := range sends {
		since := now.Sub(l.asked[id])
		routine := (s.routine || v.reports()) && (since >= ShareInterval || l.greeted[id] != v.digest && since >= greetInterval)
		if !s.urgent && !routine {
			continue
		}
		r := l.request(v, now)
		r.Complete = routine && !s.inFlight
		if routine {
			l.asked[id] = now
		}
		s.urgentOnly = !routine
		r.Demands = s.take(l.bounds, v, r.Number, now)
		out = append(out, ShareSend{Owner: id, Request: r, SentAt: now})
	}
	for id, probe := range l.answers {
		r := l.request(v, now)
		r.List, r.Answer, r.Empty = v.Owners, probe, empty
		out = append(out, ShareSend{Owner: id, Request: r, SentAt: now})
	}
	clear(l.answers)
	slices.SortFunc(out, func(a, b ShareSend) int { return cmp.Compare(a.Owner, b.Owner) })
	return out
}

// request returns a request without demands.
func (l *ShareLimiter) request(v *View, now time.Time) *ShareRequest {
	r := &ShareRequest{From: v.Self, Number: l.number.Add(1), Owners: v.digest}
	if now.Sub(l.started) < startedTime {
		r.Started = uint64(l.started.UnixMilli())
	}
	return r
}

// Probe returns a request that asks node id for its shares.
func (l *ShareLimiter) Probe(id mesh.NodeID, now time.Time) ShareSend {
	r := l.request(l.view.Load(), now)
	r.Probe = now.UnixMilli()
	return ShareSend{Owner: id, Request: r, SentAt: now}
}

// Recheck makes requests to all owners due, at most once per greetInterval.
func (l *ShareLimiter) Recheck(now time.Time) {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if now.Sub(l.recheckedAt) >= greetInterval {
		l.recheckedAt = now
		clear(l.asked)
	}
}

// Received examines a request of another node. If r is a probe or its sender knows other
// owners, requests to all owners become due: they report the shares of this node, and show
// whether an owner has failed. If this node knows other owners than the sender of a probe,
// the sender learns whether it holds shares of them.
func (l *ShareLimiter) Received(r *ShareRequest, diverges bool, now time.Time) {
	if r.Probe == 0 && !diverges {
		return
	}
	l.Recheck(now)
	if r.Probe != 0 && diverges {
		l.sendMu.Lock()
		defer l.sendMu.Unlock()
		l.answers[r.From] = r.Probe
	}
}

// ownerDemands collects the accounts of one owner.
type ownerDemands struct {
	owner           mesh.NodeID
	names           []mesh.ClientAccount
	held            []*heldAccount
	urgents         []bool
	urgent, routine bool
	inFlight        bool // a request about a held share is in flight
	urgentOnly      bool
}

// add adds h, which is locked, if there is anything to demand.
func (s *ownerDemands) add(name mesh.ClientAccount, h *heldAccount, now time.Time) {
	h.measure(now)
	_, held := h.held(now)
	if h.number != 0 {
		s.inFlight = true
		return
	}
	failing := !h.failedAt.IsZero()
	urgent := len(h.waiters) > 0 && (h.unused >= 1 || !now.Before(h.emptyTil)) || failing && now.Sub(h.lastUsed) < idleTimeout
	if failing && h.asked == s.owner && now.Sub(h.failedAt) < h.retryDelay() {
		urgent = false
	}
	if !held && !urgent && h.unused < 1 {
		return
	}
	s.names, s.held, s.urgents = append(s.names, name), append(s.held, h), append(s.urgents, urgent)
	s.urgent = s.urgent || urgent
	s.routine = s.routine || held
}

// retryDelay returns the time from a failed request to the next one.
func (h *heldAccount) retryDelay() time.Duration {
	const doublings = 4 // beyond ShareInterval
	return min(failureRetry<<min(max(h.failures-1, 0), doublings), ShareInterval)
}

// take returns the demands for a request.
func (s *ownerDemands) take(b Bounds, v *View, number uint64, now time.Time) []ShareDemand {
	var out []ShareDemand
	for i, h := range s.held {
		if s.urgentOnly && !s.urgents[i] {
			continue
		}
		out = append(out, h.demand(b, v, s.names[i], s.owner, number, now))
	}
	slices.SortFunc(out, func(a, b ShareDemand) int { return cmp.Compare(a.Account, b.Account) })
	return out
}

// measure updates the demand.
func (h *heldAccount) measure(now time.Time) {
	d := now.Sub(h.periodStart)
	if h.periodStart.IsZero() || d < measureInterval {
		return
	}
	// A single request in a period says little about the rate.
	weight := 0.15
	if h.offered >= manyOffered {
		weight = 0.5
	}
	h.wanted += weight * (h.offered/d.Seconds() - h.wanted)
	h.offered, h.periodStart = 0, now
	if now.Sub(h.lastUsed) > idleTimeout {
		h.wanted = 0
	}
}

// demand returns the demand of h in the request of the given number.
func (h *heldAccount) demand(b Bounds, v *View, name mesh.ClientAccount, owner mesh.NodeID, number uint64, now time.Time) ShareDemand {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asked != owner {
		h.failures = 0
	}
	h.number, h.asked = number, owner
	d := ShareDemand{Account: name, Limit: h.limit, Applied: h.applied, Waiting: len(h.waiters), Wanted: round(h.wanted)}
	if h.offered >= manyOffered {
		d.Wanted = round(max(h.wanted, h.offered/2))
	}
	refund := h.unused
	h.unused = 0
	if s, ok := h.held(now); ok {
		h.fill(b, v, now)
		// The owner may grant the rest to others from now on, so that it must not return
		// if the limit rises again.
		h.share, h.base = s, h.base.within(h.limit)
		returned := max(h.tokens-kept(s.Burst), 0)
		h.tokens -= returned
		refund += returned
		d.Held, d.Tokens = s, round(h.tokens)
	}
	d.Refund = round(refund)
	return d
}

// round cuts f to three digits after the point, which keeps messages small.
func round(f float64) float64 { return float64(int64(f*1000)) / 1000 }

// Apply applies the response to s. If the responder knows other owners, one of them may
// have failed, which requests to all of them show.
func (l *ShareLimiter) Apply(s ShareSend, r ShareResponse, now time.Time) {
	gs := r.Grants
	if r.Owners != s.Request.Owners {
		l.Recheck(now)
	}
	if s.Request.Complete {
		l.recordGreeting(s, now)
	}
	for i := range s.Request.Demands {
		h := l.account(s.Request.Demands[i].Account)
		if i >= len(gs) || gs[i].Refused {
			l.failOne(h, s.Request.Number, now)
			continue
		}
		l.applyOne(h, s, &gs[i], now)
	}
}

// recordGreeting records that an owner knows all shares of this node. Further requests are
// due at another time for each owner: one that has failed shows in the response of another.
func (l *ShareLimiter) recordGreeting(s ShareSend, now time.Time) {
	owners := l.view.Load().Owners
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	if l.greeted[s.Owner] == s.Request.Owners {
		return
	}
	l.greeted[s.Owner] = s.Request.Owners
	if i := slices.Index(owners, s.Owner); i > 0 {
		l.asked[s.Owner] = now.Add(-ShareInterval * time.Duration(i) / time.Duration(len(owners)))
	}
}

// applyOne applies g to h, unless a later request was sent.
func (l *ShareLimiter) applyOne(h *heldAccount, s ShareSend, g *ShareGrant, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.number != s.Request.Number {
		l.Events.Late.Add(1)
		return
	}
	v := l.view.Load()
	h.fill(l.bounds, v, now)
	h.number, h.failedAt, h.failures, h.fallback = 0, time.Time{}, 0, false
	// The owner counts the lease from the arrival of the request, which is later.
	h.share, h.base, h.until, h.applied = g.Share, g.Limit, s.SentAt.Add(ShareLease), s.Request.Number
	h.emptyTil = time.Time{}
	if g.RetryMS > 0 {
		h.emptyTil = now.Add(time.Duration(g.RetryMS) * time.Millisecond)
	}
	share, _ := h.held(now)
	h.tokens = min(h.tokens+g.Tokens, share.Burst)
	h.serve(g.Passes, now)
}

// serve lets as many waiters pass as there are passes and credit. The others are refused
// if there will be no credit soon.
func (h *heldAccount) serve(passes int, now time.Time) {
	n := min(passes, len(h.waiters))
	for n < len(h.waiters) && h.tokens >= 1 {
		h.tokens--
		n++
	}
	for _, w := range h.waiters[:n] {
		w.Done <- true
	}
	h.waiters = slices.Delete(h.waiters, 0, n)
	if h.emptyTil.Sub(now) <= maxEmptyWait {
		return // the others wait for the next request
	}
	for _, w := range h.waiters {
		w.Done <- false
	}
	h.waiters = nil
}

// Failed records that the owner did not answer s.
func (l *ShareLimiter) Failed(s ShareSend, now time.Time) {
	for i := range s.Request.Demands {
		l.failOne(l.account(s.Request.Demands[i].Account), s.Request.Number, now)
	}
}

func (l *ShareLimiter) failOne(h *heldAccount, number uint64, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.number != number {
		return
	}
	h.number = 0
	h.fail(now)
}

// fail records that the owner does not answer. The caller holds mu.
func (h *heldAccount) fail(now time.Time) {
	if h.failedAt.IsZero() {
		h.fallbackAt = now.Add(heardTimeout)
	}
	h.failedAt, h.emptyTil = now, time.Time{}
	h.failures++
	h.serve(0, now)
}
