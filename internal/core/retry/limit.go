package retry

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
	// feedbackPeriod is the time between two corrections of a share.
	feedbackPeriod = 4 * time.Second
	// feedbackAge is the time after which a share without feedback falls back
	// to rate/nodes.
	feedbackAge = 10 * time.Second
	// feedbackStep is the greatest factor of one correction.
	feedbackStep = 2.0
	// limitIdle is the time after which an unused limit is forgotten.
	limitIdle = time.Minute
)

// LimitKey names the rate limit of one route of a client account.
type LimitKey struct {
	Account mesh.ClientAccount
	Route   string
}

// Limiter enforces the rates of client accounts. A rate holds for the whole
// mesh; this node enforces a share of it with a token bucket.
//
// Without feedback the share is rate/nodes, where nodes is the number of
// live nodes. With feedback (see Observe) a share whose node has more demand
// than it may serve grows towards the unused rest of the rate, and all shares
// shrink while the mesh serves more than the rate.
//
// Bounds, for a rate of R requests/s and n nodes: without feedback the mesh
// admits at most R*T + n*max(2, R/n*1s) requests in any T seconds, and at least
// min(demand, R*k/n) per second if callers use k nodes evenly; so a client
// that uses few nodes is held below its rate. With feedback the share of each
// node is between R/n and R. It at most doubles every 4 s, so a client that
// moves to one node reaches R after 4*log2(n) seconds, and a rise overshoots R
// by at most a factor of 2 for one period. The rate reported by one gate stands
// for all, so a client whose requests reach only a share z of the endpoints of
// the service (its own availability zone) is held at z*R at least.
type Limiter struct {
	nodes atomic.Int64
	m     sync.Map // LimitKey -> *limit
}

type limit struct {
	mu       sync.Mutex
	rate     float64 // of the whole mesh
	factor   float64 // share of the node, as a multiple of rate/nodes
	tokens   float64
	filled   time.Time // when tokens were last filled; zero at first
	observed time.Time // last feedback
	changed  time.Time // last correction
	denied   int       // since the last correction
}

// SetNodes sets the number of live nodes, this one included.
func (l *Limiter) SetNodes(n int) { l.nodes.Store(int64(max(n, 1))) }

// Allow reports whether a request may pass under a rate of requests per second
// of the whole mesh. A rate of 0 allows every request. If the request is denied,
// wait is the time until the next one can pass.
func (l *Limiter) Allow(k LimitKey, rate float64, now time.Time) (ok bool, wait time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	return l.of(k).allow(rate, float64(max(l.nodes.Load(), 1)), now)
}

func (l *Limiter) of(k LimitKey) *limit {
	if v, ok := l.m.Load(k); ok {
		return v.(*limit)
	}
	v, _ := l.m.LoadOrStore(k, &limit{factor: 1})
	return v.(*limit)
}

func (h *limit) allow(rate, nodes float64, now time.Time) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.observed.IsZero() && now.Sub(h.observed) > feedbackAge {
		h.factor, h.observed = 1, time.Time{}
	}
	h.rate = rate
	h.factor = min(h.factor, nodes)
	share := rate / nodes * h.factor
	burst := max(leastBurst, share*burstTime.Seconds())
	if h.filled.IsZero() {
		h.tokens = max(1, share*burstTime.Seconds())
	} else {
		h.tokens = min(burst, h.tokens+share*max(now.Sub(h.filled), 0).Seconds())
	}
	h.filled = now
	if h.tokens >= 1 {
		h.tokens--
		return true, 0
	}
	h.denied++
	return false, time.Duration(math.Ceil((1 - h.tokens) / share * float64(time.Second)))
}

// Observe corrects the share of k, given the rate of requests per second that
// the gates currently see from the whole mesh.
func (l *Limiter) Observe(k LimitKey, seen float64, now time.Time) {
	v, ok := l.m.Load(k)
	if !ok {
		return
	}
	h := v.(*limit)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = now
	if now.Sub(h.changed) < feedbackPeriod || h.rate <= 0 {
		return
	}
	f := h.rate / max(seen, h.rate/feedbackStep)
	if f > 1 && h.denied == 0 {
		f = 1 // no unmet demand here: leave the rest to other nodes
	}
	h.factor = max(h.factor*max(f, 1/feedbackStep), 1)
	h.changed, h.denied = now, 0
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
