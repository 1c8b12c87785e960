package backend

import (
	"sync"

	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxRecent is the number of keys that a recent holds.
const maxRecent = 4096

// attempt identifies one attempt of a request.
type attempt struct {
	id     mesh.RequestID
	callID string // distinguishes incoming requests with the same id
	number string
}

// rejection identifies the statement on a connection that a request was not run.
type rejection struct {
	conn hop.ConnID
	id   mesh.RequestID
}

// recent records the last keys, to detect one that occurs twice.
type recent[K comparable] struct {
	mu   sync.Mutex
	seen map[K]struct{}
	ring [maxRecent]K
	next int
}

func newRecent[K comparable]() *recent[K] {
	return &recent[K]{seen: make(map[K]struct{}, maxRecent)}
}

// markSeen records k and reports whether it was already recorded.
func (r *recent[K]) markSeen(k K) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.seen[k]; ok {
		return true
	}
	delete(r.seen, r.ring[r.next])
	r.ring[r.next] = k
	r.seen[k] = struct{}{}
	r.next = (r.next + 1) % maxRecent
	return false
}
