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
	// watchTimeoutShare is the share of the rollout bound after which a watch of the
	// store ends without a change. A connection can stall without an error, and a node
	// must notice in time to read the store.
	watchTimeoutShare = 0.4
	// upstreamTimeoutShare is the share of the rollout bound after which a watcher
	// responds without a change to a node that follows it.
	upstreamTimeoutShare = 0.4
	// watchGrace is the wait for the end of a watch beyond its timeout.
	watchGrace = 400 * time.Millisecond
	// callTimeout bounds the wait for the response to a call that is not a watch. The
	// store responds in milliseconds; a slow response took 0.3 s.
	callTimeout = time.Second
	// readTimeout bounds a whole read. A configuration of 1,100 routes took more
	// than 1 s over a link that was saturated by downloads.
	readTimeout = 4 * time.Second
	// hintDelayShare is the share of the rollout bound in which the watch may deliver a
	// version that another node already holds, before the store is read for it. It is
	// longer than minUpdateGapShare, since the watcher that a node follows may be in its
	// gap when that of another node has delivered.
	hintDelayShare = 0.35
	// firstWatchDelayShare is the share of the rollout bound that passes between the
	// first read and the first watch of a node. Nodes that start together know too few
	// others at first, and each takes itself for a watcher.
	firstWatchDelayShare = 0.4
	// initialBackoff and maxBackoff bound the wait after a failed call, before jitter.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = time.Second
	// minUpdateGapShare is the share of the rollout bound that passes at least between
	// two updates from the store, so that a series of changes costs few calls and
	// decodings. A watcher whose connection stalls in the gap notices after the gap, a
	// watch and its grace: that and a read of the store by the nodes that follow it must
	// fit within the bound.
	minUpdateGapShare = 0.25
)

// sourceConfig holds the settings and dependencies of a source.
type sourceConfig struct {
	read      func(context.Context) (*platform.Config, platform.Position, error)
	watch     func(ctx context.Context, after platform.Position, d time.Duration) (*platform.Config, platform.Position, error)
	readPeers func(context.Context) (*platform.Config, error) // fetches the configuration that other nodes hold
	// readUpstream asks a watcher for a version above held. It returns nil if there was
	// none within d, and errNoWatcher if there is no watcher to ask.
	readUpstream  func(ctx context.Context, held mesh.Version, d time.Duration) (*platform.Config, error)
	apply         func(*platform.Config) // called with increasing versions
	joinAttempted func() <-chan struct{} // closed once this node may know other nodes
	rollout       time.Duration          // time within which a version must be active
	isWatcher     func() bool            // whether this node follows the store for other nodes
	log           *zap.Logger
}

// source keeps the node's configuration equal to the one in the store. Watchers
// follow the store and other nodes follow a watcher, so that calls to the store do not
// grow with the number of nodes. A node whose watcher does not respond, or has lost the
// store, reads the store itself at once.
type source struct {
	sourceConfig

	version    atomic.Uint64
	advertised atomic.Uint64 // highest version that another node advertised
	notInStore atomic.Uint64 // highest advertised version that a read of the store did not find
	hint       chan struct{} // signals that advertised has increased
	storeLost  bool          // the last call failed
	feedState
}

func newSource(c sourceConfig) *source {
	s := &source{sourceConfig: c, hint: make(chan struct{}, 1)}
	s.changed = make(chan struct{})
	return s
}

// recordAdvertised records that another node holds version v.
func (s *source) recordAdvertised(v mesh.Version) {
	for {
		h := s.advertised.Load()
		if uint64(v) <= max(h, s.version.Load()) {
			return
		}
		if s.advertised.CompareAndSwap(h, uint64(v)) {
			break
		}
	}
	select {
	case s.hint <- struct{}{}:
	default: // a signal is already pending
	}
}

// behind reports whether another node holds a higher version that the store may have.
func (s *source) behind() bool {
	return s.advertised.Load() > max(s.version.Load(), s.notInStore.Load())
}

