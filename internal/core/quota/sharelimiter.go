package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxShareWaiters bounds the requests of one account that wait for a grant on a node.
	maxShareWaiters = 64
	// maxPromise bounds the time for which the retry times of refused requests follow each
	// other.
	maxPromise = 10 * time.Second
	// measureInterval is the time over which demand is measured.
	measureInterval = time.Second
	// idleTimeout is the time without requests after which a share is given back.
	idleTimeout = 4 * time.Second
	// maxEmptyWait is the longest time for which a request waits until the owner may have
	// credit.
	maxEmptyWait = 150 * time.Millisecond
	// maxUnused bounds the credit above the share that a node keeps for its owner.
	maxUnused = 2
	// manyOffered is the number of requests in a period that determine a rate.
	manyOffered = 4
)

// ShareEvents counts decisions by reason.
type ShareEvents struct {
	Granted, Refused, Passed, Fallback, FallbackRefused, Refunded, Late atomic.Int64
}

// ShareLimiter enforces the shares that a node holds of the limits of client accounts. It
// is safe for concurrent use.
type ShareLimiter struct {
	Events ShareEvents

	bounds   Bounds
	started  time.Time
	view     atomic.Pointer[View]
	number   atomic.Uint64
	accounts sync.Map // mesh.ClientAccount -> *heldAccount

	sendMu      sync.Mutex // guards the fields below
	recheckedAt time.Time
	greeted     map[mesh.NodeID]uint64
	asked       map[mesh.NodeID]time.Time
	answers     map[mesh.NodeID]int64 // probes to be answered
}

// NewShareLimiter returns a limiter of a node that starts at now.
func NewShareLimiter(b Bounds, now time.Time) *ShareLimiter {
	l := &ShareLimiter{bounds: b, started: now, greeted: make(map[mesh.NodeID]uint64), asked: make(map[mesh.NodeID]time.Time), answers: make(map[mesh.NodeID]int64)}
	// A node sends fewer than one request per ms, so that numbers of a later process are
	// higher.
	l.number.Store(uint64(now.UnixMilli()))
	l.view.Store(&View{Known: 1})
	return l
}

// SetView replaces the view of the mesh.
func (l *ShareLimiter) SetView(v *View) { l.view.Store(v) }

// heldAccount is the credit of one account on this node.
type heldAccount struct {
	mu       sync.Mutex
	limit    Limit // of the whole mesh, in force at the last request
	share    Limit // granted
	base     Limit // that share is part of
	until    time.Time
	tokens   float64
	filledAt time.Time
	fallback bool        // the owner does not answer and no share is held
	slot     int64       // last used slot of the fallback
	unused   float64     // credit for the owner: above the share, or of requests that did not run
	failedAt time.Time   // of the last request to the owner, zero if it was answered
	failures int         // in a row
	asked    mesh.NodeID // owner of the last request

	// fallbackAt is the time after the first failed request from which the owner takes
	// into account that this node uses rate/nodes.
	fallbackAt time.Time
	emptyTil   time.Time // until then the owner has no credit
	promised   time.Time // latest retry time of a refused request

	waiters []*ShareWaiter
	number  uint64 // of the request in flight, 0 if there is none
	applied uint64 // of the last request whose grant was applied

	offered     float64
	periodStart time.Time
	wanted      float64 // smoothed demand in requests per second
	lastUsed    time.Time
}

// ShareWaiter is a request that waits for a grant.
type ShareWaiter struct {
	// Done receives whether the request may pass.
	Done    chan bool
	account *heldAccount
}

// ShareDecision is the decision on one request.
type ShareDecision struct {
	Allowed bool
	Waiter  *ShareWaiter  // the request may wait for a grant; nil if not
	Retry   time.Duration // time until there is credit, if the request is refused
}

func (l *ShareLimiter) account(a mesh.ClientAccount) *heldAccount {
	if v, ok := l.accounts.Load(a); ok {
		return v.(*heldAccount)
	}
	v, _ := l.accounts.LoadOrStore(a, new(heldAccount))
	return v.(*heldAccount)
}

