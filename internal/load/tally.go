package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// outcome is how one request ended.
type outcome string

// The outcomes.
const (
	answered outcome = "answered" // complete response of the backend server
	refused  outcome = "refused"  // says that it did not run
	failed   outcome = "failed"   // complete error response of a backend server
	unknown  outcome = "unknown"  // may have run
	broken   outcome = "broken"   // wrong digest, wrong id or truncated
	unsent   outcome = "unsent"   // not sent, since too many were in flight
)

// result is one ended request.
type result struct {
	outcome outcome
	reason  string        // kind of a refusal, or what was wrong
	latency time.Duration // from the intended start
	sent    time.Duration // from the time at which it was sent
	retries int           // of the round-robin client
	second  int           // of the phase in which it was to start
}

const (
	maxLatency = time.Minute
	digits     = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), digits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds()) // in range
}

// tally counts the requests of one rank on one way.
type tally struct {
	rank   mesh.Rank
	via    Via
	target time.Duration
	worth  float64

	mu       sync.Mutex
	offered  int
	inTime   int
	late     int
	retries  int
	refused  map[string]int
	failed   map[string]int
	unknown  map[string]int
	broken   map[string]int
	unsent   int
	latency  *hdrhistogram.Histogram // us, of answered requests
	fromSent *hdrhistogram.Histogram // us, of answered requests, from sending
	seconds  []float64               // answered in time, by second of the phase
}

func newTally(rank mesh.Rank, via Via, target time.Duration, worth float64, length time.Duration) *tally {
	return &tally{
		rank: rank, via: via, target: target, worth: worth,
		refused: make(map[string]int), failed: make(map[string]int), unknown: make(map[string]int), broken: make(map[string]int),
		latency: newHistogram(), fromSent: newHistogram(),
		seconds: make([]float64, int(length/time.Second)+1),
	}
}

func (t *tally) add(r result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.offered++
	t.retries += r.retries
	switch r.outcome {
	case answered:
		record(t.latency, r.latency)
		record(t.fromSent, r.sent)
		if r.latency > t.target {
			t.late++
			return
		}
		t.inTime++
		if r.second >= 0 && r.second < len(t.seconds) {
			t.seconds[r.second]++
		}
	case refused:
		t.refused[r.reason]++
	case failed:
		t.failed[r.reason]++
	case unknown:
		t.unknown[r.reason]++
	case broken:
		t.broken[r.reason]++
	case unsent:
		t.unsent++
	}
}