// run reads the configuration and follows changes until ctx ends.
func (s *source) run(ctx context.Context) error {
	firstWatchDelay := time.Duration(firstWatchDelayShare * float64(s.rollout))
	if s.readFirstFromWatcher(ctx) {
		firstWatchDelay = 0
		if err := s.follow(ctx, 0); err != nil {
			s.log.Debug("reading the store", zap.Error(err))
		}
	}
	for failures := 0; ctx.Err() == nil; {
		pos, err := s.readOnce(ctx)
		if err == nil {
			failures = 0
			if wait.For(ctx, firstWatchDelay) != nil {
				return nil
			}
			firstWatchDelay = 0
			err = s.follow(ctx, pos)
		}
		s.storeFailed(ctx, err)
		if err != nil {
			s.applyFromPeers(ctx)
		}
		if wait.For(ctx, backoff(failures)) != nil {
			return nil
		}
		failures++
	}
	return nil
}

// joinTimeout bounds the wait for the first attempt to join before the store is read.
const joinTimeout = 500 * time.Millisecond

// readFirstFromWatcher applies the configuration of a watcher, so that a node that
// starts beside others needs no call to the store for it. It reports whether it did. A
// watcher responds only while it follows the store.
func (s *source) readFirstFromWatcher(ctx context.Context) bool {
	timeout := time.NewTimer(joinTimeout)
	defer timeout.Stop()
	select {
	case <-ctx.Done():
	case <-timeout.C:
	case <-s.joinAttempted():
	}
	if s.isWatcher() {
		return false
	}
	c, err := s.readUpstream(ctx, 0, 0)
	if err != nil || c == nil {
		return false
	}
	s.applyIfNewer(c, nil)
	return true
}

// applyFromPeers applies the configuration of another node while the store does not
// respond, if this node has none or an older one.
func (s *source) applyFromPeers(ctx context.Context) {
	if s.version.Load() > 0 && !s.behind() {
		return
	}
	c, err := s.readPeers(ctx)
	if err != nil {
		s.log.Info("no configuration received from other nodes", zap.Error(err))
		return
	}
	s.applyIfNewer(c, nil)
}

