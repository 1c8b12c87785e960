package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// requestKind is one kind of request that the demo sends.
type requestKind struct {
	rank     string
	method   string
	path     string
	interval time.Duration // between two requests
}

var requestKinds = []requestKind{
	{"urgent", http.MethodPost, "/reservations?size=200", 25 * time.Millisecond},
	{"interactive", http.MethodGet, "/availability?size=500", 10 * time.Millisecond},
	{"internal", http.MethodGet, "/certification?size=500", 20 * time.Millisecond},
	{"bulk", http.MethodGet, "/guides/seat.pdf?size=200000", 100 * time.Millisecond},
}

// tally counts the requests of one kind.
type tally struct {
	answered int
	refused  int
	broken   int // truncated, for another request, or with a wrong digest
	latency  *hdrhistogram.Histogram
}

const maxLatency = 10 * time.Second

func newTally() *tally {
	return &tally{latency: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

// traffic sends requests of every kind to the nodes in turn.
type traffic struct {
	client *http.Client
	nodes  []string // caller addresses

	mu       sync.Mutex
	tallies  map[string]*tally // by rank
	versions map[string]int    // responses by configuration version
}

func newTraffic(nodes []string) *traffic {
	return &traffic{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, nodes: nodes}
}

// run sends requests until ctx ends.
func (t *traffic) run(ctx context.Context, host string) {
	t.tallies, t.versions = map[string]*tally{}, map[string]int{}
	var wg sync.WaitGroup
	for _, k := range requestKinds {
		t.tallies[k.rank] = newTally()
		wg.Go(func() { t.sendPeriodically(ctx, k, host) })
	}
	wg.Wait()
}

func (t *traffic) sendPeriodically(ctx context.Context, k requestKind, host string) {
	tick := time.NewTicker(k.interval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.record(k, t.sendOne(context.WithoutCancel(ctx), k, t.nodes[i%len(t.nodes)], host))
		}
	}
}

// outcome is the result of one request.
type outcome struct {
	status      int
	refusalKind string // empty if the request was not refused
	version     string
	elapsed     time.Duration
	err         error
}

func (t *traffic) sendOne(ctx context.Context, k requestKind, node, host string) outcome {
	id := mesh.RequestID(uuid.NewString())
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+node+k.path, strings.NewReader(""))
	if err != nil {
		return outcome{err: err}
	}
	req.Host = host
	req.Header.Set(mesh.RequestHeader, string(id))
	start := time.Now()
	resp, err := t.client.Do(req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	o := outcome{
		status:      resp.StatusCode,
		refusalKind: resp.Header.Get(fault.KindHeader),
		version:     resp.Header.Get(mesh.VersionHeader),
		elapsed:     time.Since(start),
		err:         err,
	}
	if err == nil && o.status == http.StatusOK {
		o.err = backend.CheckResponse(resp.Header, body, id)
	}
	return o
}

func (t *traffic) record(k requestKind, o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tallies[k.rank]
	switch {
	case o.err != nil:
		c.broken++
	case o.status != http.StatusOK:
		c.refused++
	default:
		c.answered++
		t.versions[o.version]++
		_ = c.latency.RecordValue(min(o.elapsed, maxLatency).Microseconds())
	}
}

// table returns the tallies as text.
func (t *traffic) table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "   %-12s %9s %9s %9s %9s %9s\n", "rank", "answered", "refused", "broken", "p50", "p99")
	for _, k := range requestKinds {
		c := t.tallies[k.rank]
		fmt.Fprintf(&b, "   %-12s %9d %9d %9d %9s %9s\n", k.rank, c.answered, c.refused, c.broken,
			formatQuantile(c.latency, 50), formatQuantile(c.latency, 99))
	}
	return b.String()
}

func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond).String()
}

// failed returns the number of requests that were refused or broken.
func (t *traffic) failed() int {
	n := 0
	for _, c := range t.tallies {
		n += c.refused + c.broken
	}
	return n
}
