package trial

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestDrain guards against violations of invariants I7 and I8: a backend server
// that receives new work after it announced its drain, or a planned stop of a
// backend server or node that interrupts a request in flight, at either hop.
func TestDrain(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats")
	c := NewCaller(128)
	defer c.Close()
	ctx, cancel := context.WithCancel(t.Context())
	load := Load{Caller: c, Workers: 12, Pause: time.Millisecond, Timeout: 10 * time.Second,
		Next: func(i int) (*Node, Request) {
			q := Request{Method: "POST", Host: host, Path: "/book?size=200&time=10ms", Body: "seat", ID: mesh.RequestID(fmt.Sprintf("d-%d", i))}
			if i%50 == 0 {
				q.Path = "/book?size=200&time=400ms"
			}
			return m.Nodes[2+i%2], q
		}}
	done := make(chan []Result)
	go func() { done <- load.Run(ctx, 0) }()
	time.Sleep(time.Second)

	// A long request keeps the backend server draining, so that it could still
	// receive others.
	longResult := make(chan Result)
	go func() {
		longResult <- c.Call(withTimeout(t, 10*time.Second), m.Nodes[0], Request{Host: host, Path: "/stock?time=4s", ID: "long", Idempotent: true})
	}()
	drainingNode := waitRunning(t, m, "long")
	drained := drainingNode.Server()
	begin := time.Now()
	require.NoError(t, drained.Stop(withTimeout(t, 15*time.Second)))
	r := <-longResult
	require.True(t, r.OK(), failures([]Result{r}))
	require.Greater(t, time.Since(begin), 2*time.Second)
	require.NoError(t, drainingNode.StartServer(t.Context()))
	require.NoError(t, m.WaitEndpoints(withTimeout(t, 10*time.Second), len(m.Nodes)))

	stopNode(t, m, c)
	time.Sleep(500 * time.Millisecond)
	cancel()
	results := <-done
	require.Empty(t, failures(results))
	require.Greater(t, len(results), 500)
	audit(t, m, results)

	runs := journal(t, drained)
	startedLate := 0
	for _, e := range runs {
		if e.Draining && e.Started.Sub(begin) > 2*time.Second {
			startedLate++
		}
	}
	require.Zero(t, startedLate, "requests started more than 2 s after the drain began")
	t.Logf("%d requests; %d started on the draining backend server, all within 2 s", len(results), countDraining(runs))
}

// stopNode stops node 1 while requests received by it, and requests received by
// node 3 that run behind the gate of node 1, are in flight. All must finish.
func stopNode(t *testing.T, m *Mesh, c *Caller) {
	const count = 8
	results := make(chan Result, 2*count)
	for i := range count {
		// Those behind the gate end last, when no other work delays the stop.
		for n, path := range map[*Node]string{m.Nodes[1]: "/stock?time=1500ms", m.Nodes[3]: "/stock?time=4s"} {
			go func() {
				results <- c.Call(withTimeout(t, 10*time.Second), n, Request{Host: host, Path: path, ID: mesh.RequestID(fmt.Sprintf("%s-%d", n.Name, i)), Idempotent: true})
			}()
		}
	}
	for i := range count {
		waitRunning(t, m, mesh.RequestID(fmt.Sprintf("node-1-%d", i)))
		waitRunning(t, m, mesh.RequestID(fmt.Sprintf("node-3-%d", i)))
	}
	behindGate := 0
	for _, e := range journal(t, m.Nodes[1].Server()) {
		if strings.HasPrefix(string(e.Request), "node-3-") {
			behindGate++
		}
	}
	require.Positive(t, behindGate, "no request of node 3 runs behind the gate of node 1")
	require.NoError(t, m.Nodes[1].Process().Stop(withTimeout(t, 15*time.Second)))
	for range 2 * count {
		r := <-results
		require.True(t, r.OK(), failures([]Result{r}))
	}
	runs, err := m.Executions()
	require.NoError(t, err)
	for _, e := range runs {
		if strings.HasPrefix(string(e.Request), "node-") {
			require.Equal(t, "1", e.Attempt, "request %s was interrupted and repeated", e.Request)
		}
	}
}

// waitRunning waits until a backend server has started the request and returns
// its node.
func waitRunning(t *testing.T, m *Mesh, id mesh.RequestID) *Node {
	t.Helper()
	var found *Node
	require.NoError(t, Poll(withTimeout(t, 5*time.Second), func(context.Context) error {
		for _, n := range m.Nodes {
			for _, e := range journal(t, n.Server()) {
				if e.Request == id {
					found = n
					return nil
				}
			}
		}
		return fmt.Errorf("request %s has not started", id)
	}))
	return found
}

func journal(t *testing.T, s *Server) []backend.Execution {
	t.Helper()
	runs, err := s.Executions()
	require.NoError(t, err)
	return runs
}

func countDraining(runs []backend.Execution) int {
	n := 0
	for _, e := range runs {
		if e.Draining {
			n++
		}
	}
	return n
}
