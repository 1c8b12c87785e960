package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// heldFraction is the fraction of a rate that is granted as shares. The rest fills
	// the pool, from which nodes without a share are served.
	heldFraction = 0.9
	// heldBurstFraction is the same for the burst.
	heldBurstFraction = 0.75
	// wantedHeadroom is the share relative to the measured demand.
	wantedHeadroom = 1.1
	// minHeldDemand is the demand below which a node gets no share: a request every few
	// seconds costs fewer messages than the renewals of a share.
	minHeldDemand = 0.3
	// recalculateInterval is the time between two calculations of the fair shares of an
	// account, which take time proportional to the nodes that hold one.
	recalculateInterval = 100 * time.Millisecond
	// silentMemory is the time for which a node that is alive and did not renew its share
	// is assumed to use rate/nodes, since it may fail to reach this node.
	silentMemory = time.Minute
	// minRetry is the least time after which a node may ask for credit again, and
	// overloadRetry that of a node without a share while more is wanted than the rate.
	minRetry      = 100 * time.Millisecond
	overloadRetry = 600 * time.Millisecond
)

// ShareLedger records the shares of the accounts that a node owns. It is safe for
// concurrent use.
type ShareLedger struct {
	mu      sync.Mutex
	bounds  Bounds
	started time.Time
	view    *View
	tenures []*tenure
	lostAt  map[mesh.NodeID]time.Time // when a known node was found not to be alive
	// restartedAt is when all nodes were found to have restarted, zero if they were not.
	restartedAt time.Time
	accounts    map[mesh.ClientAccount]*ownedAccount

	reports   map[mesh.NodeID]report    // last request of each node
	probed    map[mesh.NodeID]time.Time // last probe in a takeover
	heard     map[uint64]int            // nodes heard of within heardTimeout by digest of owners
	countedAt time.Time                 // when heard was counted
}

// NewShareLedger returns a ledger of a node that starts at now.
func NewShareLedger(b Bounds, now time.Time) *ShareLedger {
	return &ShareLedger{bounds: b, started: now, accounts: make(map[mesh.ClientAccount]*ownedAccount),
		lostAt: make(map[mesh.NodeID]time.Time), reports: make(map[mesh.NodeID]report),
		probed: make(map[mesh.NodeID]time.Time)}
}

// ownedAccount is the credit of one account. The credit of its holders and its pool
// together never exceed the burst.
type ownedAccount struct {
	limit    Limit // of the whole mesh, in force at the last demand
	pool     float64
	filledAt time.Time
	holders  map[mesh.NodeID]*shareHolder
	silent   map[mesh.NodeID]time.Time // end of the time for which a node may use rate/nodes
	total    Limit                     // sum over holders

	calculatedAt time.Time
	level        float64 // fair rate of nodes whose demand is not met
	overloaded   bool    // the demand exceeds the rate
	burstScale   float64
}

// shareHolder is what one node holds.
type shareHolder struct {
	number    uint64 // of its last request
	share     Limit  // at most this is held
	wanted    float64
	given     float64 // tokens granted in response to number
	expiresAt time.Time
}

// Grant responds to r. limitOf returns the limit of an account in the configuration of
// this node, or false if there is none.
func (l *ShareLedger) Grant(now time.Time, r *ShareRequest, limitOf func(mesh.ClientAccount) (Limit, bool)) ShareResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil {
		return ShareResponse{}
	}
	out := make([]ShareGrant, len(r.Demands))
	current := l.recordRequest(r, now)
	for i := range r.Demands {
		d := &r.Demands[i]
		if own, ok := limitOf(d.Account); ok {
			d.Limit = d.Limit.within(own)
		}
		if !current || ownerOf(d.Account, l.view.Owners) != l.view.Self || d.Limit.Rate <= 0 {
			out[i].Refused = true
			continue
		}
		out[i] = l.grant(now, r, d)
	}
	if r.Complete && current {
		l.recordReport(r.From, r.Owners, now)
	}
	return ShareResponse{Owners: l.view.digest, Grants: out}
}

