package hosted

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const testRollout = 2 * time.Second

// fakeStore holds a configuration in memory.
type fakeStore struct {
	version atomic.Uint64
	silent  atomic.Bool   // watches do not answer
	watched atomic.Uint32 // what a watcher does, see below
	down    atomic.Bool   // calls fail
	shared  atomic.Uint64 // version that other nodes hold, 0 if they give none
	calls   atomic.Int64
}

// What the watcher of a fakeStore does.
const (
	noWatcher  = iota // there is none
	follows           // answers with the version of the store
	notFollows        // says that it has lost the store
	mute              // does not answer
)

func (f *fakeStore) upstream(ctx context.Context, held mesh.Version, d time.Duration) (*platform.Config, error) {
	switch f.watched.Load() {
	case noWatcher:
		return nil, errNoWatcher
	case notFollows:
		return nil, errNotFollowing
	case mute:
		select {
		case <-ctx.Done():
		case <-time.After(d + upstreamGrace):
		}
		return nil, context.DeadlineExceeded
	}
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(time.Millisecond) {
		if v := mesh.Version(f.version.Load()); v > held {
			return &platform.Config{Snapshot: &config.Snapshot{Version: v}}, nil
		}
	}
	return nil, ctx.Err()
}

func (f *fakeStore) config() (*platform.Config, platform.Position, error) {
	f.calls.Add(1)
	if f.down.Load() {
		return nil, 0, errors.New("down")
	}
	v := f.version.Load()
	return &platform.Config{Snapshot: &config.Snapshot{Version: mesh.Version(v)}}, platform.Position(v), nil
}

func (f *fakeStore) peers(context.Context) (*platform.Config, error) {
	v := f.shared.Load()
	if v == 0 {
		return nil, errNoShare
	}
	return &platform.Config{Snapshot: &config.Snapshot{Version: mesh.Version(v)}}, nil
}

func (f *fakeStore) read(context.Context) (*platform.Config, platform.Position, error) {
	return f.config()
}

func (f *fakeStore) watch(ctx context.Context, after platform.Position, d time.Duration) (*platform.Config, platform.Position, error) {
	if f.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	end := time.Now().Add(d)
	for time.Now().Before(end) && f.version.Load() <= uint64(after) && !f.silent.Load() && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if f.silent.Load() || ctx.Err() != nil {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	return f.config()
}

// startSource runs a source until the test ends. The function returns the versions
// that it applied.
func startSource(t *testing.T, f *fakeStore, watcher bool) (*source, func() []mesh.Version) {
	var mu sync.Mutex
	var applied []mesh.Version
	s := newSource(sourceConfig{
		peers: f.peers, read: f.read, watch: f.watch, upstream: f.upstream, rollout: testRollout, log: zap.NewNop(),
		watcher: func() bool { return watcher },
		apply: func(c *platform.Config) {
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, c.Snapshot.Version)
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return s, func() []mesh.Version {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(applied)
	}
}

// TestSourceSilentWatch guards against a configuration that is not in force because
// every watch of the mesh fell silent with the store and was waited for: a watcher
// finds out within the rollout bound, and another node when a watcher shows a version.
func TestSourceSilentWatch(t *testing.T) {
	for name, watcher := range map[string]bool{"watcher": true, "told": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := new(fakeStore)
				f.version.Store(1)
				s, applied := startSource(t, f, watcher)
				f.watched.Store(mute)
				time.Sleep(3 * time.Second)
				f.silent.Store(true)
				time.Sleep(time.Second)
				f.version.Store(5)
				if !watcher {
					s.hear(5)
				}
				time.Sleep(testRollout)
				require.Equal(t, []mesh.Version{1, 5}, applied())
			})
		})
	}
}

// TestSourceOldVersion guards against a node that goes back to an older version, or
// that forgets its version while the store is away.
func TestSourceOldVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(7)
		_, applied := startSource(t, f, true)
		time.Sleep(time.Second)
		f.version.Store(4)
		time.Sleep(testRollout)
		f.down.Store(true)
		time.Sleep(10 * time.Second)
		f.down.Store(false)
		f.version.Store(9)
		time.Sleep(testRollout)
		require.Equal(t, []mesh.Version{7, 9}, applied())
	})
}

