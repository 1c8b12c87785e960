package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// burstWindow is the time over which a node may accumulate its share.
	burstWindow = time.Second
	// minBurst is the smallest bucket size in requests. A bucket of 1 would
	// lose the fraction of a token that accumulates when a request comes a
	// little late.
	minBurst = 2.0
	// firstDemandFraction is the fraction of a rate that a node reports as its
	// first demand. It is an estimate that the next demand corrects.
	firstDemandFraction = 0.1
	// minDemandInterval is the minimum time between two demands for one route.
	minDemandInterval = time.Second
	// The first demand is an estimate. The next earlyDemands follow at
	// earlyInterval, so that the shares soon match the demand.
	earlyDemands  = 3
	earlyInterval = 250 * time.Millisecond
	// renewInterval is the time between two demands while the share is
	// sufficient and total demand is well below the rate.
	renewInterval = 12 * time.Second
	// contendedInterval replaces renewInterval while much of the rate is in
	// use, so that a node gives back what others need.
	contendedInterval = 2 * time.Second
	// demandThreshold is the fraction of the share above which demand is
	// reported early. A change of demand alone is not reported early, since a
	// few requests per second vary by more than half; only a node that gives
	// back a large part of the rate reports a drop early.
	demandThreshold = 0.8
	// demandWeight is the weight of the newest period in the smoothed demand.
	demandWeight = 0.5
	// limitIdleTimeout is the time after which an unused limit is removed.
	limitIdleTimeout = time.Minute
)

// Key identifies the rate limit of one route of a client account.
type Key struct {
	Account mesh.ClientAccount
	Route   string
}

// Limiter enforces the shares that this node has of the rates of client
// accounts. It is safe for concurrent use; its zero value is empty.
//
// A node without a grant, because its first demand is not yet answered or the
// owner cannot be reached, uses rate/nodes, where nodes is the number of live
// nodes. While no node has a grant, the mesh admits at most
// R*T + n*max(2, R/n*1s) requests in T seconds at a rate of R requests/s.
type Limiter struct {
	nodes  atomic.Int64
	limits sync.Map // Key -> *limit
}

type limit struct {
	mu                sync.Mutex
	rate              float64 // of the whole mesh
	share             float64 // granted
	steady            bool    // as granted
	demandsSent       int     // so far
	expiresAt         time.Time
	tokens            float64
	refilledAt        time.Time // when tokens were last added; zero at first
	offered           float64   // requests since periodStart
	denied            int       // requests denied since the last demand
	periodStart       time.Time // start of the current demand period
	wanted            float64   // smoothed demand in requests per second
	reported          float64   // last demand sent
	lastDemandAt      time.Time
	firstDemandDone   chan struct{} // closed when the first demand was answered or failed
	firstDemandClosed bool          // firstDemandDone is closed
}

// SetNodes sets the number of live nodes, this one included.
func (l *Limiter) SetNodes(n int) { l.nodes.Store(int64(max(n, 1))) }

// Allow reports whether a request may pass under a rate in requests per second
// for the whole mesh. A rate of 0 allows every request. If the request is
// denied, wait is the time until the next one can pass.
func (l *Limiter) Allow(k Key, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	return l.limitFor(k).allow(rate, float64(max(l.nodes.Load(), 1)), now)
}

func (l *Limiter) limitFor(k Key) *limit {
	if v, ok := l.limits.Load(k); ok {
		return v.(*limit)
	}
	v, _ := l.limits.LoadOrStore(k, &limit{firstDemandDone: make(chan struct{})})
	return v.(*limit)
}

// FirstDemandDone returns a channel that is closed once the first demand for k
// was answered or failed. A request that is denied before may wait for it.
func (l *Limiter) FirstDemandDone(k Key) <-chan struct{} { return l.limitFor(k).firstDemandDone }

