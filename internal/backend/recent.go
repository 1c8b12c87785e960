package backend

import (
	"sync"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// recentSize is the number of attempts that are remembered.
const recentSize = 4096

type attempt struct {
	id     mesh.RequestID
	call   string // tells apart incoming requests with the same id
	number string
}

// recent remembers the last attempts that were run, to detect one that is run
// twice.
type recent struct {
	mu   sync.Mutex
	seen map[attempt]struct{}
	ring [recentSize]attempt
	next int
}

func newRecent() *recent {
	return &recent{seen: make(map[attempt]struct{}, recentSize)}
}

// add records a and reports whether it was remembered already.
func (r *recent) add(a attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.seen[a]; ok {
		return true
	}
	delete(r.seen, r.ring[r.next])
	r.ring[r.next] = a
	r.seen[a] = struct{}{}
	r.next = (r.next + 1) % recentSize
	return false
}
