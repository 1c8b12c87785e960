package trial

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// VersionMonitor samples the versions that the nodes of a mesh serve and records
// each return to an older version.
type VersionMonitor struct {
	m *Mesh

	mu         sync.Mutex
	highest    map[mesh.NodeID]mesh.Version // by node id, which is unique per process
	violations []string
	samples    int
}

// NewVersionMonitor returns a VersionMonitor of m.
func NewVersionMonitor(m *Mesh) *VersionMonitor {
	return &VersionMonitor{m: m, highest: make(map[mesh.NodeID]mesh.Version)}
}

// sampleInterval is the time between two samples of one node.
const sampleInterval = 20 * time.Millisecond

// Run samples every node until ctx ends.
func (w *VersionMonitor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range w.m.Nodes {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.sample(ctx, n)
				_ = wait.For(ctx, sampleInterval)
			}
		})
	}
	wg.Wait()
}

func (w *VersionMonitor) sample(ctx context.Context, n *Node) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	st, err := n.Operator().Status(ctx, 0)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	if st.Version < w.highest[st.Node] {
		w.violations = append(w.violations, fmt.Sprintf("%s went back from version %d to %d", n.Name, w.highest[st.Node], st.Version))
	}
	w.highest[st.Node] = max(w.highest[st.Node], st.Version)
}

// Violations returns a description of each return to an older version, and the
// number of samples.
func (w *VersionMonitor) Violations() ([]string, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations, w.samples
}
