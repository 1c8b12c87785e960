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

// TestArrivals guards against streams whose rate differs from the configured one.
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

// TestClassify guards against refusals, and responses that are truncated or belong
// to another request, being counted as answered.
func TestClassify(t *testing.T) {
	mode := ""
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(mesh.RequestHeader)
		body := backend.ResponseBody(id, 100)
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
		nextAddr := func() string { attempts++; return strings.TrimPrefix(srv.URL, "http://") }
		req := request{via: ViaRoundRobin, method: "POST", path: "/x", bodyBytes: 3, id: "1", nextAddr: nextAddr}
		r := s.send(t.Context(), req)
		require.Equal(t, c.outcome, r.outcome, c.mode)
		require.Equal(t, c.reason, r.reason, c.mode)
		want := 1
		if c.outcome == refused {
			want = maxRoundRobinAttempts
		}
		require.Equal(t, want, attempts, c.mode)
	}
}

// TestStream guards against latency that is measured from the actual sending of a
// request, and against requests of the warm-up that are counted.
func TestStream(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(mesh.RequestHeader)
		body := backend.ResponseBody(id, 10)
		w.Header().Set(mesh.RequestHeader, id)
		w.Header().Set(backend.DigestHeader, backend.FormatDigest(body))
		_, _ = w.Write(body)
	}))
	defer srv.Close()
	snd := newSender()
	defer snd.close()
	counts := newTally("urgent", ViaDirect, time.Second, 1, time.Second)
	s := &stream{
		spec: StreamSpec{Via: ViaDirect, Method: "GET", Path: "/x", Arrivals: "constant", Timeout: time.Second, Accounts: 1},
		rate: 100, sender: snd, tally: counts, host: accountHost, nextAddr: func() string { return strings.TrimPrefix(srv.URL, "http://") },
	}
	// The stream starts 200 ms late, as if the load tool had stalled.
	const behind = 200 * time.Millisecond
	s.run(t.Context(), time.Now().Add(-behind), behind/2, time.Second)
	require.InDelta(t, 100, counts.offered, 1)
	require.GreaterOrEqual(t, counts.latency.Max(), int64(90*1000))
	r := newRankReport(counts, time.Second, 200)
	require.InDelta(t, 0.5, r.CapacityShare, 0.02)
	var buf bytes.Buffer
	rep := Report{Name: "test", Phases: []PhaseReport{{Name: "p", Ranks: []RankReport{r}, Edits: &EditReport{activeMillis: []float64{1, 2}}}}}
	require.NoError(t, rep.WriteHTML(&buf))
	require.Equal(t, 3, strings.Count(buf.String(), "<svg"))
}

// TestWatched guards against edits that get the activation time of an older
// version.
func TestWatched(t *testing.T) {
	h := &versionHistory{}
	now := time.Now()
	_, ok := h.activeSince(1)
	require.False(t, ok)
	h.record(3, now)
	h.record(3, now.Add(time.Second))
	h.record(5, now.Add(2*time.Second))
	for v, want := range map[mesh.Version]time.Duration{2: 0, 3: 0, 4: 2 * time.Second, 5: 2 * time.Second} {
		at, ok := h.activeSince(v)
		require.True(t, ok)
		require.Equal(t, want, at.Sub(now))
	}
	_, ok = h.activeSince(6)
	require.False(t, ok)
}

// TestUsage guards against counting the usage of processes that started during a
// phase, and against values of /proc that cannot be read.
func TestUsage(t *testing.T) {
	now := time.Now()
	node := func(pid int, at time.Duration, cpu time.Duration, sent int64) nodeSample {
		return nodeSample{pid: pid, at: now.Add(at), cpu: cpu, rss: 1 << 20, sent: map[string]int64{"probe": sent}}
	}
	from := sample{nodes: map[int]nodeSample{0: node(1, 0, 0, 100), 1: node(2, 0, 0, 0)}}
	to := sample{nodes: map[int]nodeSample{0: node(1, 2*time.Second, 40*time.Millisecond, 300), 1: node(3, 2*time.Second, time.Hour, 1<<40)}}
	u := newUsage(from, to)
	require.Equal(t, 1, u.NodeCount)
	require.InDelta(t, 100, u.Sent.Mean, 1e-9)
	require.InDelta(t, 2, u.CPU.Mean, 1e-9)
	require.InDelta(t, 1, u.RSS.Max, 1e-9)
	_, err := readCPUTime(os.Getpid())
	require.NoError(t, err)
	rss, err := readRSS(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, rss)
	all, _ := readMachineCPU()
	require.Positive(t, all)
}

// TestWait guards against a cancellation that waits for the next request.
func TestWait(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { require.False(t, waitUntil(ctx, time.Now().Add(time.Hour), true)) })
	cancel()
	wg.Wait()
}
