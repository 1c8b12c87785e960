package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// errNotFollowing says that this node cannot tell whether there is a newer version.
var errNotFollowing = errors.New("the node does not follow the store")

// standing is what a source tells the nodes that follow it.
type standing struct {
	mu       sync.Mutex
	changed  chan struct{} // closed by the next change of the version or loss of the store
	answered time.Time     // last answer of the store, zero once a call failed
}

// setAnswered records the time of an answer of the store, zero for a failed call.
func (s *standing) setAnswered(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered = at
	if at.IsZero() {
		s.signal()
	}
}

// wake has every waiting node look again.
func (s *standing) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signal()
}

func (s *standing) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the time of the last answer of the store and the channel that is
// closed when something changes.
func (s *standing) state() (time.Time, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered, s.changed
}

// await waits until a version above held is in force or d has passed. It returns
// errNotFollowing as soon as this node no longer follows the store.
func (s *source) await(ctx context.Context, held mesh.Version, d time.Duration) error {
	end := time.NewTimer(d)
	defer end.Stop()
	// Between two answers of the store lie the gap, a watch and its grace.
	fresh := time.Duration((gapShare+watchShare)*float64(s.rollout)) + watchGrace
	for {
		answered, changed := s.state()
		if s.version.Load() > uint64(held) {
			return nil
		}
		left := fresh - time.Since(answered)
		if !s.watcher() || left <= 0 {
			return errNotFollowing
		}
		stale := time.NewTimer(left)
		select {
		case <-ctx.Done():
			stale.Stop()
			return ctx.Err()
		case <-end.C:
			stale.Stop()
			return nil
		case <-changed:
		case <-stale.C:
		}
		stale.Stop()
	}
}