// grant returns the response to d of request r.
func (l *ShareLedger) grant(now time.Time, r *ShareRequest, d *ShareDemand) ShareGrant {
	since, early := l.ownedSince(d.Account, now)
	takeover := since.After(now)
	a := l.accounts[d.Account]
	if a == nil {
		a = &ownedAccount{filledAt: since, holders: make(map[mesh.NodeID]*shareHolder), silent: make(map[mesh.NodeID]time.Time)}
		switch {
		case l.justRestarted(now):
			a.filledAt, a.pool = now, restartFraction*l.bounds.credit(d.Limit)
		case takeover:
			a.filledAt, a.pool = now, takeoverFraction*l.bounds.excess(d.Limit)
		}
		l.accounts[d.Account] = a
	}
	delete(a.silent, r.From)
	a.limit = d.Limit
	a.expire(l.view, now)
	bound := l.visible(d.Account, a, early, now)
	a.fill(now, since, bound)
	h := a.holders[r.From]
	if h == nil {
		h = new(shareHolder)
		a.holders[r.From] = h
	}
	if r.Number <= h.number {
		return ShareGrant{Refused: true}
	}
	a.confirm(h, r.Number, d)
	a.calculate(now, bound)
	g := ShareGrant{Limit: a.limit}
	g.Share = a.shareFor(h, d, bound, takeover)
	a.total.Rate += max(g.Share.Rate, h.share.Rate) - h.share.Rate
	a.total.Burst += max(g.Share.Burst, h.share.Burst) - h.share.Burst
	h.share = Limit{Rate: max(g.Share.Rate, h.share.Rate), Burst: max(g.Share.Burst, h.share.Burst)}
	h.expiresAt = now.Add(ShareLease)
	a.spend(h, d, &g)
	a.pool = max(min(a.pool, bound.Burst-a.total.Burst), 0)
	if d.Waiting > g.Passes || a.pool < 1 {
		g.RetryMS = a.retryTime(bound, g.Share).Milliseconds()
	}
	return g
}

// retryTime returns the time after which a node with share s may ask again.
func (a *ownedAccount) retryTime(bound, s Limit) time.Duration {
	switch {
	case a.overloaded && s.Rate > 0:
		return ShareInterval // the node has its fair share
	case a.overloaded:
		return overloadRetry
	}
	wait := (1 - a.pool) / max(bound.Rate-a.total.Rate, (1-heldFraction)*bound.Rate, 1e-3)
	return min(max(time.Duration(wait*float64(time.Second)), minRetry), ShareInterval)
}

// visible returns the part of the limit of a for the nodes that reach this one; the others
// use rate/nodes.
func (l *ShareLedger) visible(name mesh.ClientAccount, a *ownedAccount, early bool, now time.Time) Limit {
	n := l.countHeard(name, now)
	if l.justRestarted(now) {
		n = max(n, len(l.view.Alive)) // the others have not had the time to report
	}
	if !l.view.reports() {
		n = len(l.view.Alive)
		for id := range a.silent {
			if l.view.isAlive(id) {
				n--
			}
		}
	}
	if early {
		// Besides its fallback, a lost node may run and use an unknown share.
		n -= (lostReserve - 1) * l.countLost(now)
	}
	f := min(float64(max(n, 1))/float64(l.view.Known), 1)
	return Limit{Rate: f * a.limit.Rate, Burst: f * l.bounds.credit(a.limit)}
}

// report describes the last request of a node.
type report struct {
	owners  uint64 // digest of the owners in its view
	at      time.Time
	started uint64    // start of its process in ms of its clock, 0 if unknown
	newAt   time.Time // when the first request of this process arrived, zero if it is not known to be new
}

// countHeard returns the number of nodes that have sent a request within heardTimeout and
// know this node as the owner of account name. The others may get shares from another one.
func (l *ShareLedger) countHeard(name mesh.ClientAccount, now time.Time) int {
	if now.Sub(l.countedAt) >= recalculateInterval {
		l.heard, l.countedAt = make(map[uint64]int), now
		for id, r := range l.reports {
			if now.Sub(r.at) >= heardTimeout {
				delete(l.reports, id)
			} else {
				l.heard[r.owners]++
			}
		}
	}
	n := l.heard[l.view.digest]
	for i, t := range l.tenures {
		if t.digest == l.view.digest || slices.ContainsFunc(l.tenures[:i], func(o *tenure) bool { return o.digest == t.digest }) {
			continue // counted before
		}
		if c := l.heard[t.digest]; c > 0 && ownerOf(name, t.owners) == l.view.Self {
			n += c
		}
	}
	return n
}

// knows reports whether digest is that of the current or of former owners.
func (l *ShareLedger) knows(digest uint64) bool {
	return digest == l.view.digest || slices.ContainsFunc(l.tenures, func(t *tenure) bool { return t.digest == digest })
}

// Diverges reports whether the sender of r knows owners that this node does not know, so
// that one of the views is out of date.
func (l *ShareLedger) Diverges(r *ShareRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view != nil && !l.knows(r.Owners)
}

// expire removes the shares whose lease has ended.
func (a *ownedAccount) expire(v *View, now time.Time) {
	if now.Sub(a.calculatedAt) < recalculateInterval {
		return
	}
	a.total = Limit{}
	for id, h := range a.holders {
		if now.Before(h.expiresAt) {
			a.total.Rate += h.share.Rate
			a.total.Burst += h.share.Burst
			continue
		}
		if h.share.Rate > 0 && v.isAlive(id) {
			a.silent[id] = now.Add(silentMemory)
		}
		delete(a.holders, id)
	}
	for id, until := range a.silent {
		if !now.Before(until) {
			delete(a.silent, id)
		}
	}
}

