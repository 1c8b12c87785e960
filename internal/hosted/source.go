package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// watchWait is the time after which the store ends a watch without a change.
	watchWait = 25 * time.Second
	// watcherShare is the share of the rollout bound after which the watch of a
	// watcher ends. A connection can fall silent for good: watchers find out, and
	// tell the others by the version that they show.
	watcherShare = 0.5
	// watchGrace is the wait for the end of a watch beyond its time.
	watchGrace = 400 * time.Millisecond
	// callTimeout bounds the wait for the answer of a call that does not watch.
	// The store answers in milliseconds; a slow one has been seen to take 0.3 s.
	callTimeout = time.Second
	// readTimeout bounds a whole read. A configuration of 1,100 routes took more
	// than 1 s over a link that was full of downloads.
	readTimeout = 4 * time.Second
	// hintShare is the share of the rollout bound in which the watch may bring a
	// version that another node already holds, before the store is read for it.
	hintShare = 0.2
	// firstBackoff and lastBackoff bound the wait after a failed call.
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = time.Second
	// watchShare is the share of the rollout bound that passes at least between
	// two watches, so that a series of changes costs few calls.
	watchShare = 0.55
)

// source keeps the node's configuration equal to the one in the store.
type source struct {
	read    func(context.Context) (*platform.Config, platform.Position, error)
	watch   func(ctx context.Context, after platform.Position, d time.Duration) (*platform.Config, platform.Position, error)
	peers   func(context.Context) (*platform.Config, error) // what other nodes hold
	apply   func(*platform.Config)                          // called with rising versions
	rollout time.Duration                                   // within which a version must be in force
	watcher func() bool                                     // whether this node looks for what the others may have missed
	log     *zap.Logger

	version atomic.Uint64
	heard   atomic.Uint64 // highest version that another node showed
	refuted atomic.Uint64 // highest such version that the store turned out not to have
	hint    chan struct{} // heard has grown
	lost    bool          // the last call failed
}

func newSource(peers func(context.Context) (*platform.Config, error), s *platform.Store, rollout time.Duration, watcher func() bool, apply func(*platform.Config), log *zap.Logger) *source {
	return &source{
		peers: peers, read: s.ReadConfig, watch: s.WatchConfig, apply: apply,
		rollout: rollout, watcher: watcher, log: log, hint: make(chan struct{}, 1),
	}
}

// hear takes in that another node holds version v.
func (s *source) hear(v mesh.Version) {
	for {
		h := s.heard.Load()
		if uint64(v) <= max(h, s.version.Load()) {
			return
		}
		if s.heard.CompareAndSwap(h, uint64(v)) {
			break
		}
	}
	select {
	case s.hint <- struct{}{}:
	default: // a read is due already
	}
}

// behind reports whether another node holds a higher version that the store may have.
func (s *source) behind() bool {
	return s.heard.Load() > max(s.version.Load(), s.refuted.Load())
}

// run reads the configuration and watches for changes until ctx ends.
func (s *source) run(ctx context.Context) error {
	for failures := 0; ctx.Err() == nil; {
		pos, err := s.readOnce(ctx)
		if err == nil {
			failures = 0
			err = s.follow(ctx, pos)
		}
		s.failed(ctx, err)
		if err != nil {
			s.ask(ctx)
		}
		if wait.For(ctx, backoff(failures)) != nil {
			return nil
		}
		failures++
	}
	return nil
}

// ask takes the configuration of another node while the store does not answer, if
// this node has none or an older one.
func (s *source) ask(ctx context.Context) {
	if s.version.Load() > 0 && !s.behind() {
		return
	}
	c, err := s.peers(ctx)
	if err != nil {
		s.log.Info("other nodes gave no configuration", zap.Error(err))
		return
	}
	s.take(c, nil)
}

