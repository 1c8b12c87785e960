package hosted

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// nodeRowsAge is the age up to which the rows read at the start are used for the first
// attempt to join.
const nodeRowsAge = time.Second

// nodeRows reads the rows by which nodes find each other. A node that starts reads them
// once: to learn what its predecessor at the address has left, and to join.
type nodeRows struct {
	read func(context.Context) ([]platform.NodeRow, error)

	mu     sync.Mutex
	last   []mesh.Addr // other nodes in the first read, until they are used
	readAt time.Time

	count atomic.Int64 // rows in the last read
}

func newNodeRows(read func(context.Context) ([]platform.NodeRow, error)) *nodeRows {
	return &nodeRows{read: read}
}

// addrs returns the addresses in the rows.
func (r *nodeRows) addrs(ctx context.Context) ([]mesh.Addr, error) {
	r.mu.Lock()
	last := r.last
	fresh := time.Since(r.readAt) < nodeRowsAge
	r.last = nil
	r.mu.Unlock()
	if fresh && len(last) > 0 {
		return last, nil
	}
	rows, err := r.read(ctx)
	if err != nil {
		return nil, err
	}
	r.count.Store(int64(len(rows)))
	return rowAddrs(rows), nil
}

func rowAddrs(rows []platform.NodeRow) []mesh.Addr {
	out := make([]mesh.Addr, len(rows))
	for i := range rows {
		out[i] = rows[i].Addr
	}
	return out
}

// find reads the rows and returns the one for addr, without a version if there is none.
// The next call of addrs uses the same rows if they name another node.
func (r *nodeRows) find(ctx context.Context, addr mesh.Addr) (platform.NodeRow, error) {
	rows, err := r.read(ctx)
	if err != nil {
		return platform.NodeRow{}, err
	}
	r.count.Store(int64(len(rows)))
	found := platform.NodeRow{Addr: addr}
	if i := slices.IndexFunc(rows, func(n platform.NodeRow) bool { return n.Addr == addr }); i >= 0 {
		found = rows[i]
		rows = slices.Delete(slices.Clone(rows), i, i+1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last, r.readAt = rowAddrs(rows), time.Now()
	return found, nil
}