// fill adds to the pool what has accrued since the given time, before which the account is
// in takeover.
func (a *ownedAccount) fill(now, since time.Time, bound Limit) {
	from := a.filledAt
	if since.After(from) {
		from = since
	}
	a.pool += max(bound.Rate-a.total.Rate, 0) * max(now.Sub(from), 0).Seconds()
	a.pool = max(min(a.pool, bound.Burst-a.total.Burst), 0)
	a.filledAt = now
}

// confirm replaces what h may hold by what it states to hold. It ignores responses to
// earlier requests from now on.
func (a *ownedAccount) confirm(h *shareHolder, number uint64, d *ShareDemand) {
	if h.given > 0 && d.Applied != h.number {
		a.pool += h.given // the response was lost
	}
	a.pool += max(d.Refund, 0)
	held := d.Held.within(d.Limit)
	a.total.Rate += held.Rate - h.share.Rate
	a.total.Burst += d.Held.Burst - h.share.Burst
	h.number, h.share, h.wanted, h.given = number, Limit{Rate: held.Rate, Burst: d.Held.Burst}, d.Wanted, 0
}

// calculate determines the fair shares of a.
func (a *ownedAccount) calculate(now time.Time, bound Limit) {
	if now.Sub(a.calculatedAt) < recalculateInterval {
		return
	}
	a.calculatedAt = now
	wants := make([]float64, 0, len(a.holders))
	burst, wanted := 0.0, 0.0
	for _, h := range a.holders {
		wanted += h.wanted
		if h.wanted >= minHeldDemand {
			wants = append(wants, wantedHeadroom*h.wanted)
			burst += desiredBurst(h.wanted)
		}
	}
	a.overloaded = wanted > bound.Rate
	a.level = fairLevel(wants, heldFraction*bound.Rate)
	a.burstScale = min(1, heldBurstFraction*bound.Burst/max(burst, 1))
}

// fairLevel returns the level at which wants, cut to it, add up to rate.
func fairLevel(wants []float64, rate float64) float64 {
	slices.Sort(wants)
	left := rate
	for i, w := range wants {
		level := left / float64(len(wants)-i)
		if w >= level {
			return level
		}
		left -= w
	}
	return math.Inf(1)
}

// shareFor returns the share of h. During a takeover no share grows.
func (a *ownedAccount) shareFor(h *shareHolder, d *ShareDemand, bound Limit, takeover bool) Limit {
	if h.wanted < minHeldDemand {
		return Limit{}
	}
	free := Limit{
		Rate:  heldFraction*bound.Rate - (a.total.Rate - h.share.Rate),
		Burst: heldBurstFraction*bound.Burst - (a.total.Burst - h.share.Burst),
	}
	if takeover {
		// What is free is unknown. Former owners granted the rate once, so that each
		// node may keep its part, also while this node hears of few others.
		return h.share
	}
	want := Limit{Rate: min(wantedHeadroom*h.wanted, a.level), Burst: max(desiredBurst(h.wanted)*a.burstScale, 1)}
	// What the node already holds up to its fair share does not raise the sum.
	s := want.within(Limit{Rate: max(free.Rate, h.share.Rate), Burst: max(free.Burst, h.share.Burst)})
	if s.Burst < 1 || s.Rate <= 0 {
		return Limit{} // a share that never admits a request only takes credit from others
	}
	return s
}

// spend grants credit from the pool: first to the requests that wait, then to the node.
func (a *ownedAccount) spend(h *shareHolder, d *ShareDemand, g *ShareGrant) {
	g.Passes = max(min(d.Waiting, int(a.pool)), 0)
	a.pool -= float64(g.Passes)
	// Half of the pool is kept for other nodes, which may all ask at the same time.
	g.Tokens = max(min(kept(g.Share.Burst)-d.Tokens, a.pool/2), 0)
	a.pool -= g.Tokens
	h.given = g.Tokens
}

// Sweep removes the accounts that nobody uses.
func (l *ShareLedger) Sweep(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, a := range l.accounts {
		a.expire(l.view, now)
		// A removed account starts again with the credit of the time since its takeover,
		// which must not be more than it has.
		if len(a.holders) == 0 && len(a.silent) == 0 && now.Sub(a.filledAt) > tenureMemory &&
			a.limit.Rate*tenureMemory.Seconds() >= l.bounds.credit(a.limit) {
			delete(l.accounts, name)
		}
	}
	return len(l.accounts)
}
