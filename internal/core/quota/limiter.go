package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// burstTime is the time over which a node may save up its share.
	burstTime = time.Second
	// leastBurst is the least bucket size in requests. A bucket of 1 would lose
	// the part of a token that is saved when a request comes a little late.
	leastBurst = 2.0
	// firstPart is the part of a rate that the first ask of a node is for. It is
	// a guess that the next ask corrects.
	firstPart = 0.1
	// askPeriod is the least time between two asks for one route.
	askPeriod = time.Second
	// The first ask is for a guess. The next earlyAsks follow at earlyPeriod, so
	// that the shares soon match the demand.
	earlyAsks   = 3
	earlyPeriod = 250 * time.Millisecond
	// renewPeriod is the time between two asks while the share is enough and
	// the rate is far from used up.
	renewPeriod = 12 * time.Second
	// contendedPeriod is that time while much of the rate is in use, so that a
	// node gives back what others need.
	contendedPeriod = 2 * time.Second
	// enough is the part of the share up to which demand needs no ask. A change
	// of demand alone is none: a few requests per second vary by more than half.
	// Only a node that gives back a large part of the rate asks early.
	enough = 0.8
	// demandWeight is the weight of the newest period in the demand.
	demandWeight = 0.5
	// limitIdle is the time after which an unused limit is forgotten.
	limitIdle = time.Minute
)

// Key names the rate limit of one route of a client account.
type Key struct {
	Account mesh.ClientAccount
	Route   string
}

// Limiter enforces this node's shares of the rates of client accounts. It is
// safe for concurrent use; its zero value is empty.
//
// A node without a grant, because its first ask is not yet answered or the
// owner cannot be reached, uses rate/nodes, where nodes is the number of live
// nodes. While no node has a grant, the mesh admits at most
// R*T + n*max(2, R/n*1s) requests in T seconds at a rate of R requests/s.
type Limiter struct {
	nodes atomic.Int64
	m     sync.Map // Key -> *limit
}

type limit struct {
	mu       sync.Mutex
	rate     float64 // of the whole mesh
	share    float64 // granted
	steady   bool    // as granted
	asks     int     // so far
	until    time.Time
	tokens   float64
	filled   time.Time // when tokens were last filled; zero at first
	offered  float64   // requests since the last ask
	denied   int       // of these, denied
	since    time.Time // start of the demand period
	wanted   float64   // smoothed demand in requests per second
	reported float64   // demand of the last ask
	asked    time.Time
	settled  chan struct{} // closed when the first ask was answered or failed
	closed   bool          // settled is closed
}

// SetNodes sets the number of live nodes, this one included.
func (l *Limiter) SetNodes(n int) { l.nodes.Store(int64(max(n, 1))) }

// Allow reports whether a request may pass under a rate of requests per second
// of the whole mesh. A rate of 0 allows every request. If the request is denied,
// wait is the time until the next one can pass.
func (l *Limiter) Allow(k Key, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	return l.of(k).allow(rate, float64(max(l.nodes.Load(), 1)), now)
}

func (l *Limiter) of(k Key) *limit {
	if v, ok := l.m.Load(k); ok {
		return v.(*limit)
	}
	v, _ := l.m.LoadOrStore(k, &limit{settled: make(chan struct{})})
	return v.(*limit)
}

// FirstDemandDone returns a channel that is closed once the first ask for k was
// answered or failed. A request that is denied before may wait for it.
func (l *Limiter) FirstDemandDone(k Key) <-chan struct{} { return l.of(k).settled }

// NeedsFirstDemand reports whether k was never asked for, so that Demands should be asked
// for at once.
func (l *Limiter) NeedsFirstDemand(k Key) bool {
	h := l.of(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.asked.IsZero()
}

func (h *limit) allow(rate, nodes float64, now time.Time) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	share := rate / nodes
	if now.Before(h.until) {
		share = h.share
	}
	if h.filled.IsZero() {
		h.tokens, h.since = max(1, share*burstTime.Seconds()), now
	} else {
		burst := max(leastBurst, share*burstTime.Seconds())
		// A smaller share does not take away what was saved up before.
		h.tokens = max(h.tokens, min(burst, h.tokens+share*max(now.Sub(h.filled), 0).Seconds()))
	}
	h.rate, h.filled = rate, now
	h.offered++
	if h.tokens >= 1 {
		h.tokens--
		return true, 0
	}
	h.denied++
	const longest = time.Minute
	wait := min((1-h.tokens)/max(share, rate/nodes), longest.Seconds())
	return false, time.Duration(math.Ceil(wait * float64(time.Second)))
}

// DueDemands returns the demands to be sent to their owners now.
func (l *Limiter) DueDemands(now time.Time) []Demand {
	var out []Demand
	l.m.Range(func(k, v any) bool {
		if d, due := v.(*limit).demand(now); due {
			d.Key = k.(Key)
			out = append(out, d)
		}
		return true
	})
	return out
}

func (h *limit) demand(now time.Time) (Demand, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.asked.IsZero() {
		h.wanted = max(1, h.rate*firstPart)
	} else {
		if now.Sub(h.asked) < min(askPeriod, h.period()) {
			return Demand{}, false
		}
		h.measure(now)
		short := h.denied > 0 || h.wanted > enough*h.share
		spare := h.reported > firstPart*h.rate && h.wanted < h.reported/2
		if h.reported == 0 && h.wanted == 0 || !short && !spare && now.Sub(h.asked) < h.period() {
			return Demand{}, false
		}
	}
	h.asked, h.reported, h.denied = now, h.wanted, 0
	h.asks++
	return Demand{Rate: h.rate, Wanted: h.wanted}, true
}

// period returns the time to the next ask while the share is enough.
func (h *limit) period() time.Duration {
	switch {
	case h.asks <= earlyAsks:
		return earlyPeriod
	case !h.steady:
		return contendedPeriod
	}
	return renewPeriod
}

// measure takes the demand of the present period into the smoothed demand, once
// the period is long enough to tell a rate.
func (h *limit) measure(now time.Time) {
	if now.Sub(h.since) < min(askPeriod, h.period()) {
		return
	}
	seconds := now.Sub(h.since).Seconds()
	h.wanted += demandWeight * (h.offered/seconds - h.wanted)
	const negligible = 0.01
	if h.offered == 0 && h.wanted < negligible {
		h.wanted = 0
	}
	h.offered, h.since = 0, now
}

// ApplyGrant takes in the answer of an owner.
func (l *Limiter) ApplyGrant(g Grant, now time.Time) {
	h := l.of(g.Key)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.until.IsZero() {
		// The share counts from the first request, which waits for it.
		h.tokens += g.Share * max(now.Sub(h.since), 0).Seconds()
		h.tokens = max(h.tokens, min(g.Share*burstTime.Seconds(), h.rate*firstPart))
	}
	h.share, h.steady, h.until = g.Share, g.Steady, now.Add(LeaseDuration)
	h.settle()
}

// DemandFailed takes in that the owner of k did not answer. The node asks again after
// askPeriod.
func (l *Limiter) DemandFailed(k Key) {
	h := l.of(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reported = 0
	h.settle()
}

func (h *limit) settle() {
	if !h.closed {
		close(h.settled)
		h.closed = true
	}
}

// Sweep forgets limits that were not used for a minute.
func (l *Limiter) Sweep(now time.Time) {
	l.m.Range(func(k, v any) bool {
		h := v.(*limit)
		h.mu.Lock()
		idle := now.Sub(h.filled) > limitIdle
		h.mu.Unlock()
		if idle {
			l.m.Delete(k)
		}
		return true
	})
}
