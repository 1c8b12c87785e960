package hosted

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
	"lavenderrill.dev/lavenderrill/platform/standin"
)

const ownAddr mesh.Addr = "10.0.0.1:7000"

// startRegistration runs the registration of a node at ownAddr until the end of the test
// or until stop is called.
func startRegistration(t *testing.T, c registrationConfig) (r *registration, stop func()) {
	c.self = platform.NodeRow{Addr: ownAddr, ID: "n", Zone: "z"}
	c.log = zap.NewNop()
	if c.onRead == nil {
		c.onRead = func([]platform.BackendStart) {}
	}
	c.onKnown = func() {}
	r = newRegistration(c)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	t.Cleanup(stop)
	return r, stop
}

// TestRegister guards against a node without a row, and against a restart that writes
// the row that its predecessor has left.
func TestRegister(t *testing.T) {
	for name, c := range map[string]struct {
		firstStart    bool
		row           bool
		reads, writes int64
	}{
		"first start":   {firstStart: true, writes: 1},
		"new address":   {reads: 1, writes: 1},
		"after a crash": {row: true, reads: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewStore(1)
			srv := httptest.NewServer(s)
			defer srv.Close()
			if c.row {
				s.Put("lavenderrill-nodes", string(ownAddr), []byte(`{}`))
			}
			var reads, writes atomic.Int64
			store := platform.NewStore(platform.StoreConfig{
				Addr: mesh.Addr(srv.Listener.Addr().String()), Timeout: time.Second,
				OnSkip: func(string, string, error) {},
				CountCall: func(call string, _ int64) {
					if call == "tx" {
						writes.Add(1)
					} else {
						reads.Add(1)
					}
				},
			})
			_, stop := startRegistration(t, registrationConfig{
				firstStart: c.firstStart, find: newNodeRows(store.Nodes).find, put: store.PutNode, remove: store.RemoveNode,
			})
			require.Eventually(t, func() bool { return reads.Load() == c.reads && writes.Load() == c.writes }, time.Second, time.Millisecond)
			require.Eventually(t, func() bool { return len(s.Keys("lavenderrill-nodes")) == 1 }, time.Second, time.Millisecond)
			stop()
			require.Equal(t, c.writes, writes.Load())
		})
	}
}

// fakeRow is the row of one node in a store with faults.
type fakeRow struct {
	mu      sync.Mutex
	row     platform.NodeRow
	ver     platform.Position
	writes  int
	away    bool // calls get no response
	lost    int  // writes to come whose response is lost
	delayed []platform.NodeRow
	delay   bool // lost writes take effect when release is called
	instant bool // calls without a response fail at once
}

var errNoResponse = errors.New("no response")

func (f *fakeRow) config() registrationConfig {
	return registrationConfig{find: f.find, put: f.put, remove: f.remove}
}

func (f *fakeRow) find(ctx context.Context, addr mesh.Addr) (platform.NodeRow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return platform.NodeRow{}, f.hang(ctx)
	}
	row := f.row
	row.Addr = addr
	return row, nil
}

// hang waits until ctx is done. f.mu must be held.
func (f *fakeRow) hang(ctx context.Context) error {
	if f.instant {
		return errNoResponse
	}
	f.mu.Unlock()
	defer f.mu.Lock()
	<-ctx.Done()
	return errNoResponse
}

func (f *fakeRow) put(ctx context.Context, row platform.NodeRow) (platform.Position, platform.NodeRow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	if f.away {
		return 0, platform.NodeRow{}, f.hang(ctx)
	}
	if f.lost > 0 && f.delay {
		f.lost--
		f.delayed = append(f.delayed, row)
		return 0, platform.NodeRow{}, f.hang(ctx)
	}
	if !f.apply(row) {
		return 0, f.row, platform.ErrConflict
	}
	if f.lost > 0 {
		f.lost--
		return 0, platform.NodeRow{}, f.hang(ctx)
	}
	return f.ver, platform.NodeRow{}, nil
}

// apply writes row if its condition holds. f.mu must be held.
func (f *fakeRow) apply(row platform.NodeRow) bool {
	if row.Ver != f.row.Ver {
		return false
	}
	f.ver++
	f.row = row
	f.row.Ver = f.ver
	return true
}

// release applies the writes that were delayed.
func (f *fakeRow) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range f.delayed {
		f.apply(row)
	}
	f.delayed = nil
}

func (f *fakeRow) remove(_ context.Context, row platform.NodeRow) (platform.NodeRow, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if row.Ver != f.row.Ver {
		return f.row, platform.ErrConflict
	}
	f.row = platform.NodeRow{}
	return platform.NodeRow{}, nil
}

func (f *fakeRow) set(away bool, lost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.away, f.lost = away, lost
}

func (f *fakeRow) departed() []platform.BackendStart {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.row.Departed
}

