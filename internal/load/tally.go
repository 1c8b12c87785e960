package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// outcome classifies how a request ended.
type outcome string

const (
	answered outcome = "answered" // complete, valid response of a backend server
	refused  outcome = "refused"  // reported as not run
	failed   outcome = "failed"   // complete error response of a backend server
	unknown  outcome = "unknown"  // may have run
	broken   outcome = "broken"   // response with a wrong digest or ID, or truncated
	unsent   outcome = "unsent"   // not sent: too many in flight, or no address
)

// result describes how one request ended.
type result struct {
	outcome  outcome
	reason   string        // kind of the refusal, status code or cause of the failure
	latency  time.Duration // since the intended start
	fromSent time.Duration // since the actual sending
	retries  int           // by the round-robin client
	second   int           // second of the phase that contains the intended start
}

const (
	maxLatency        = time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds()) // does not fail: the value is in range
}

// tally counts the requests of one rank that are sent with the same Via.
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
	latency  *hdrhistogram.Histogram // us from the intended start, of answered requests
	fromSent *hdrhistogram.Histogram // us from the actual sending, of answered requests
	seconds  []float64               // answered in time, for each second of the phase
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
		recordDuration(t.latency, r.latency)
		recordDuration(t.fromSent, r.fromSent)
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
