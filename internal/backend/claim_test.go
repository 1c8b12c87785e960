package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// table is a fake of the claim rows of the platform. Its calls can fail before or
// after they take effect.
type table struct {
	mu        sync.Mutex
	owners    map[string]string
	errBefore error // returned without the write
	errAfter  error // returned after the write
}

func (tb *table) claim(_ context.Context, key, owner string, _ time.Duration) (ClaimResult, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.errBefore != nil {
		return ClaimResult{}, tb.errBefore
	}
	if tb.owners[key] == "" {
		tb.owners[key] = owner
	}
	return ClaimResult{Acquired: tb.owners[key] == owner, Owner: tb.owners[key]}, tb.errAfter
}

func (tb *table) release(_ context.Context, key, owner string) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.errBefore == nil && tb.owners[key] == owner {
		delete(tb.owners, key)
	}
	return tb.errBefore
}

func (tb *table) setErrors(errBefore, errAfter error) {
	tb.mu.Lock()
	tb.errBefore, tb.errAfter = errBefore, errAfter
	tb.mu.Unlock()
}

// claimFixture holds two gates that share a table and a backend server.
type claimFixture struct {
	gates   [2]*testGate
	table   *table
	runs    atomic.Int64
	handler atomic.Pointer[http.HandlerFunc]
}

func newClaimFixture(t testing.TB, configure func(*Config)) *claimFixture {
	t.Helper()
	f := &claimFixture{table: &table{owners: make(map[string]string)}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := f.runs.Add(1)
		if h := f.handler.Load(); h != nil {
			(*h)(w, r)
			return
		}
		w.Header().Set("X-Run", fmt.Sprint(n))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	}))
	t.Cleanup(s.Close)
	for i := range f.gates {
		f.gates[i] = newTestGate(t, s.Listener.Addr().String(), func(c *Config) {
			c.Claim, c.ReleaseClaim = f.table.claim, f.table.release
			if configure != nil {
				configure(c)
			}
		})
	}
	return f
}

func (f *claimFixture) send(t testing.TB, gate int, key string) reply {
	t.Helper()
	req := f.gates[gate].request(t, http.MethodPost, "seat", 5*time.Second)
	req.Header.Set(mesh.RouteHeader, "pay")
	req.Header.Set(IdempotencyKeyHeader, key)
	return send(t, req)
}

// TestClaimRepeat guards against a repeat of a key that runs the request again, at
// the same gate or at another.
func TestClaimRepeat(t *testing.T) {
	f := newClaimFixture(t, nil)
	first, again := f.send(t, 0, "k"), f.send(t, 0, "k")
	require.Equal(t, http.StatusCreated, first.status)
	require.Equal(t, http.StatusCreated, again.status)
	require.Equal(t, "booked", again.body)
	require.Equal(t, "1", again.header.Get("X-Run"))
	require.NotEqual(t, first.header.Get(mesh.RequestHeader), again.header.Get(mesh.RequestHeader))
	f.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 1, f.runs.Load())
	require.Equal(t, http.StatusCreated, f.send(t, 1, "other").status)
	f.gates[0].withdraw()
	require.Equal(t, "booked", f.send(t, 0, "k").body, "a repeat was refused as not run")
	f.send(t, 0, "new").requireRefusal(t, fault.NoEndpoint, fault.NotRun)
}

// TestClaimConcurrent guards against concurrent requests with the same key that
// run more than once.
func TestClaimConcurrent(t *testing.T) {
	f := newClaimFixture(t, nil)
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "booked")
	})
	f.handler.Store(&slow)
	var wg sync.WaitGroup
	var ok atomic.Int64
	reqs := make([]*http.Request, 16)
	for i := range reqs {
		reqs[i] = f.gates[i%2].request(t, http.MethodPost, "", 5*time.Second)
		reqs[i].Header.Set(mesh.RouteHeader, "pay")
		reqs[i].Header.Set(IdempotencyKeyHeader, "k")
		wg.Go(func() {
			resp, err := http.DefaultClient.Do(reqs[i])
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ok.Add(1)
				}
			}
		})
	}
	wg.Wait()
	require.EqualValues(t, 1, f.runs.Load())
	require.EqualValues(t, 8, ok.Load(), "the gate that ran the request answers its repeats")
}

