package caller

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestRequestOutlastsStop guards against a stopping node that passes on a request
// which cannot end before the node does.
func TestRequestOutlastsStop(t *testing.T) {
	reg := metric.New()
	var runs atomic.Int64
	g, _ := newRealGate(t, "e1", reg, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/book" {
			time.Sleep(2 * time.Second)
		}
	})
	b := newTestCaller(t, g)
	b.PrepareStop(time.Now().Add(time.Second))
	a := b.do(http.MethodPost, "/book", "", mesh.DeadlineHeader, "5000")
	require.NoError(t, a.err)
	require.Equal(t, fault.Draining, a.kind())
	require.Equal(t, fault.NotRun, a.run())
	require.Zero(t, runs.Load())
	a = b.do(http.MethodGet, "/read", "", mesh.DeadlineHeader, "500")
	require.Equal(t, http.StatusOK, a.code, "a request that ends in time is still served")
	require.Equal(t, "{}", reg.CounterGroup("invariant_broken").String())
}

// TestRefusalOfOneRequest guards against an endpoint that gets no work at all because
// its gate, whose node stops, refused one request as too long.
func TestRefusalOfOneRequest(t *testing.T) {
	g := newGate(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/book" {
			e := fault.New(fault.Draining, "too long")
			e.ThisOnly = true
			fault.Write(w, e, "")
		}
	})
	b := newTestCaller(t, g)
	require.Equal(t, fault.Draining, b.do(http.MethodPost, "/book", "").kind())
	require.Equal(t, http.StatusOK, b.do(http.MethodGet, "/read", "").code)
}

// TestReturnToStoppingNode guards against a caller that is told to come back while its
// node, which refused the request as too long, still stops.
func TestReturnToStoppingNode(t *testing.T) {
	g, _ := newRealGate(t, "e1", metric.New(), func(http.ResponseWriter, *http.Request) {})
	b := newTestCaller(t, g)
	b.cfg.SwitchTime = time.Second
	delay := make(chan time.Duration, 1)
	b.cfg.Refuse = func(w http.ResponseWriter, e *fault.Error, id mesh.RequestID) {
		delay <- e.RetryAfter
		fault.Write(w, e, id)
	}
	b.PrepareStop(time.Now().Add(2 * time.Second))
	require.Equal(t, fault.Draining, b.do(http.MethodPost, "/book", "", mesh.DeadlineHeader, "5000").kind())
	d := <-delay
	require.Greater(t, d, 900*time.Millisecond)
	require.LessOrEqual(t, d, 5*time.Second/3)
}

// TestQueuedWhenNodeStops guards against a request that still waits at a gate when the
// node that passed it on stops, and is then admitted too late to end before it.
func TestQueuedWhenNodeStops(t *testing.T) {
	release := make(chan struct{})
	var runs atomic.Int64
	g, _ := newRealGate(t, "e1", metric.New(), func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if r.URL.Path == "/read" {
			<-release
		}
	})
	other, b := newTestCaller(t, g), newTestCaller(t, g)
	const slots = 20
	var filling sync.WaitGroup
	for range slots {
		filling.Go(func() { other.do(http.MethodGet, "/read", "") })
	}
	defer filling.Wait()
	defer close(release)
	require.Eventually(t, func() bool { return runs.Load() == slots }, 5*time.Second, time.Millisecond)
	answered := make(chan answer, 1)
	go func() { answered <- b.do(http.MethodPost, "/book", "", mesh.DeadlineHeader, "4000") }()
	require.Eventually(t, func() bool { return len(b.pending.byGate()) == 1 }, 5*time.Second, time.Millisecond)
	b.PrepareStop(time.Now().Add(time.Second))
	b.LimitPending(t.Context())
	select {
	case a := <-answered:
		require.Equal(t, fault.Draining, a.kind())
		require.Equal(t, fault.NotRun, a.run())
	case <-time.After(time.Second):
		t.Error("the queued request is not refused at once")
	}
	require.Empty(t, b.pending.byGate())
	require.EqualValues(t, slots, runs.Load())
}