// backoff returns the jittered wait after n consecutive failures.
func backoff(n int) time.Duration {
	d := min(initialBackoff<<min(n, 8), maxBackoff)
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func (s *source) readOnce(ctx context.Context) (platform.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	advertised := s.advertised.Load()
	c, pos, err := s.read(ctx)
	if err == nil || pos > 0 {
		s.storeAnswered()
		s.applyIfNewer(c, err)
		// The node stops waiting for versions that were advertised before the read and
		// are not in the store.
		s.notInStore.Store(advertised)
		return pos, nil
	}
	return 0, err
}

// follow applies new versions as they arrive, until a call fails or another node
// advertises a version that the watch did not deliver: its connection may have stalled.
func (s *source) follow(ctx context.Context, pos platform.Position) error {
	minGap := time.Duration(minUpdateGapShare * float64(s.rollout))
	for {
		start := time.Now()
		c, next, err := s.watchOnce(ctx, pos)
		switch {
		case errors.Is(err, errNewerElsewhere):
			s.log.Info("another node has a newer configuration; reading the store again", zap.Uint64("version", s.version.Load()))
			return nil
		case errors.Is(err, errUpstreamFailed):
			s.log.Info("watcher did not respond; reading the store", zap.Uint64("version", s.version.Load()), zap.Error(err))
			return nil
		case err != nil && next == 0:
			return err
		case next == 0: // from a watcher
			s.applyIfNewer(c, nil)
			continue
		}
		s.storeAnswered()
		s.applyIfNewer(c, err)
		pos = next
		if wait.For(ctx, minGap-time.Since(start)) != nil {
			return nil
		}
	}
}

// waitNext waits for the next version from a watcher, or from the store if this node is
// a watcher or there is none to ask. The position is 0 if a watcher responded.
func (s *source) waitNext(ctx context.Context, pos platform.Position) (*platform.Config, platform.Position, error) {
	if !s.isWatcher() {
		c, err := s.readUpstream(ctx, mesh.Version(s.version.Load()), time.Duration(upstreamTimeoutShare*float64(s.rollout)))
		switch {
		case err == nil:
			return c, 0, nil
		case !errors.Is(err, errNoWatcher):
			return nil, 0, fmt.Errorf("%w: %w", errUpstreamFailed, err)
		}
	}
	if pos == 0 {
		return nil, 0, errNotRead
	}
	return s.watch(ctx, pos, s.watchTimeout())
}

// watchTimeout returns the time after which the store ends a watch.
func (s *source) watchTimeout() time.Duration {
	return time.Duration(watchTimeoutShare * float64(s.rollout))
}

// Errors of a watch that ends without a result.
var (
	errNewerElsewhere = errors.New("another node has a newer version")
	errWatchTimeout   = errors.New("watch did not end in time")
	errUpstreamFailed = errors.New("request to a watcher failed")
	errNotRead        = errors.New("the store has not been read")
)

// errNoWatcher is returned by readUpstream if there is no watcher to ask.
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
		c, next, err := s.waitNext(ctx, pos)
		done <- answer{c, next, err}
	}()
	hintDelay := time.Duration(hintDelayShare * float64(s.rollout))
	var hintTimer <-chan time.Time
	if s.behind() { // the previous watch delivered an older version than the advertised one
		hintTimer = time.After(hintDelay)
	}
	watchTimer := time.After(s.watchTimeout() + watchGrace)
	for {
		select {
		case a := <-done:
			return a.c, a.pos, a.err
		case <-s.hint:
			if hintTimer == nil && s.behind() {
				hintTimer = time.After(hintDelay)
			}
		case <-watchTimer:
			cancel()
			a := <-done
			if a.err == nil || errors.Is(a.err, errUpstreamFailed) {
				return a.c, a.pos, a.err
			}
			return nil, 0, errWatchTimeout
		case <-hintTimer:
			hintTimer = nil
			if !s.behind() {
				continue
			}
			cancel()
			<-done
			return nil, 0, errNewerElsewhere
		}
	}
}

// applyIfNewer applies c if it is newer than the current configuration. An error says
// why the row in the store is invalid; the current configuration then stays active.
func (s *source) applyIfNewer(c *platform.Config, err error) {
	switch {
	case err != nil:
		s.log.Error("invalid configuration in the store; keeping the current one",
			zap.Uint64("held", s.version.Load()), zap.Error(err))
	case c == nil:
	case uint64(c.Snapshot.Version) > s.version.Load():
		s.log.Info("configuration applied", zap.Uint64("version", uint64(c.Snapshot.Version)),
			zap.Uint64("before", s.version.Load()), zap.Int("routes", len(c.Snapshot.Routes)), zap.Any("ranks", rankNames(c.Snapshot)))
		s.apply(c)
		s.version.Store(uint64(c.Snapshot.Version))
		s.notifyWaiters()
	case uint64(c.Snapshot.Version) < s.version.Load():
		s.log.Warn("ignored configuration in the store that is older than the current one",
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

// storeFailed and storeAnswered record the result of a call, and log when the store is
// lost and regained.
func (s *source) storeFailed(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	s.setLastAnswer(time.Time{})
	if s.storeLost {
		return
	}
	s.storeLost = true
	s.log.Warn("store lost; keeping the current configuration", zap.Uint64("held", s.version.Load()), zap.Error(err))
}

func (s *source) storeAnswered() {
	s.setLastAnswer(time.Now())
	if s.storeLost {
		s.log.Info("store regained", zap.Uint64("held", s.version.Load()))
	}
	s.storeLost = false
}
