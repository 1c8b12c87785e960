package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Watch observes the versions that the nodes of a mesh serve and asserts that
// none goes back.
type Watch struct {
	m *Mesh

	mu      sync.Mutex
	highest map[mesh.NodeID]mesh.Version // per process
	broken  []string
	looks   int
}

// NewWatch returns a Watch of m.
func NewWatch(m *Mesh) *Watch {
	return &Watch{m: m, highest: make(map[mesh.NodeID]mesh.Version)}
}

// watchPause is the time between two looks at one node.
const watchPause = 20 * time.Millisecond

// Run looks at every node until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range w.m.Nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.look(ctx, n)
				_ = wait.For(ctx, watchPause)
			}
		})
	}
	wg.Wait()
}

func (w *Watch) look(ctx context.Context, n *Node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	st, err := n.Operator().Status(ctx, 0)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.looks++
	if st.Version < w.highest[st.Node] {
		w.broken = append(w.broken, fmt.Sprintf("%s went from version %d back to %d", n.Name, w.highest[st.Node], st.Version))
	}
	w.highest[st.Node] = max(w.highest[st.Node], st.Version)
}

// Broken returns what was observed against the invariant, and the number of
// looks.
func (w *Watch) Broken() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken, w.looks
}