// TestClaimOutage guards against a request that runs without a claim while the
// platform fails, and against a key that stays blocked at the gate that wrote its
// claim but lost the response of the platform.
func TestClaimOutage(t *testing.T) {
	timeout := errors.New("table: time-out")
	f := newClaimFixture(t, nil)
	f.table.setErrors(timeout, nil)
	f.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
	f.table.setErrors(nil, timeout)
	f.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
	require.Zero(t, f.runs.Load())
	f.table.setErrors(nil, nil)
	f.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.Equal(t, http.StatusCreated, f.send(t, 0, "k").status)
	require.EqualValues(t, 1, f.runs.Load())

	noPlatform := newClaimFixture(t, func(c *Config) { c.Claim = nil })
	noPlatform.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
}

// TestClaimReleased guards against a key that stays claimed although its request
// did not run.
func TestClaimReleased(t *testing.T) {
	f := newClaimFixture(t, nil)
	busy := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.RunHeader, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f.handler.Store(&busy)
	require.Equal(t, http.StatusServiceUnavailable, f.send(t, 0, "k").status)
	require.Empty(t, f.table.owners)
	f.handler.Store(nil)
	require.Equal(t, http.StatusCreated, f.send(t, 1, "k").status)
}

// TestClaimUnknown guards against a request that runs again after its first run
// ended without a response.
func TestClaimUnknown(t *testing.T) {
	f := newClaimFixture(t, nil)
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	f.handler.Store(&abort)
	for range 2 {
		f.send(t, 0, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	}
	f.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 1, f.runs.Load())
}

// TestClaimMemory guards against claims that exceed the memory limit of the gate,
// and against a request that runs again after its claim was evicted.
func TestClaimMemory(t *testing.T) {
	f := newClaimFixture(t, func(c *Config) { c.ClaimBytes = 4 * claimOverheadBytes })
	for i := range 20 {
		require.Equal(t, http.StatusCreated, f.send(t, 0, fmt.Sprint(i)).status)
	}
	cs := f.gates[0].claims
	require.LessOrEqual(t, cs.bytes, 4*claimOverheadBytes)
	require.LessOrEqual(t, len(cs.order), 4)
	f.send(t, 0, "0").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 20, f.runs.Load())
}

// TestClaimRoutes guards against claims on routes that do not require them, and
// against a request with a key that runs without a claim because the gate does not
// have its route yet.
func TestClaimRoutes(t *testing.T) {
	f := newClaimFixture(t, nil)
	f.table.setErrors(errors.New("table: down"), nil)
	req := f.gates[0].request(t, http.MethodPost, "", time.Second)
	req.Header.Set(IdempotencyKeyHeader, "k")
	require.Equal(t, http.StatusCreated, send(t, req).status)
	req = f.gates[0].request(t, http.MethodPost, "", time.Second)
	req.Header.Set(IdempotencyKeyHeader, "k")
	req.Header.Set(mesh.RouteHeader, "new")
	send(t, req).requireRefusal(t, fault.NotReady, fault.NotRun)
}

// TestClaimKeptAfterStrayAnswer guards against a claim that is given back, or a response
// that is stored for repeats, by an answer that belongs to another request, so that a
// repeat of the request runs again or gets that answer.
func TestClaimKeptAfterStrayAnswer(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\n" + fault.RunHeader + ": not-run\r\n%sContent-Length: 0\r\n\r\n"
	otherID := mesh.RequestHeader + ": other\r\n"
	for name, stray := range map[string]string{
		"rejection of another request": fmt.Sprintf(rejection, otherID),
		"rejection without a request":  fmt.Sprintf(rejection, ""),
		"answer to another request":    answer("other", "booked"),
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					if req.Header.Get(IdempotencyKeyHeader) != "" {
						runs.Add(1)
					}
					if n == 1 {
						_, _ = io.WriteString(conn, stray)
					}
					_, _ = io.WriteString(conn, answer(req.Header.Get(mesh.RequestHeader), "seat"))
				}
			})
			f := &claimFixture{table: &table{owners: make(map[string]string)}}
			for i := range f.gates {
				f.gates[i] = newTestGate(t, addr, func(c *Config) {
					c.Claim, c.ReleaseClaim, c.ClaimTTL = f.table.claim, f.table.release, time.Hour
				})
			}
			require.Equal(t, http.StatusOK, send(t, f.gates[0].request(t, http.MethodPost, "x", time.Second)).status)
			f.send(t, 0, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
			require.Len(t, f.table.owners, 1, "the claim was given back")
			for i := range f.gates {
				f.send(t, i, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
			}
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