// NeedsFirstDemand reports whether no demand for k was sent yet, so that
// DueDemands should be called at once.
func (l *Limiter) NeedsFirstDemand(k Key) bool {
	h := l.limitFor(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastDemandAt.IsZero()
}

func (h *limit) allow(rate, nodes float64, now time.Time) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	share := rate / nodes
	if now.Before(h.expiresAt) {
		share = h.share
	}
	if h.refilledAt.IsZero() {
		h.tokens, h.periodStart = max(1, share*burstWindow.Seconds()), now
	} else {
		burst := max(minBurst, share*burstWindow.Seconds())
		// A smaller share does not remove tokens accumulated before.
		h.tokens = max(h.tokens, min(burst, h.tokens+share*max(now.Sub(h.refilledAt), 0).Seconds()))
	}
	h.rate, h.refilledAt = rate, now
	h.offered++
	if h.tokens >= 1 {
		h.tokens--
		return true, 0
	}
	h.denied++
	const maxWait = time.Minute
	wait := min((1-h.tokens)/max(share, rate/nodes), maxWait.Seconds())
	return false, time.Duration(math.Ceil(wait * float64(time.Second)))
}

// DueDemands returns the demands to be sent to their owners now.
func (l *Limiter) DueDemands(now time.Time) []Demand {
	var out []Demand
	l.limits.Range(func(k, v any) bool {
		if d, due := v.(*limit).dueDemand(now); due {
			d.Key = k.(Key)
			out = append(out, d)
		}
		return true
	})
	return out
}

func (h *limit) dueDemand(now time.Time) (Demand, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastDemandAt.IsZero() {
		h.wanted = max(1, h.rate*firstDemandFraction)
	} else {
		if now.Sub(h.lastDemandAt) < min(minDemandInterval, h.demandInterval()) {
			return Demand{}, false
		}
		h.measure(now)
		insufficient := h.denied > 0 || h.wanted > demandThreshold*h.share
		dropped := h.reported > firstDemandFraction*h.rate && h.wanted < h.reported/2
		if h.reported == 0 && h.wanted == 0 || !insufficient && !dropped && now.Sub(h.lastDemandAt) < h.demandInterval() {
			return Demand{}, false
		}
	}
	h.lastDemandAt, h.reported, h.denied = now, h.wanted, 0
	h.demandsSent++
	return Demand{Rate: h.rate, Wanted: h.wanted}, true
}

// demandInterval returns the time to the next demand while the share is
// sufficient.
func (h *limit) demandInterval() time.Duration {
	switch {
	case h.demandsSent <= earlyDemands:
		return earlyInterval
	case !h.steady:
		return contendedInterval
	}
	return renewInterval
}

// measure updates the smoothed demand with the current period, once the period
// is long enough to determine a rate.
func (h *limit) measure(now time.Time) {
	if now.Sub(h.periodStart) < min(minDemandInterval, h.demandInterval()) {
		return
	}
	seconds := now.Sub(h.periodStart).Seconds()
	h.wanted += demandWeight * (h.offered/seconds - h.wanted)
	const negligible = 0.01 // requests per second
	if h.offered == 0 && h.wanted < negligible {
		h.wanted = 0
	}
	h.offered, h.periodStart = 0, now
}

// ApplyGrant applies a grant of an owner.
func (l *Limiter) ApplyGrant(g Grant, now time.Time) {
	h := l.limitFor(g.Key)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.expiresAt.IsZero() {
		// The share applies from the first request on, which waits for it.
		h.tokens += g.Share * max(now.Sub(h.periodStart), 0).Seconds()
		h.tokens = max(h.tokens, min(g.Share*burstWindow.Seconds(), h.rate*firstDemandFraction))
	}
	h.share, h.steady, h.expiresAt = g.Share, g.Steady, now.Add(LeaseDuration)
	h.completeFirstDemand()
}

// DemandFailed records that the owner of k did not answer. The node sends its
// demand again after minDemandInterval.
func (l *Limiter) DemandFailed(k Key) {
	h := l.limitFor(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported = 0
	h.completeFirstDemand()
}

func (h *limit) completeFirstDemand() {
	if !h.firstDemandClosed {
		close(h.firstDemandDone)
		h.firstDemandClosed = true
	}
}

// Sweep removes limits that were not used for a minute.
func (l *Limiter) Sweep(now time.Time) {
	l.limits.Range(func(k, v any) bool {
		h := v.(*limit)
		h.mu.Lock()
		idle := now.Sub(h.refilledAt) > limitIdleTimeout
		h.mu.Unlock()
		if idle {
			l.limits.Delete(k)
		}
		return true
	})
}
