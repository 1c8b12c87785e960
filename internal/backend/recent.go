package backend

import (
	"sync"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxRecentAttempts is the number of attempts that recentAttempts holds.
const maxRecentAttempts = 4096

// attempt identifies one attempt of a request.
type attempt struct {
	id     mesh.RequestID
	callID string // distinguishes incoming requests with the same id
	number string
}

// recentAttempts records the last attempts that were forwarded to the backend
// server, to detect an attempt that is forwarded twice.
type recentAttempts struct {
	mu   sync.Mutex
	seen map[attempt]struct{}
	ring [maxRecentAttempts]attempt
	next int
}

func newRecentAttempts() *recentAttempts {
	return &recentAttempts{seen: make(map[attempt]struct{}, maxRecentAttempts)}
}

// markSeen records a and reports whether it was already recorded.
func (r *recentAttempts) markSeen(a attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.seen[a]; ok {
		return true
	}
	delete(r.seen, r.ring[r.next])
	r.ring[r.next] = a
	r.seen[a] = struct{}{}
	r.next = (r.next + 1) % maxRecentAttempts
	return false
}