// TestKeepDeparture guards against a departure that is acknowledged while only the memory
// of this process has it, and against one that the store has and a later write drops.
func TestKeepDeparture(t *testing.T) {
	a, b := platform.BackendStart{Instance: "a", Born: 1}, platform.BackendStart{Instance: "b", Born: 2}
	for name, c := range map[string]struct {
		faults func(*fakeRow)
		kept   bool // within the time that the backend server waits
	}{
		"sound store":               {faults: func(*fakeRow) {}, kept: true},
		"response lost":             {faults: func(f *fakeRow) { f.lost = 1 }, kept: true},
		"write delayed":             {faults: func(f *fakeRow) { f.lost, f.delay = 1, true }, kept: true},
		"store away":                {faults: func(f *fakeRow) { f.away = true }},
		"departure of another one":  {faults: func(f *fakeRow) { f.ver++; f.row = platform.NodeRow{Ver: f.ver, Departed: []platform.BackendStart{b}} }, kept: true},
		"row removed by a late one": {faults: func(f *fakeRow) { f.row = platform.NodeRow{} }, kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeRow{}
				r, stop := startRegistration(t, f.config())
				defer stop()
				synctest.Wait()
				f.mu.Lock()
				c.faults(f)
				others := f.row.Departed
				f.mu.Unlock()
				start := time.Now()
				err := r.keep(t.Context(), a)
				require.LessOrEqual(t, time.Since(start), departureTimeout)
				if c.kept {
					require.NoError(t, err)
				} else {
					require.True(t, fault.Is(err, fault.PlatformUnavailable), "%v", err)
					f.set(false, 0)
					require.NoError(t, r.keep(t.Context(), a), "the backend server repeats the message")
				}
				require.Contains(t, f.departed(), a)
				require.Subset(t, f.departed(), others)
				f.release()
				require.Contains(t, f.departed(), a, "after a delayed write took effect")
				writes := f.writes
				require.NoError(t, r.keep(t.Context(), a))
				time.Sleep(time.Minute)
				require.Equal(t, writes, f.writes, "writes for a departure that the store has")
			})
		})
	}
}

// TestDepartureOutlivesProcess guards against a process that does not learn the departures
// that its predecessor acknowledged, also if the store is away at its start.
func TestDepartureOutlivesProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := platform.BackendStart{Instance: "a", Born: 1}, platform.BackendStart{Instance: "b", Born: 2}
		f := &fakeRow{}
		r, stop := startRegistration(t, f.config())
		require.NoError(t, r.keep(t.Context(), a))
		stop()
		f.set(true, 0)
		var read []platform.BackendStart
		c := f.config()
		c.onRead = func(starts []platform.BackendStart) {
			require.False(t, r.isRead(), "a report would be believed before the departures are known")
			read = starts
		}
		r, stop = startRegistration(t, c)
		defer stop()
		time.Sleep(callTimeout)
		synctest.Wait()
		<-r.attempted
		require.False(t, r.isRead())
		require.Error(t, r.keep(t.Context(), b))
		f.set(false, 0)
		require.NoError(t, r.keep(t.Context(), b))
		require.True(t, r.isRead())
		require.Equal(t, []platform.BackendStart{a}, read)
		require.Equal(t, []platform.BackendStart{a, b}, f.departed())
		require.NoError(t, r.leave(t.Context()))
		require.Empty(t, f.departed())
		time.Sleep(time.Minute)
		require.Zero(t, f.row.Ver, "the row is back after the node has left")
		require.NoError(t, r.keep(t.Context(), platform.BackendStart{Instance: "c", Born: 3}), "a leave message during the stop")
		require.NotEmpty(t, f.departed())
	})
}

// TestNodeRows guards against two reads for one start, and against an attempt to join
// that uses rows which are outdated or name no other node.
func TestNodeRows(t *testing.T) {
	reads := 0
	rows := []platform.NodeRow{{Addr: ownAddr, Ver: 3}, {Addr: "10.0.0.2:7000", Ver: 4}}
	r := newNodeRows(func(context.Context) ([]platform.NodeRow, error) { reads++; return rows, nil })
	addrs := func() []mesh.Addr {
		as, err := r.addrs(t.Context())
		require.NoError(t, err)
		return as
	}
	found, err := r.find(t.Context(), ownAddr)
	require.NoError(t, err)
	require.Equal(t, rows[0], found)
	require.Equal(t, []mesh.Addr{"10.0.0.2:7000"}, addrs())
	require.Equal(t, 1, reads)
	require.Equal(t, rowAddrs(rows), addrs(), "a second attempt")
	require.Equal(t, 2, reads)
	_, err = r.find(t.Context(), ownAddr)
	require.NoError(t, err)
	r.readAt = r.readAt.Add(-nodeRowsAge)
	require.Equal(t, rowAddrs(rows), addrs(), "outdated")
	rows = rows[:1]
	_, err = r.find(t.Context(), ownAddr)
	require.NoError(t, err)
	before := reads
	addrs()
	require.Equal(t, before+1, reads, "no other node")
	found, err = r.find(t.Context(), "10.0.0.9:7000")
	require.NoError(t, err)
	require.Equal(t, platform.NodeRow{Addr: "10.0.0.9:7000"}, found)
}
