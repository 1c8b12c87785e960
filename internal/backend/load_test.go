package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestDrainUnderLoad guards against a drain that interrupts requests in flight, and
// against requests that reach the backend server after it.
func TestDrainUnderLoad(t *testing.T) {
	var running, drained, afterDrain atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		afterDrain.Add(drained.Load())
		running.Add(1)
		defer running.Add(-1)
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "done")
	}))
	defer s.Close()
	// On a busy machine, work takes longer and waits may exceed the target. With a
	// target that no wait exceeds, all refusals come from the drain.
	snapshot := *testSnapshot
	snapshot.Ranks = slices.Clone(snapshot.Ranks)
	for i := range snapshot.Ranks {
		snapshot.Ranks[i].Target = time.Minute
	}
	r := newTestGate(t, s.Listener.Addr().String(), func(c *Config) {
		c.Snapshot = func() *config.Snapshot { return &snapshot }
	})
	var wg sync.WaitGroup
	var done, refused, failed atomic.Int64
	for i := range 40 {
		req := r.request(t, http.MethodPost, "", 5*time.Second)
		wg.Go(func() {
			for n := 0; ; n++ {
				q := req.Clone(t.Context())
				q.Header.Set(mesh.RequestHeader, fmt.Sprintf("d%d-%d", i, n))
				q.Body = io.NopCloser(strings.NewReader("seat"))
				resp, err := http.DefaultClient.Do(q)
				if err != nil {
					failed.Add(1)
					return
				}
				b, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				switch {
				case err != nil:
					failed.Add(1)
				case resp.StatusCode == http.StatusOK && string(b) == "done":
					done.Add(1)
					continue
				case resp.Header.Get(fault.KindHeader) == string(fault.Draining) && resp.Header.Get(fault.RunHeader) == string(fault.NotRun):
					refused.Add(1)
				default:
					failed.Add(1)
				}
				return
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, r.Drain(canceled), context.Canceled, "drained with requests in flight")
	send(t, r.request(t, http.MethodPost, "", time.Second)).requireRefusal(t, fault.Draining, fault.NotRun)
	require.NoError(t, r.Drain(t.Context()))
	drained.Store(1)
	require.Zero(t, r.Status().InFlight)
	wg.Wait()
	require.Zero(t, failed.Load())
	require.Zero(t, afterDrain.Load(), "work reached the backend server after the drain")
	require.EqualValues(t, 40, refused.Load())
	require.Positive(t, done.Load())
	r.requireInvariants(t)
}

// TestQueueDeadline guards against a request that stays in the queue after its
// deadline or after its caller disconnects.
func TestQueueDeadline(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	snapshot := &config.Snapshot{Ranks: []config.RankPolicy{{Name: "urgent", Target: time.Minute}}}
	r := newTestGate(t, "", func(c *Config) { c.Snapshot = func() *config.Snapshot { return snapshot } })
	body := strings.Replace(announcement(s.Listener.Addr().String()), `"slots":20`, `"slots":1`, 1)
	require.Equal(t, http.StatusOK, r.announce(t, body).Code)
	first := r.request(t, http.MethodPost, "", 5*time.Second)
	done := make(chan reply, 1)
	go func() { done <- send(t, first) }()
	require.Eventually(t, func() bool { return r.Status().InFlight == 1 }, time.Second, time.Millisecond)
	send(t, r.request(t, http.MethodPost, "", 100*time.Millisecond)).requireRefusal(t, fault.DeadlineExceeded, fault.NotRun)
	ctx, cancel := context.WithCancel(t.Context())
	canceled := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(r.request(t, http.MethodPost, "", 5*time.Second).WithContext(ctx))
		if err == nil {
			resp.Body.Close()
		}
		canceled <- err
	}()
	require.Eventually(t, func() bool { return r.Status().Queued == 1 }, time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-canceled)
	require.Eventually(t, func() bool { return r.Status().Queued == 0 }, time.Second, time.Millisecond)
	close(release)
	require.Equal(t, http.StatusOK, (<-done).status)
	r.requireInvariants(t)
}

// BenchmarkGate compares a request through the gate with a direct request, sent by
// one caller without other load.
func BenchmarkGate(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer s.Close()
	r := newTestGate(b, s.Listener.Addr().String(), nil)
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	for _, c := range []struct{ name, url string }{{"direct", s.URL}, {"gate", r.url}} {
		b.Run(c.name, func(b *testing.B) {
			h := hdrhistogram.New(1, 1e9, 3)
			req := r.request(b, http.MethodGet, "", time.Second)
			req.URL.Host = strings.TrimPrefix(c.url, "http://")
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				req.Header.Set(mesh.RequestHeader, fmt.Sprint(c.name, n))
				start := time.Now()
				resp, err := client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				_ = h.RecordValue(time.Since(start).Nanoseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}
