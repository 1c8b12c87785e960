package hosted

import (
	"context"
	"errors"
	"fmt"
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
	// watchShare is the share of the rollout bound after which a watch of the store
	// ends without a change. A connection can fall silent for good, and a node must
	// notice in time to read the store.
	watchShare = 0.4
	// upstreamShare is the share of the rollout bound after which a watcher answers
	// a node that follows it without a change.
	upstreamShare = 0.4
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
	// gapShare is the share of the rollout bound that passes at least between two
	// versions taken from the store, so that a series of changes costs few calls and
	// few decodings. A watcher whose connection falls silent in the gap finds out
	// after the gap, a watch and its grace: that and a read of the store by the
	// nodes that follow it must be within the bound.
	gapShare = 0.25
)

// sourceConfig holds what a source is built from.
type sourceConfig struct {
	read  func(context.Context) (*platform.Config, platform.Position, error)
	watch func(ctx context.Context, after platform.Position, d time.Duration) (*platform.Config, platform.Position, error)
	peers func(context.Context) (*platform.Config, error) // what other nodes hold
	// upstream asks a watcher for a version above the one held. The answer is nil if
	// there was none within d, and errNoWatcher if there is no watcher to ask.
	upstream func(ctx context.Context, held mesh.Version, d time.Duration) (*platform.Config, error)
	apply    func(*platform.Config) // called with rising versions
	rollout  time.Duration          // within which a version must be in force
	watcher  func() bool            // whether this node follows the store for others
	log      *zap.Logger
}

// source keeps the node's configuration equal to the one in the store. Watchers
// follow the store; other nodes follow a watcher, so that calls to the store do not
// grow with nodes. A node whose watcher does not answer, or has lost the store, reads
// the store itself at once.
type source struct {
	sourceConfig

	version atomic.Uint64
	heard   atomic.Uint64 // highest version that another node showed
	refuted atomic.Uint64 // highest such version that the store turned out not to have
	hint    chan struct{} // heard has grown
	lost    bool          // the last call failed
	standing
}

func newSource(c sourceConfig) *source {
	s := &source{sourceConfig: c, hint: make(chan struct{}, 1)}
	s.changed = make(chan struct{})
	return s
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

// follow takes new versions as they come, until a call fails or another node shows a
// version that the watch did not bring: its connection may have fallen silent.
func (s *source) follow(ctx context.Context, pos platform.Position) error {
	gap := time.Duration(gapShare * float64(s.rollout))
	for {
		start := time.Now()
		c, next, err := s.watchOnce(ctx, pos)
		switch {
		case errors.Is(err, errHint):
			s.log.Info("another node holds a newer configuration; the store is read again", zap.Uint64("version", s.version.Load()))
			return nil
		case errors.Is(err, errUpstream):
			s.log.Info("no answer of a watcher; the store is read", zap.Uint64("version", s.version.Load()), zap.Error(err))
			return nil
		case err != nil && next == 0:
			return err
		case next == 0: // from a watcher
			s.take(c, nil)
			continue
		}
		s.reached()
		s.take(c, err)
		pos = next
		if wait.For(ctx, gap-time.Since(start)) != nil {
			return nil
		}
	}
}

// next waits for the next version: at a watcher, or at the store if this node is one
// or there is none to ask. The position is 0 if a watcher answered.
func (s *source) next(ctx context.Context, pos platform.Position) (*platform.Config, platform.Position, error) {
	if !s.watcher() {
		c, err := s.upstream(ctx, mesh.Version(s.version.Load()), time.Duration(upstreamShare*float64(s.rollout)))
		switch {
		case err == nil:
			return c, 0, nil
		case !errors.Is(err, errNoWatcher):
			return nil, 0, fmt.Errorf("%w: %w", errUpstream, err)
		}
	}
	return s.watch(ctx, pos, s.longest())
}

// longest returns the time after which the store ends a watch.
func (s *source) longest() time.Duration { return time.Duration(watchShare * float64(s.rollout)) }

// The ends of a watch that is given up.
var (
	errHint     = errors.New("another node holds a newer version")
	errSilent   = errors.New("the watch did not end in time")
	errUpstream = errors.New("a watcher was asked in vain")
)

// errNoWatcher says that there is no watcher to ask.
var errNoWatcher = errors.New("no watcher is known")

func (s *source) watchOnce(ctx context.Context, pos platform.Position) (*platform.Config, platform.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		c   *platform.Config
		pos platform.Position
		err error
	}
	done := make(chan answer, 1)
	go func() {
		c, next, err := s.next(ctx, pos)
		done <- answer{c, next, err}
	}()
	hintWait := time.Duration(hintShare * float64(s.rollout))
	var late <-chan time.Time
	if s.behind() { // the watch before brought an older version than the one shown
		late = time.After(hintWait)
	}
	silent := time.After(s.longest() + watchGrace)
	for {
		select {
		case a := <-done:
			return a.c, a.pos, a.err
		case <-s.hint:
			if late == nil && s.behind() {
				late = time.After(hintWait)
			}
		case <-silent:
			cancel()
			a := <-done
			if a.err == nil || errors.Is(a.err, errUpstream) {
				return a.c, a.pos, a.err
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
		s.apply(c)
		s.version.Store(uint64(c.Snapshot.Version))
		s.wake()
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
	if err == nil || ctx.Err() != nil {
		return
	}
	s.setAnswered(time.Time{})
	if s.lost {
		return
	}
	s.lost = true
	s.log.Warn("store lost; the configuration held stays in force", zap.Uint64("held", s.version.Load()), zap.Error(err))
}

func (s *source) reached() {
	s.setAnswered(time.Now())
	if s.lost {
		s.log.Info("store regained", zap.Uint64("held", s.version.Load()))
	}
	s.lost = false
}