// Allow decides on a request of account a under limit.
func (l *ShareLimiter) Allow(a mesh.ClientAccount, limit Limit, now time.Time) ShareDecision {
	h := l.account(a)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.periodStart.IsZero() {
		h.periodStart = now
	}
	h.offered++
	h.lastUsed = now
	h.limit = limit
	v := l.view.Load()
	rate := h.fill(l.bounds, v, now)
	switch {
	case h.tokens >= 1:
		h.tokens--
	case h.fallback && h.takeSlot(l.bounds, v, a, now):
	case h.mayAsk(now) && len(h.waiters) < maxShareWaiters:
		w := &ShareWaiter{Done: make(chan bool, 1), account: h}
		h.waiters = append(h.waiters, w)
		return ShareDecision{Waiter: w}
	default:
		return ShareDecision{Retry: l.refuse(h, rate, v, now)}
	}
	if h.fallback {
		l.Events.Fallback.Add(1)
	} else {
		l.Events.Granted.Add(1)
	}
	return ShareDecision{Allowed: true}
}

// held returns the share that h may use at now, or false if it has none. A rate that was
// lowered since the grant lowers the share.
func (h *heldAccount) held(now time.Time) (Limit, bool) {
	if !now.Before(h.until) || h.share.Burst < 1 {
		return Limit{}, false
	}
	s := h.share
	if h.limit.Rate < h.base.Rate {
		s.Rate *= h.limit.Rate / h.base.Rate
	}
	if h.limit.Burst < h.base.Burst {
		s.Burst *= h.limit.Burst / h.base.Burst
	}
	return s, true
}

// fill adds the credit since the last call, and returns the rate at which it grows.
func (h *heldAccount) fill(b Bounds, v *View, now time.Time) float64 {
	elapsed := max(now.Sub(h.filledAt), 0).Seconds()
	if h.filledAt.IsZero() {
		elapsed = 0
	}
	h.filledAt = now
	if s, ok := h.held(now); ok {
		h.fallback = false
		h.tokens = min(h.tokens+s.Rate*elapsed, s.Burst)
		return s.Rate
	}
	if h.failedAt.IsZero() || now.Before(h.fallbackAt) {
		h.fallback, h.tokens = false, 0
		return 0
	}
	n := float64(v.Known)
	most := b.credit(h.limit) / n
	if !h.fallback {
		// Shares that ended and the credit of nodes that never had one.
		h.fallback = true
		elapsed = 0
		h.tokens = max(h.tokens, firstFallbackFraction*b.excess(h.limit)/n)
	}
	h.tokens = min(h.tokens+h.limit.Rate/n*elapsed, most)
	return h.limit.Rate / n
}

// takeSlot reports whether a node whose part of the credit is less than one request may
// pass one now. Time is divided into slots of one request at rate/nodes. Each slot has
// credit only in its first part, which begins at another time on each node, so that the
// nodes never accumulate a request each.
func (h *heldAccount) takeSlot(b Bounds, v *View, a mesh.ClientAccount, now time.Time) bool {
	n := float64(v.Known)
	part := b.credit(h.limit) / n
	if part >= 1 || h.limit.Rate <= 0 {
		return false
	}
	length := n / h.limit.Rate // seconds
	phase := float64(xxhash.Sum64String(string(v.Self)+"/"+string(a))%1024) / 1024
	at := float64(now.UnixNano())/1e9/length + phase
	slot := int64(math.Floor(at))
	if slot == h.slot || at-math.Floor(at) > part/2 {
		return false
	}
	h.slot = slot
	return true
}

// mayAsk reports whether the owner may have credit for a waiting request, if only that
// which this node returns.
func (h *heldAccount) mayAsk(now time.Time) bool {
	return !h.fallback && (h.unused >= 1 || h.emptyTil.Sub(now) <= maxEmptyWait)
}

