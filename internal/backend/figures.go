package backend

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	longestTime  = int64(5 * time.Minute / time.Microsecond)
	timeFigures  = 2 // significant figures of recorded times
	maxRankNames = 32
)

// figures are the counters of a gate.
type figures struct {
	registry  *metric.Registry
	admitted  *expvar.Map // by rank
	refused   *expvar.Map // by kind
	admission *expvar.Map // refusals by admission, by cause
	unknown   *expvar.Int // requests of a rank that the configuration lacks
	endpoint  *expvar.Map // changes by state
	leases    *expvar.Int // lease expiries
	aborted   *expvar.Int // answers cut short
	claims    *expvar.Map // by result
	wait      *times
	service   *times
}

func newFigures(r *metric.Registry, g *Gate) *figures {
	f := &figures{
		registry:  r,
		admitted:  r.ByReason("gate_admitted"),
		refused:   r.ByReason("gate_refused"),
		admission: r.ByReason("gate_refused_by_admission"),
		unknown:   r.Counter("gate_unknown_rank"),
		endpoint:  r.ByReason("gate_endpoint"),
		leases:    r.Counter("gate_lease_expired"),
		aborted:   r.Counter("gate_aborted"),
		claims:    r.ByReason("gate_claims"),
		wait:      newTimes(),
		service:   newTimes(),
	}
	r.Gauge("gate_queue_wait", func() any { return f.wait.summary() })
	r.Gauge("gate_service_time", func() any { return f.service.summary() })
	r.Gauge("gate_in_flight", func() any { return g.Status().InFlight })
	r.Gauge("gate_queued", func() any { return g.Status().Queued })
	r.Gauge("gate_limit", func() any { return g.Status().Limit })
	return f
}

// refuse counts a refusal by kind, and one by admission also by its cause.
func (f *figures) refuse(e *fault.Error) {
	f.refused.Add(string(e.Kind), 1)
	if c := admit.RefusalLabel(e); c != "" {
		f.admission.Add(c, 1)
	}
}

// times records durations by rank.
type times struct {
	mu     sync.Mutex
	byRank map[mesh.Rank]*hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{byRank: make(map[mesh.Rank]*hdrhistogram.Histogram)}
}

// record adds d to the figures of rank r. Ranks beyond maxRankNames share one
// figure, which bounds the memory.
func (t *times) record(r mesh.Rank, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byRank[r]
	if h == nil {
		if len(t.byRank) >= maxRankNames {
			r = "other"
		}
		if h = t.byRank[r]; h == nil {
			h = hdrhistogram.New(1, longestTime, timeFigures)
			t.byRank[r] = h
		}
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestTime))
}

// summary returns percentiles in microseconds by rank.
func (t *times) summary() map[mesh.Rank]map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := make(map[mesh.Rank]map[string]int64, len(t.byRank))
	for r, h := range t.byRank {
		s[r] = map[string]int64{
			"count": h.TotalCount(),
			"p50":   h.ValueAtQuantile(50),
			"p99":   h.ValueAtQuantile(99),
			"p999":  h.ValueAtQuantile(99.9),
		}
	}
	return s
}
