package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// table is a stand-in for the claim rows of the platform. Its fault functions
// decide whether a call is lost before or after it took effect.
type table struct {
	mu     sync.Mutex
	owners map[string]string
	before error // returned instead of doing the write
	after  error // returned although the write was done
}

func (tb *table) claim(_ context.Context, key, owner string, _ time.Duration) (ClaimResult, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.before != nil {
		return ClaimResult{}, tb.before
	}
	if tb.owners[key] == "" {
		tb.owners[key] = owner
	}
	return ClaimResult{Acquired: tb.owners[key] == owner, Owner: tb.owners[key]}, tb.after
}

func (tb *table) release(_ context.Context, key, owner string) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.before == nil && tb.owners[key] == owner {
		delete(tb.owners, key)
	}
	return tb.before
}

func (tb *table) fail(before, after error) {
	tb.mu.Lock()
	tb.before, tb.after = before, after
	tb.mu.Unlock()
}

// claimRig is two gates that share a table and a backend server.
type claimRig struct {
	gates  [2]*rig
	table  *table
	runs   atomic.Int64
	answer atomic.Pointer[http.HandlerFunc]
}

func newClaimRig(t testing.TB, change func(*Config)) *claimRig {
	t.Helper()
	cr := &claimRig{table: &table{owners: make(map[string]string)}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := cr.runs.Add(1)
		if h := cr.answer.Load(); h != nil {
			(*h)(w, r)
			return
		}
		w.Header().Set("X-Run", fmt.Sprint(n))
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked")
	}))
	t.Cleanup(s.Close)
	for i := range cr.gates {
		cr.gates[i] = newRig(t, s.Listener.Addr().String(), func(c *Config) {
			c.Claim, c.ReleaseClaim = cr.table.claim, cr.table.release
			if change != nil {
				change(c)
			}
		})
	}
	return cr
}

func (cr *claimRig) send(t testing.TB, gate int, key string) reply {
	t.Helper()
	req := cr.gates[gate].request(t, http.MethodPost, "seat", 5*time.Second)
	req.Header.Set(mesh.RouteHeader, "pay")
	req.Header.Set(IdempotencyKeyHeader, key)
	return send(t, req)
}

// TestClaimRepeat guards against a request that runs again for a repeated key,
// at the same gate or at another.
func TestClaimRepeat(t *testing.T) {
	cr := newClaimRig(t, nil)
	first, again := cr.send(t, 0, "k"), cr.send(t, 0, "k")
	require.Equal(t, http.StatusCreated, first.status)
	require.Equal(t, http.StatusCreated, again.status)
	require.Equal(t, "booked", again.body)
	require.Equal(t, "1", again.header.Get("X-Run"))
	require.NotEqual(t, first.header.Get(mesh.RequestHeader), again.header.Get(mesh.RequestHeader))
	cr.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 1, cr.runs.Load())
	require.Equal(t, http.StatusCreated, cr.send(t, 1, "other").status)
	cr.gates[0].withdraw()
	require.Equal(t, "booked", cr.send(t, 0, "k").body, "a repeat was refused as not run")
	cr.send(t, 0, "new").requireRefusal(t, fault.NoEndpoint, fault.NotRun)
}

// TestClaimConcurrent guards against two simultaneous requests with one key
// that both run.
func TestClaimConcurrent(t *testing.T) {
	cr := newClaimRig(t, nil)
	slow := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "booked")
	})
	cr.answer.Store(&slow)
	var wg sync.WaitGroup
	var ok atomic.Int64
	reqs := make([]*http.Request, 16)
	for i := range reqs {
		reqs[i] = cr.gates[i%2].request(t, http.MethodPost, "", 5*time.Second)
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
	require.EqualValues(t, 1, cr.runs.Load())
	require.EqualValues(t, 8, ok.Load(), "the gate that ran it answers its repeats")
}

// TestClaimOutage guards against a request that runs without a claim while the
// platform fails, and against a key that stays blocked at the gate whose claim
// took effect although its response was lost.
func TestClaimOutage(t *testing.T) {
	lost := errors.New("table: time-out")
	cr := newClaimRig(t, nil)
	cr.table.fail(lost, nil)
	cr.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
	cr.table.fail(nil, lost)
	cr.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
	require.Zero(t, cr.runs.Load())
	cr.table.fail(nil, nil)
	cr.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.Equal(t, http.StatusCreated, cr.send(t, 0, "k").status)
	require.EqualValues(t, 1, cr.runs.Load())

	none := newClaimRig(t, func(c *Config) { c.Claim = nil })
	none.send(t, 0, "k").requireRefusal(t, fault.PlatformUnavailable, fault.NotRun)
}

// TestClaimReleased guards against a key that stays claimed although its request
// did not run.
func TestClaimReleased(t *testing.T) {
	cr := newClaimRig(t, nil)
	busy := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(fault.RunHeader, string(fault.NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	cr.answer.Store(&busy)
	require.Equal(t, http.StatusServiceUnavailable, cr.send(t, 0, "k").status)
	require.Empty(t, cr.table.owners)
	cr.answer.Store(nil)
	require.Equal(t, http.StatusCreated, cr.send(t, 1, "k").status)
}

// TestClaimUnknown guards against a request that runs again after its first run
// ended without a response.
func TestClaimUnknown(t *testing.T) {
	cr := newClaimRig(t, nil)
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	cr.answer.Store(&abort)
	for range 2 {
		cr.send(t, 0, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	}
	cr.send(t, 1, "k").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 1, cr.runs.Load())
}

// TestClaimMemory guards the memory of a gate against many claims, and against
// a forgotten claim that runs again.
func TestClaimMemory(t *testing.T) {
	cr := newClaimRig(t, func(c *Config) { c.ClaimBytes = 4 * claimOverhead })
	for i := range 20 {
		require.Equal(t, http.StatusCreated, cr.send(t, 0, fmt.Sprint(i)).status)
	}
	cs := cr.gates[0].claims
	require.LessOrEqual(t, cs.bytes, 4*claimOverhead)
	require.LessOrEqual(t, len(cs.order), 4)
	cr.send(t, 0, "0").requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	require.EqualValues(t, 20, cr.runs.Load())
}

// TestClaimRoutes guards routes without claims against the cost of one, and
// keyed requests of a route that this gate does not know yet against running
// without the claim that the route may ask for.
func TestClaimRoutes(t *testing.T) {
	cr := newClaimRig(t, nil)
	cr.table.fail(errors.New("table: down"), nil)
	req := cr.gates[0].request(t, http.MethodPost, "", time.Second)
	req.Header.Set(IdempotencyKeyHeader, "k")
	require.Equal(t, http.StatusCreated, send(t, req).status)
	req = cr.gates[0].request(t, http.MethodPost, "", time.Second)
	req.Header.Set(IdempotencyKeyHeader, "k")
	req.Header.Set(mesh.RouteHeader, "new")
	send(t, req).requireRefusal(t, fault.NotReady, fault.NotRun)
}