// refuse returns the time until a refused request finds credit. Requests that are refused
// one after the other get times that follow each other at the rate of h.
func (l *ShareLimiter) refuse(h *heldAccount, rate float64, v *View, now time.Time) time.Duration {
	if h.fallback {
		l.Events.FallbackRefused.Add(1)
	} else {
		l.Events.Refused.Add(1)
	}
	next := now.Add(minRetry)
	if h.emptyTil.After(next) && rate <= 0 {
		next = h.emptyTil
	}
	rate = max(rate, h.limit.Rate/float64(v.Known), 1e-3)
	if h.tokens < 1 && h.fallbackOrHeld(now) {
		next = now.Add(time.Duration((1 - h.tokens) / rate * float64(time.Second)))
	}
	if h.promised.After(next) {
		next = h.promised
	}
	h.promised = next.Add(time.Duration(float64(time.Second) / rate))
	if most := now.Add(maxPromise); h.promised.After(most) {
		h.promised = most
	}
	return next.Sub(now)
}

func (h *heldAccount) fallbackOrHeld(now time.Time) bool {
	_, ok := h.held(now)
	return ok || h.fallback
}

// Cancel ends the wait of w. It reports whether w was allowed to pass in the meantime.
func (l *ShareLimiter) Cancel(w *ShareWaiter, now time.Time) ShareDecision {
	h := w.account
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, o := range h.waiters {
		if o != w {
			continue
		}
		h.waiters = append(h.waiters[:i], h.waiters[i+1:]...)
		return l.resolve(h, false, now)
	}
	return l.resolve(h, <-w.Done, now)
}

// Resolved returns the decision for w, whose Done has sent passed.
func (l *ShareLimiter) Resolved(w *ShareWaiter, passed bool, now time.Time) ShareDecision {
	w.account.mu.Lock()
	defer w.account.mu.Unlock()
	return l.resolve(w.account, passed, now)
}

func (l *ShareLimiter) resolve(h *heldAccount, passed bool, now time.Time) ShareDecision {
	if passed {
		l.Events.Passed.Add(1)
		return ShareDecision{Allowed: true}
	}
	v := l.view.Load()
	rate := h.fill(l.bounds, v, now)
	if h.tokens >= 1 {
		h.tokens--
		l.Events.Granted.Add(1)
		return ShareDecision{Allowed: true}
	}
	return ShareDecision{Retry: l.refuse(h, rate, v, now)}
}

// Refund returns the credit of a request that did not run.
func (l *ShareLimiter) Refund(a mesh.ClientAccount, now time.Time) {
	h := l.account(a)
	h.mu.Lock()
	defer h.mu.Unlock()
	v := l.view.Load()
	h.fill(l.bounds, v, now)
	most := 0.0
	if s, ok := h.held(now); ok {
		most = s.Burst
	} else if h.fallback {
		most = l.bounds.credit(h.limit) / float64(v.Known)
	}
	l.Events.Refunded.Add(1)
	switch {
	case h.tokens+1 <= most:
		h.tokens++
	case !h.fallback:
		h.unused = min(h.unused+1, maxUnused)
	}
}

// FallbackAccounts returns the number of accounts in use that have neither a share nor an
// owner that answers.
func (l *ShareLimiter) FallbackAccounts(now time.Time) int {
	n := 0
	l.accounts.Range(func(_, v any) bool {
		h := v.(*heldAccount)
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.fallback && now.Sub(h.lastUsed) < idleTimeout {
			n++
		}
		return true
	})
	return n
}

// Sweep removes accounts that have not been used for a minute.
func (l *ShareLimiter) Sweep(now time.Time) {
	l.accounts.Range(func(k, v any) bool {
		h := v.(*heldAccount)
		h.mu.Lock()
		idle := now.Sub(h.lastUsed) > limitIdleTimeout && len(h.waiters) == 0 && !now.Before(h.until)
		h.mu.Unlock()
		if idle {
			l.accounts.Delete(k)
		}
		return true
	})
}
