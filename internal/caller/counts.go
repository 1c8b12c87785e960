package caller

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// The latency histograms record microseconds up to 100 s with two significant
// digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = int64(100 * time.Second / time.Microsecond)
	latencyDigits    = 2
	latencyUnit      = time.Microsecond
	percentileP50    = 50
	percentileP99    = 99
	percentileP999   = 99.9
)

// counts holds the counters of a Caller.
type counts struct {
	refused   *expvar.Map // by kind
	retries   *expvar.Map // by reason, of retries and denials
	resumes   *expvar.Map // by outcome
	hedges    *expvar.Int
	hedgeWins *expvar.Int
	aborted   *expvar.Int
	nested    *expvar.Map // nested calls of the backend server next to this node

	requests *expvar.Map // by rank
	inTime   *expvar.Map // by rank
	ranks    sync.Map    // mesh.Rank -> *rankCounts

	refusedFull   *expvar.Map // because all endpoints are full, by service
	refusedUnsent *expvar.Map // because too many requests are in flight to the gate, by service
}

func newCounts(r *metric.Registry) *counts {
	k := &counts{
		refused:   r.CounterGroup("caller_refused"),
		retries:   r.CounterGroup("caller_retry"),
		resumes:   r.CounterGroup("caller_resume"),
		hedges:    r.Counter("caller_hedges"),
		hedgeWins: r.Counter("caller_hedge_wins"),
		aborted:   r.Counter("caller_aborted"),
		nested:    r.CounterGroup("caller_nested"),
		requests:  r.CounterGroup("caller_requests"),
		inTime:    r.CounterGroup("caller_in_time"),
	}
	k.refusedFull = r.CounterGroup("caller_refused_full")
	k.refusedUnsent = r.CounterGroup("caller_refused_unsent")
	r.Gauge("caller_latency", func() any { return k.latencies() })
	return k
}

// rankCounts counts the requests of one rank.
type rankCounts struct {
	requests expvar.Int
	inTime   expvar.Int
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram // of answered requests, in microseconds
}

func (k *counts) rank(r mesh.Rank) *rankCounts {
	if v, ok := k.ranks.Load(r); ok {
		return v.(*rankCounts)
	}
	n := &rankCounts{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)}
	v, loaded := k.ranks.LoadOrStore(r, n)
	if !loaded {
		k.requests.Set(string(r), &n.requests)
		k.inTime.Set(string(r), &n.inTime)
	}
	return v.(*rankCounts)
}

// record counts the end of q. Answered means that the caller received a
// complete response from a backend server, other than a server error.
func (n *rankCounts) record(q *call, answered bool) {
	n.requests.Add(1)
	if !answered {
		return
	}
	d := time.Since(q.arrived)
	if d <= q.route.Policy.Target {
		n.inTime.Add(1)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.latency.RecordValue(min(max(int64(d/latencyUnit), minLatencyMicros), maxLatencyMicros))
}

// Latency summarizes the latencies of one rank.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
}

func (k *counts) latencies() map[string]Latency {
	m := make(map[string]Latency)
	k.ranks.Range(func(r, v any) bool {
		n := v.(*rankCounts)
		n.mu.Lock()
		defer n.mu.Unlock()
		m[string(r.(mesh.Rank))] = Latency{
			Count: n.latency.TotalCount(),
			P50:   n.latency.ValueAtQuantile(percentileP50),
			P99:   n.latency.ValueAtQuantile(percentileP99),
			P999:  n.latency.ValueAtQuantile(percentileP999),
		}
		return true
	})
	return m
}
