package caller

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestHeadersAfterWait guards against a gate that is told more time than a request has
// left, since its headers were written before it waited for a connection.
func TestHeadersAfterWait(t *testing.T) {
	const (
		deadline = 2 * time.Second
		hold     = 150 * time.Millisecond
	)
	left := make(chan time.Duration, 2)
	b := newTestCaller(t, newGate(t, "e1", func(_ http.ResponseWriter, r *http.Request) {
		ms, err := strconv.Atoi(r.Header.Get(mesh.DeadlineHeader))
		if err == nil {
			left <- time.Duration(ms) * time.Millisecond
		}
		time.Sleep(hold)
	}))
	b.queues.limit = func() int { return 1 }
	var senders sync.WaitGroup
	for range 2 {
		senders.Go(func() {
			a := b.do("GET", "/read", "", mesh.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
			require.Equal(t, http.StatusOK, a.code)
		})
	}
	senders.Wait()
	first, second := <-left, <-left
	require.InDelta(t, deadline.Seconds(), first.Seconds(), 0.1)
	require.Less(t, second, deadline-hold+10*time.Millisecond)
}

// TestEndNoticeWithoutConnection guards against an end notice that waits behind the requests
// which it is about.
func TestEndNoticeWithoutConnection(t *testing.T) {
	release, noticed := make(chan struct{}), make(chan string, 2)
	b := newTestCaller(t, newGate(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(mesh.WantHeader) == mesh.WantEnd {
			calls, err := io.ReadAll(r.Body)
			if err == nil {
				noticed <- string(calls)
			}
			return
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	b.queues.limit = func() int { return 1 }
	requireEndNotices(t, b, noticed, release)
}

// TestLostEndNotice guards against a gate that does not learn of the end of this node
// because the first notices are lost.
func TestLostEndNotice(t *testing.T) {
	const lost = 2
	release, noticed := make(chan struct{}), make(chan string, 2*lost)
	var notices atomic.Int64
	b := newTestCaller(t, newGate(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(mesh.WantHeader) != mesh.WantEnd {
			w.Header().Set("Content-Length", "2")
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush() // the notices come while the body is sent
			select {
			case <-release:
			case <-r.Context().Done():
			}
			_, _ = io.WriteString(w, "ok")
			return
		}
		if notices.Add(1) <= lost {
			panic(http.ErrAbortHandler)
		}
		calls, err := io.ReadAll(r.Body)
		if err == nil {
			noticed <- string(calls)
		}
	}))
	requireEndNotices(t, b, noticed, release)
	require.Empty(t, b.pending.byGate())
}

// requireEndNotices stops b while it has a request, which ends after release, and fails t
// unless the gate of the request reports two notices of the end to noticed.
func requireEndNotices(t *testing.T, b *testCaller, noticed <-chan string, release chan<- struct{}) {
	t.Helper()
	answered := make(chan answer, 1)
	go func() { answered <- b.do("GET", "/read", "") }()
	require.Eventually(t, func() bool { return len(b.pending.byGate()) == 1 }, time.Second, time.Millisecond)
	b.PrepareStop(time.Now().Add(5 * time.Second))
	b.LimitPending(t.Context())
	require.Len(t, noticed, 2)
	require.NotEmpty(t, <-noticed)
	close(release)
	require.Equal(t, http.StatusOK, (<-answered).code)
}

// TestRankOrderBeyond64 guards against urgent requests that wait behind more less urgent ones
// than a node had connections to a gate: only the gate knows which of them it runs next.
func TestRankOrderBeyond64(t *testing.T) {
	const others = 100
	var ended atomic.Int64
	g, _, _ := newRealGateWith(t, "e1", metric.New(), 2, func(http.ResponseWriter, *http.Request) {
		time.Sleep(20 * time.Millisecond)
		ended.Add(1)
	})
	b := newTestCaller(t, g)
	var senders sync.WaitGroup
	for range others {
		senders.Go(func() { b.do("GET", "/patient", "") })
	}
	require.Eventually(t, func() bool { return b.active.Load() == others-ended.Load() }, time.Second, time.Millisecond)
	before := ended.Load()
	require.Equal(t, http.StatusOK, b.do("GET", "/read", "").code)
	require.Less(t, ended.Load()-before, int64(others/4), "less urgent requests that ran first")
	senders.Wait()
	require.EqualValues(t, others+1, ended.Load())
}

// TestConnsOfEndedRequests guards against connections to a gate beyond the limit that stay for
// requests whose clients have left: 64 in flight had 360, of 400 descriptors of the node.
func TestConnsOfEndedRequests(t *testing.T) {
	const limit = 2
	b := newTestCaller(t, newGate(t, "e1", func(http.ResponseWriter, *http.Request) {}))
	b.queues.limit = func() int { return limit }
	var dials atomic.Int64
	proceed := make(chan struct{})
	b.pools.conf.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials.Add(1)
		<-proceed
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	for range 5 * limit {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/read", nil)
		require.NoError(t, err)
		r.Host = "h.example"
		_, err = http.DefaultClient.Do(r) //nolint:bodyclose // there is no response
		cancel()
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Eventually(t, func() bool { return b.active.Load() == 0 }, time.Second, time.Millisecond)
	}
	require.EqualValues(t, limit, dials.Load())
	close(proceed)
	require.Equal(t, http.StatusOK, b.do("GET", "/read", "").code)
}

// notifyingConn calls onClose once when it is closed.
type notifyingConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *notifyingConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// TestIdleConns guards against idle connections to many gates that together take the
// descriptors of the node: 8 gates had 240 of 304, with a limit of 200.
func TestIdleConns(t *testing.T) {
	const gates, burst, limit = 3, 10, 4
	var open, running atomic.Int64
	proceed := make(chan struct{})
	var all []*gate
	for i := range gates {
		all = append(all, newGate(t, fmt.Sprint("e", i), func(http.ResponseWriter, *http.Request) {
			running.Add(1)
			<-proceed
		}))
	}
	b := newTestCaller(t, all...)
	b.cfg.MaxIdleConns = func() int { return limit }
	b.pools.conf.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err == nil {
			open.Add(1)
		}
		return &notifyingConn{Conn: c, onClose: func() { open.Add(-1) }}, err
	}
	answers := make(chan answer, gates*burst)
	for range gates * burst {
		go func() { answers <- b.do("GET", "/patient", "") }()
	}
	require.Eventually(t, func() bool { return running.Load() == gates*burst }, time.Second, time.Millisecond)
	close(proceed)
	for range gates * burst {
		require.Equal(t, http.StatusOK, (<-answers).code)
	}
	require.Eventually(t, func() bool { return open.Load() <= limit }, time.Second, time.Millisecond)
}

// TestGateConnsReload guards against a number of connections that remains after a change of the
// settings.
func TestGateConnsReload(t *testing.T) {
	var running atomic.Int64
	proceed := make(chan struct{})
	b := newTestCaller(t, newGate(t, "e1", func(http.ResponseWriter, *http.Request) {
		running.Add(1)
		<-proceed
	}))
	var limit atomic.Int64
	limit.Store(1)
	b.queues.limit = func() int { return int(limit.Load()) }
	answers := make(chan answer, 4)
	send := func(want int64) {
		go func() { answers <- b.do("GET", "/patient", "") }()
		require.Eventually(t, func() bool { return running.Load() == want }, time.Second, time.Millisecond)
	}
	send(1)
	limit.Store(3)
	send(2)
	send(3)
	close(proceed)
	for range 3 {
		require.Equal(t, http.StatusOK, (<-answers).code)
	}
}

// waitScene has a gate whose only slot is taken by the request "running", at which "queued"
// waits for the slot, while "waiting" waits for one of two connections.
type waitScene struct {
	*testCaller
	gate    *backend.Gate
	release chan struct{} // ends one run

	mu   sync.Mutex
	runs map[string]int // guarded by mu

	cancel  context.CancelFunc // makes all clients leave
	answers map[string]chan answer
}

// newWaitScene returns a scene whose requests that do not run have the given deadline.
func newWaitScene(t *testing.T, deadline time.Duration) *waitScene {
	const runningDeadline = 3 * time.Second
	s := &waitScene{release: make(chan struct{}), runs: make(map[string]int), answers: make(map[string]chan answer)}
	g, _, admission := newRealGateWith(t, "e1", metric.New(), 1, func(_ http.ResponseWriter, r *http.Request) {
		name := strings.TrimPrefix(r.URL.Path, "/patient/")
		s.mu.Lock()
		s.runs[name]++
		s.mu.Unlock()
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	})
	s.gate, s.testCaller = admission, newTestCaller(t, g)
	s.queues.limit = func() int { return 2 }
	ctx, cancel := context.WithCancel(t.Context())
	s.cancel = cancel
	t.Cleanup(cancel)
	for _, x := range []struct {
		name     string
		deadline time.Duration
		arrived  func() bool
	}{
		{"running", runningDeadline, func() bool { return admission.Status().InFlight == 1 }},
		{"queued", deadline, func() bool { return admission.Status().Queued == 1 }},
		{"waiting", deadline, func() bool { return s.queues.waiting() == 1 }},
	} {
		result := make(chan answer, 1)
		s.answers[x.name] = result
		go func() { result <- s.send(ctx, x.name, x.deadline) }()
		require.Eventually(t, x.arrived, time.Second, time.Millisecond, x.name)
	}
	return s
}

// send sends a request that may run at most once.
func (s *waitScene) send(ctx context.Context, name string, deadline time.Duration) answer {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/patient/"+name, nil)
	if err != nil {
		return answer{err: err}
	}
	r.Host = "h.example"
	r.Header.Set(mesh.DeadlineHeader, fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return answer{code: resp.StatusCode, header: resp.Header, err: err}
}

// TestWaitStates guards against a request that is read and then neither answered nor refused
// truthfully, whatever happens while it waits for a connection, is queued at the gate or runs.
func TestWaitStates(t *testing.T) {
	const (
		ran    = "answered, ran once"
		notRun = "refused, not run"
		gone   = "no answer, not run"
		cut    = "no answer, ran"
	)
	for _, c := range []struct {
		event    string
		deadline time.Duration
		happen   func(t *testing.T, s *waitScene)
		want     map[string]string
	}{
		{"nothing", 3 * time.Second, func(*testing.T, *waitScene) {},
			map[string]string{"running": ran, "queued": ran, "waiting": ran}},
		{"this node stops", 3 * time.Second, func(t *testing.T, s *waitScene) {
			s.PrepareStop(time.Now().Add(time.Second))
			s.LimitPending(t.Context())
		}, map[string]string{"running": ran, "queued": notRun, "waiting": notRun}},
		{"the node of the gate stops", 3 * time.Second, func(_ *testing.T, s *waitScene) {
			s.gate.Yield(time.Now().Add(time.Second))
		}, map[string]string{"running": ran, "queued": notRun, "waiting": notRun}},
		{"the backend server leaves", 3 * time.Second, func(_ *testing.T, s *waitScene) { s.gate.Withdraw() },
			map[string]string{"running": ran, "queued": notRun, "waiting": notRun}},
		{"the deadline passes", 200 * time.Millisecond, func(*testing.T, *waitScene) { time.Sleep(300 * time.Millisecond) },
			map[string]string{"running": ran, "queued": notRun, "waiting": notRun}},
		{"the clients leave", 3 * time.Second, func(t *testing.T, s *waitScene) {
			s.cancel()
			require.Eventually(t, func() bool { return s.active.Load() == 0 }, time.Second, time.Millisecond)
		}, map[string]string{"running": cut, "queued": gone, "waiting": gone}},
	} {
		t.Run(c.event, func(t *testing.T) {
			s := newWaitScene(t, c.deadline)
			c.happen(t, s)
			close(s.release)
			got := make(map[string]string)
			for name, result := range s.answers {
				a := <-result
				s.mu.Lock()
				runs := s.runs[name]
				s.mu.Unlock()
				switch {
				case a.err == nil && a.code == http.StatusOK && runs == 1:
					got[name] = ran
				case a.err == nil && a.run() == fault.NotRun && runs == 0:
					got[name] = notRun
				case a.err != nil && runs == 0:
					got[name] = gone
				case a.err != nil && runs == 1:
					got[name] = cut
				default:
					got[name] = fmt.Sprintf("status %d, %q, %d runs, error %v", a.code, a.run(), runs, a.err)
				}
			}
			require.Equal(t, c.want, got)
			s.requireIdle()
			require.Zero(t, s.queues.waiting())
		})
	}
}
