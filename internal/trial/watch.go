package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// VersionMonitor observes the versions that the nodes of a mesh serve and asserts that
// none goes back.
type VersionMonitor struct {
	m *Mesh

	mu      sync.Mutex
	highest map[mesh.NodeID]mesh.Version // per process
	broken  []string
	looks   int
}

// NewVersionMonitor returns a VersionMonitor of m.
func NewVersionMonitor(m *Mesh) *VersionMonitor {
	return &VersionMonitor{m: m, highest: make(map[mesh.NodeID]mesh.Version)}
}

// watchPause is the time between two looks at one node.
const watchPause = 20 * time.Millisecond

// Run looks at every node until ctx ends.
func (w *VersionMonitor) Run(ctx context.Context) {
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

func (w *VersionMonitor) look(ctx context.Context, n *Node) {
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

// Violations returns what was observed against the invariant, and the number of
// looks.
func (w *VersionMonitor) Violations() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken, w.looks
}
