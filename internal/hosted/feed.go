package hosted

import (
	"context"
	"errors"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// errNotFollowing means that this node cannot tell whether there is a newer version.
var errNotFollowing = errors.New("the node does not follow the store")

// feedState is the state of a source that the nodes following it depend on.
type feedState struct {
	mu         sync.Mutex
	changed    chan struct{} // closed when the version changes or the store is lost
	lastAnswer time.Time     // time of the last response of the store, zero after a failed call
}

// setLastAnswer records the time of a response of the store, zero for a failed call.
func (s *feedState) setLastAnswer(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastAnswer = at
	if at.IsZero() {
		s.broadcast()
	}
}

// notifyWaiters makes every waiting request check the state again.
func (s *feedState) notifyWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broadcast()
}

func (s *feedState) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// current returns the time of the last response of the store and the channel that is
// closed on the next change.
func (s *feedState) current() (time.Time, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswer, s.changed
}

// awaitVersion waits until a version above held is active or d has passed. It returns
// errNotFollowing as soon as this node no longer follows the store.
func (s *source) awaitVersion(ctx context.Context, held mesh.Version, d time.Duration) error {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	// Responses of the store are at most the gap, a watch and its grace apart.
	maxAnswerAge := time.Duration((minUpdateGapShare+watchTimeoutShare)*float64(s.rollout)) + watchGrace
	for {
		lastAnswer, changed := s.current()
		remaining := maxAnswerAge - time.Since(lastAnswer)
		following := s.isWatcher() && remaining > 0
		// A node without a configuration must not start with an outdated one.
		if s.version.Load() > uint64(held) && (following || held > 0) {
			return nil
		}
		if !following {
			return errNotFollowing
		}
		staleTimer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			staleTimer.Stop()
			return ctx.Err()
		case <-timeout.C:
			staleTimer.Stop()
			return nil
		case <-changed:
		case <-staleTimer.C:
		}
		staleTimer.Stop()
	}
}