// TestSourceCalls guards against calls to the store that grow with the number of
// nodes and changes: a series of changes costs a node few watches, and a node that
// is no watcher does not call at all while a watcher answers it.
func TestSourceCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(1)
		f.watched.Store(follows)
		s, _ := startSource(t, f, false)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, f.calls.Load(), int64(1))
		for range 50 {
			s.hear(mesh.Version(f.version.Add(3)))
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, f.calls.Load(), int64(1), "5 s of changes")
	})
}

// TestSourceWatcherCalls guards against a watcher that calls the store for every change
// of a series.
func TestSourceWatcherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(1)
		_, applied := startSource(t, f, true)
		time.Sleep(time.Second)
		before := f.calls.Load()
		for range 50 {
			f.version.Add(3)
			time.Sleep(100 * time.Millisecond)
		}
		most := int64(5*time.Second/time.Duration(gapShare*float64(testRollout))) + 1
		require.LessOrEqual(t, f.calls.Load()-before, most, "5 s of changes")
		time.Sleep(testRollout)
		require.Equal(t, mesh.Version(151), applied()[len(applied())-1])
	})
}

// TestSourceUpstream guards against a configuration that is not in force in time on a
// node that follows a watcher which has lost the store or has fallen silent.
func TestSourceUpstream(t *testing.T) {
	for name, state := range map[string]uint32{"follows": follows, "lost the store": notFollows, "mute": mute, "gone": noWatcher} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := new(fakeStore)
				f.version.Store(1)
				f.watched.Store(follows)
				_, applied := startSource(t, f, false)
				time.Sleep(3 * time.Second)
				f.watched.Store(state)
				f.version.Store(5)
				time.Sleep(testRollout)
				require.Equal(t, []mesh.Version{1, 5}, applied())
			})
		})
	}
}

// TestAwait guards against a watcher that says that there is no newer version although
// it has lost the store, or that leaves a node waiting then.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(1)
		s, _ := startSource(t, f, true)
		time.Sleep(time.Second)
		begin := time.Now()
		require.NoError(t, s.await(t.Context(), 1, time.Second))
		require.Equal(t, time.Second, time.Since(begin), "nothing new")
		f.version.Store(2)
		begin = time.Now()
		require.NoError(t, s.await(t.Context(), 1, time.Minute))
		require.Less(t, time.Since(begin), testRollout)

		f.silent.Store(true)
		begin = time.Now()
		require.ErrorIs(t, s.await(t.Context(), 2, time.Minute), errNotFollowing)
		require.Less(t, time.Since(begin), testRollout)
		f.silent.Store(false)
		f.down.Store(true)
		time.Sleep(3 * time.Second)
		require.ErrorIs(t, s.await(t.Context(), 2, time.Minute), errNotFollowing)
		f.down.Store(false)
		time.Sleep(3 * time.Second)
		require.NoError(t, s.await(t.Context(), 2, time.Second))
	})
}

// TestSourceUnknownVersion guards against a version that no store has, which another
// node shows, and that makes a node read the store again and again.
func TestSourceUnknownVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(1)
		f.watched.Store(follows)
		s, applied := startSource(t, f, false)
		time.Sleep(time.Second)
		for range 60 {
			s.hear(99) // repeated with every probe
			time.Sleep(500 * time.Millisecond)
		}
		require.LessOrEqual(t, f.calls.Load(), int64(6))
		require.Equal(t, []mesh.Version{1}, applied())
	})
}

// TestSourceFromPeers guards against a node that refuses every request because it
// started while the store turns it away, although other nodes hold a configuration,
// and against one that goes on with an old version then.
func TestSourceFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.down.Store(true)
		s, applied := startSource(t, f, false)
		time.Sleep(5 * time.Second)
		require.Empty(t, applied())
		f.shared.Store(4)
		time.Sleep(testRollout)
		require.Equal(t, []mesh.Version{4}, applied())
		f.shared.Store(6)
		s.hear(6)
		time.Sleep(testRollout)
		require.Equal(t, []mesh.Version{4, 6}, applied())
	})
}

// TestSourceSilentAfterOlder guards against a hint that is forgotten because the watch
// brought an older version than the one that was shown, and then fell silent.
func TestSourceSilentAfterOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := new(fakeStore)
		f.version.Store(1)
		s, applied := startSource(t, f, false)
		time.Sleep(3 * time.Second)
		s.hear(5)
		time.Sleep(50 * time.Millisecond)
		f.version.Store(3)
		time.Sleep(50 * time.Millisecond)
		f.silent.Store(true)
		f.version.Store(5)
		time.Sleep(testRollout)
		require.Equal(t, []mesh.Version{1, 3, 5}, applied())
	})
}