// backoff returns the jittered wait after n failures in a row.
func backoff(n int) time.Duration {
	d := min(firstBackoff<<min(n, 8), lastBackoff)
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (s *source) readOnce(ctx context.Context) (platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	heard := s.heard.Load()
	c, pos, err := s.read(ctx)
	if err == nil || pos > 0 {
		s.reached()
		s.take(c, err)
		// What was shown before the store was read, and the store does not have, is
		// not waited for.
		s.refuted.Store(heard)
		return pos, nil
	}
	return 0, err
}

// follow watches from pos until a call fails or another node shows a version
// that the watch did not bring: its connection may have fallen silent.
func (s *source) follow(ctx context.Context, pos platform.Position) error {
	gap := time.Duration(watchShare * float64(s.rollout))
	for {
		start := time.Now()
		c, next, err := s.watchOnce(ctx, pos)
		switch {
		case errors.Is(err, errHint):
			s.log.Info("another node holds a newer configuration; the store is read again", zap.Uint64("version", s.version.Load()))
			return nil
		case err != nil && next == 0:
			return err
		}
		s.reached()
		s.take(c, err)
		pos = next
		if wait.For(ctx, gap-time.Since(start)) != nil {
			return nil
		}
	}
}

// The ends of a watch that is given up.
var (
	errHint   = errors.New("another node holds a newer version")
	errSilent = errors.New("the watch did not end in time")
)

// longest returns the time after which the store is to end the next watch.
func (s *source) longest() time.Duration {
	if s.watcher() {
		return time.Duration(watcherShare * float64(s.rollout))
	}
	return watchWait
}

func (s *source) watchOnce(ctx context.Context, pos platform.Position) (*platform.Config, platform.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start, longest := time.Now(), s.longest()
	type answer struct {
		c   *platform.Config
		pos platform.Position
		err error
	}
	done := make(chan answer, 1)
	go func() {
		c, next, err := s.watch(ctx, pos, longest)
		done <- answer{c, next, err}
	}()
	hintWait := time.Duration(hintShare * float64(s.rollout))
	var late <-chan time.Time
	if s.behind() { // the watch before brought an older version than the one shown
		late = time.After(hintWait)
	}
	check := time.NewTicker(watchGrace)
	defer check.Stop()
	for {
		select {
		case a := <-done:
			return a.c, a.pos, a.err
		case <-s.hint:
			if late == nil && s.behind() {
				late = time.After(hintWait)
			}
		case <-check.C:
			// A node that becomes a watcher ends its long watch.
			if time.Since(start) < min(longest, s.longest())+watchGrace {
				continue
			}
			cancel()
			if a := <-done; a.err == nil {
				return a.c, a.pos, nil
			}
			return nil, 0, errSilent
		case <-late:
			late = nil
			if !s.behind() {
				continue
			}
			cancel()
			<-done
			return nil, 0, errHint
		}
	}
}

// take applies c if it is newer than what is held. An error says why the row in
// the store cannot be used; what is held stays in force.
func (s *source) take(c *platform.Config, err error) {
	switch {
	case err != nil:
		s.log.Error("configuration in the store is refused; the one held stays in force",
			zap.Uint64("held", s.version.Load()), zap.Error(err))
	case c == nil:
	case uint64(c.Snapshot.Version) > s.version.Load():
		s.log.Info("configuration applied", zap.Uint64("version", uint64(c.Snapshot.Version)),
			zap.Uint64("before", s.version.Load()), zap.Int("routes", len(c.Snapshot.Routes)), zap.Any("ranks", rankNames(c.Snapshot)))
		s.version.Store(uint64(c.Snapshot.Version))
		s.apply(c)
	case uint64(c.Snapshot.Version) < s.version.Load():
		s.log.Warn("configuration in the store is older than the one held and is ignored",
			zap.Uint64("version", uint64(c.Snapshot.Version)), zap.Uint64("held", s.version.Load()))
	}
}

// rankNames returns the ranks of s, most urgent first.
func rankNames(s *config.Snapshot) []mesh.Rank {
	out := make([]mesh.Rank, len(s.Ranks))
	for i := range s.Ranks {
		out[i] = s.Ranks[i].Name
	}
	return out
}

// failed and reached log a lost and a regained store.
func (s *source) failed(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil || s.lost {
		return
	}
	s.lost = true
	s.log.Warn("store lost; the configuration held stays in force", zap.Uint64("held", s.version.Load()), zap.Error(err))
}

func (s *source) reached() {
	if s.lost {
		s.log.Info("store regained", zap.Uint64("held", s.version.Load()))
	}
	s.lost = false
}
