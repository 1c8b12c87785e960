package load

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	return b
}

// TestArrivals guards against streams that offer another rate than asked for.
func TestArrivals(t *testing.T) {
	const n = 20000
	for _, e := range []StreamSpec{{}, {Arrivals: "constant"}, {Arrivals: "burst", Burst: 10}} {
		a := newArrivals(e, 100, 1)
		var sum time.Duration
		zero := 0
		for range n {
			d := a.next()
			sum += d
			if d == 0 {
				zero++
			}
		}
		require.InDelta(t, n/100, sum.Seconds(), n/100*0.03, e.Arrivals)
		if e.Burst > 0 {
			require.Equal(t, n*9/10, zero)
		}
	}
}

// TestClassify guards against refusals, crossed and cut responses that count
// as answers.
func TestClassify(t *testing.T) {
	mode := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(mesh.RequestHeader)
		body := backend.Body(id, 100)
		w.Header().Set(mesh.RequestHeader, id)
		w.Header().Set(backend.DigestHeader, backend.FormatDigest(body))
		switch mode {
		case "refused":
			fault.Write(w, fault.New(fault.Overloaded, "full"), mesh.RequestID(id))
			return
		case "unknown":
			fault.Write(w, fault.New(fault.OutcomeUnknown, "cut"), mesh.RequestID(id))
			return
		case "shed":
			w.Header().Set(fault.RunHeader, string(fault.NotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "failed":
			w.WriteHeader(http.StatusBadGateway)
			return
		case "wrong id":
			w.Header().Set(mesh.RequestHeader, "other")
		case "wrong digest":
			body[0]++
		case "truncated":
			w.Header().Set("Content-Length", "200")
		}
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	s := newSender()
	defer s.close()
	for _, c := range []struct {
		mode    string
		outcome outcome
		reason  string
	}{
		{"", answered, ""},
		{"refused", refused, "overloaded"},
		{"shed", refused, "shed"},
		{"unknown", unknown, "outcome_unknown"},
		{"failed", failed, "502"},
		{"wrong id", broken, "wrong id"},
		{"wrong digest", broken, "wrong digest"},
		{"truncated", broken, "truncated"},
	} {
		mode = c.mode
		attempts := 0
		addrs := func() string { attempts++; return strings.TrimPrefix(srv.URL, "http://") }
		q := call{via: ViaRoundRobin, method: "POST", path: "/x", body: 3, id: "1", addrs: addrs}
		r := s.do(t.Context(), q)
		require.Equal(t, c.outcome, r.outcome, c.mode)
		require.Equal(t, c.reason, r.reason, c.mode)
		want := 1
		if c.outcome == refused {
			want = roundRobinAttempts
		}
		require.Equal(t, want, attempts, c.mode)
	}
}

// TestStream guards against latency that is counted from the sending of a
// request, and against answers that count although they belong to the warm-up.
func TestStream(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(mesh.RequestHeader)
		body := backend.Body(id, 10)
		w.Header().Set(mesh.RequestHeader, id)
		w.Header().Set(backend.DigestHeader, backend.FormatDigest(body))
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	snd := newSender()
	defer snd.close()
	tl := newTally("urgent", ViaDirect, time.Second, 1, time.Second)
	s := &stream{
		entry: StreamSpec{Via: ViaDirect, Method: "GET", Path: "/x", Arrivals: "constant", Timeout: time.Second, Accounts: 1},
		rate:  100, sender: snd, tally: tl, host: host, addrs: func() string { return strings.TrimPrefix(srv.URL, "http://") },
	}
	// The stream begins 200 ms late, as after a stall of the load tool.
	const behind = 200 * time.Millisecond
	s.run(t.Context(), time.Now().Add(-behind), behind/2, time.Second)
	require.InDelta(t, 100, tl.offered, 1)
	require.GreaterOrEqual(t, tl.latency.Max(), int64(90*1000))
	r := rankReport(tl, time.Second, 200)
	require.InDelta(t, 0.5, r.CapacityShare, 0.02)
	var buf bytes.Buffer
	rep := Report{Name: "test", Phases: []PhaseReport{{Name: "p", Ranks: []RankReport{r}, Edits: &EditReport{times: []float64{1, 2}}}}}
	require.NoError(t, rep.WriteHTML(&buf))
	require.Equal(t, 3, strings.Count(buf.String(), "<svg"))
}

// TestWatched guards against edits whose time is that of an older version.
func TestWatched(t *testing.T) {
	w := &watched{}
	now := time.Now()
	_, ok := w.since(1)
	require.False(t, ok)
	w.add(3, now)
	w.add(3, now.Add(time.Second))
	w.add(5, now.Add(2*time.Second))
	for v, want := range map[mesh.Version]time.Duration{2: 0, 3: 0, 4: 2 * time.Second, 5: 2 * time.Second} {
		at, ok := w.since(v)
		require.True(t, ok)
		require.Equal(t, want, at.Sub(now))
	}
	_, ok = w.since(6)
	require.False(t, ok)
}

// TestUsage guards against processes that started in a phase and count with
// what they used before, and against figures of /proc that are not found.
func TestUsage(t *testing.T) {
	now := time.Now()
	node := func(pid int, at time.Duration, cpu time.Duration, sent int64) nodeSample {
		return nodeSample{pid: pid, at: now.Add(at), cpu: cpu, rss: 1 << 20, sent: map[string]int64{"probe": sent}}
	}
	from := sample{nodes: map[int]nodeSample{0: node(1, 0, 0, 100), 1: node(2, 0, 0, 0)}}
	to := sample{nodes: map[int]nodeSample{0: node(1, 2*time.Second, 40*time.Millisecond, 300), 1: node(3, 2*time.Second, time.Hour, 1<<40)}}
	u := usage(from, to)
	require.Equal(t, 1, u.NodeCount)
	require.InDelta(t, 100, u.Sent.Mean, 1e-9)
	require.InDelta(t, 2, u.CPU.Mean, 1e-9)
	require.InDelta(t, 1, u.RSS.Max, 1e-9)
	_, err := cpuOf(os.Getpid())
	require.NoError(t, err)
	rss, err := rssOf(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, rss)
	all, _ := machine()
	require.Positive(t, all)
}

// TestWait guards against a stop that waits for the next request.
func TestWait(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { require.False(t, waitUntil(ctx, time.Now().Add(time.Hour), true)) })
	cancel()
	wg.Wait()
}
