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
	maxRecordedMicros = int64(5 * time.Minute / time.Microsecond)
	significantDigits = 2 // precision of recorded times
	maxTrackedRanks   = 32
)

// metrics holds the counters and histograms of a gate.
type metrics struct {
	registry           *metric.Registry
	admitted           *expvar.Map // by rank
	refused            *expvar.Map // by kind
	refusedByAdmission *expvar.Map // refusals of admission, by cause
	held               *expvar.Int // slots kept after a request without a response
	nested             *expvar.Map // nested calls offered and refused
	early              *expvar.Map // requests refused before they ran, by reason
	unknownRank        *expvar.Int // requests of a rank that the configuration lacks
	answers            *expvar.Map // responses of the backend server, by the request that they name
	endpoint           *expvar.Map // state changes, by new state
	leaseExpiries      *expvar.Int
	aborted            *expvar.Int // responses that were not sent completely
	claims             *expvar.Map // by result
	queueWait          *rankHistograms
	serviceTime        *rankHistograms
}

func newMetrics(r *metric.Registry, g *Gate) *metrics {
	m := &metrics{
		registry:           r,
		admitted:           r.CounterGroup("gate_admitted"),
		refused:            r.CounterGroup("gate_refused"),
		refusedByAdmission: r.CounterGroup("gate_refused_by_admission"),
		held:               r.Counter("gate_held_slots"),
		nested:             r.CounterGroup("gate_nested"),
		early:              r.CounterGroup("gate_refused_early"),
		unknownRank:        r.Counter("gate_unknown_rank"),
		answers:            r.CounterGroup("gate_answers"),
		endpoint:           r.CounterGroup("gate_endpoint"),
		leaseExpiries:      r.Counter("gate_lease_expired"),
		aborted:            r.Counter("gate_aborted"),
		claims:             r.CounterGroup("gate_claims"),
		queueWait:          newRankHistograms(),
		serviceTime:        newRankHistograms(),
	}
	r.Gauge("gate_queue_wait", func() any { return m.queueWait.summary() })
	r.Gauge("gate_service_time", func() any { return m.serviceTime.summary() })
	r.Gauge("gate_in_flight", func() any { return g.Status().InFlight })
	r.Gauge("gate_queued", func() any { return g.Status().Queued })
	r.Gauge("gate_limit", func() any { return g.Status().Limit })
	return m
}

// recordRefusal counts a refusal by kind, and a refusal of admission also by
// cause.
func (m *metrics) recordRefusal(e *fault.Error) {
	m.refused.Add(string(e.Kind), 1)
	if c := admit.RefusalLabel(e); c != "" {
		m.refusedByAdmission.Add(c, 1)
	}
}

// recordAnswer counts the response to c by the request that it names. Responses that
// state that the request did not run are counted apart.
func (m *metrics) recordAnswer(c *call, notRun bool) {
	key := "own_id"
	switch c.answeredID {
	case string(c.id):
	case "":
		key = "no_id"
	default:
		key = "other_id"
	}
	if notRun {
		key = "not_run_" + key
	}
	m.answers.Add(key, 1)
}

// rankHistograms holds a histogram of durations for each rank.
type rankHistograms struct {
	mu     sync.Mutex
	byRank map[mesh.Rank]*hdrhistogram.Histogram
}

func newRankHistograms() *rankHistograms {
	return &rankHistograms{byRank: make(map[mesh.Rank]*hdrhistogram.Histogram)}
}

// record adds d to the histogram of rank r. Ranks beyond maxTrackedRanks share
// one histogram, which limits the memory.
func (t *rankHistograms) record(r mesh.Rank, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byRank[r]
	if h == nil {
		if len(t.byRank) >= maxTrackedRanks {
			r = "other"
		}
		if h = t.byRank[r]; h == nil {
			h = hdrhistogram.New(1, maxRecordedMicros, significantDigits)
			t.byRank[r] = h
		}
	}
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicros))
}

// summary returns the count and the percentiles in microseconds by rank.
func (t *rankHistograms) summary() map[mesh.Rank]map[string]int64 {
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
