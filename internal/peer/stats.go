package peer

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/internal/metric"
)

// httpKind is the kind under which the bytes of HTTP connections between
// nodes are counted, headers included.
const httpKind = "http"

// stats holds the counters of a Peer.
type stats struct {
	metrics       *metric.Registry
	bytesSent     *expvar.Map // by kind of datagram, and http
	bytesReceived *expvar.Map
	sent          *expvar.Map // messages by kind of datagram and by procedure
	received      *expvar.Map
	refused       *expvar.Map // datagrams and requests by reason
	pushes        *expvar.Map // pushes by result
	fetches       *expvar.Map // fetches by reason
	rejected      *expvar.Map // versions not applied, by reason
	platform      *expvar.Map // platform reads by result
	convergence   *convergence
}

func newStats(r *metric.Registry) *stats {
	s := &stats{
		metrics:       r,
		bytesSent:     r.CounterGroup("control_bytes_sent"),
		bytesReceived: r.CounterGroup("control_bytes_received"),
		sent:          r.CounterGroup("control_messages_sent"),
		received:      r.CounterGroup("control_messages_received"),
		refused:       r.CounterGroup("peer_refused"),
		pushes:        r.CounterGroup("config_pushes"),
		fetches:       r.CounterGroup("config_fetches"),
		rejected:      r.CounterGroup("config_refused"),
		platform:      r.CounterGroup("config_platform_reads"),
		convergence:   newConvergence(),
	}
	r.Gauge("config_convergence_ms", func() any { return s.convergence.summary() })
	return s
}

// counter returns the counter of m with the given key.
func counter(m *expvar.Map, key string) *expvar.Int {
	m.Add(key, 0)
	return m.Get(key).(*expvar.Int)
}

// convergence is a histogram of the times from commit to apply.
type convergence struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram // ms
}

func newConvergence() *convergence {
	const (
		maxMillis         = int64(10 * time.Minute / time.Millisecond)
		significantDigits = 2
	)
	return &convergence{h: hdrhistogram.New(1, maxMillis, significantDigits)}
}

// observe records one time from commit to apply. Negative times, which clock
// skew causes, count as zero.
func (c *convergence) observe(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ms := min(max(d.Milliseconds(), 0), c.h.HighestTrackableValue())
	_ = c.h.RecordValue(ms) // ms is in the trackable range
}

// summary returns the count and quantiles in milliseconds.
func (c *convergence) summary() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]int64{
		"count": c.h.TotalCount(),
		"p50":   c.h.ValueAtQuantile(50),
		"p99":   c.h.ValueAtQuantile(99),
		"max":   c.h.Max(),
	}
}
