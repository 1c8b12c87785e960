package trial

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// zones are the availability zones of the tests.
var zones = []mesh.AvailabilityZone{"semarang", "solo"}

// startMesh starts a mesh that is closed at the end of the test. If
// LAVENDERRILL_TRIAL_KEEP names a directory, the logs are written and kept there.
func startMesh(t *testing.T, cfg Config) *Mesh {
	t.Helper()
	if keep := os.Getenv("LAVENDERRILL_TRIAL_KEEP"); keep != "" {
		cfg.Dir = filepath.Join(keep, t.Name())
		require.NoError(t, os.RemoveAll(cfg.Dir))
		require.NoError(t, os.MkdirAll(cfg.Dir, 0o755))
	}
	m, err := Start(t.Context(), cfg)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, m.Close()) })
	return m
}

// withTimeout returns a context that ends after d.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// acceptFiles accepts files through node n, waits until they are active on all
// nodes and returns the version.
func acceptFiles(t *testing.T, m *Mesh, n *Node, files ...string) mesh.Version {
	t.Helper()
	args := append([]string{"accept", "--node", n.Addrs().Operator, "--wait"}, files...)
	out, err := m.RunCommand(withTimeout(t, 30*time.Second), args...)
	require.NoError(t, err)
	require.Zero(t, out.ExitCode, "%s%s", out.Stdout, out.Stderr)
	st, err := n.Operator().Status(t.Context(), 0)
	require.NoError(t, err)
	return st.Version
}

// writeConfig writes a configuration file into the directory of m.
func writeConfig(t *testing.T, m *Mesh, name, content string) string {
	t.Helper()
	path := filepath.Join(m.Dir, name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o644))
	return path
}

// failures describes the results that are not OK, one per line.
func failures(results []Result) string {
	var b strings.Builder
	for _, r := range results {
		if !r.OK() {
			fmt.Fprintf(&b, "%s through %s: status %d %s %s (%s), %d bytes, after %v at %s: %v\n",
				r.Request.ID, r.Node, r.Status, r.Kind, r.Run, r.Reason, r.Size, r.Took, r.Begin.Format("05.000"), r.Err)
		}
	}
	return b.String()
}

// TestPath guards against failures that only appear when operator commands, nodes
// and backend servers run together: with the example configuration, every node
// serves requests, edits take effect, and planned stops interrupt no request.
func TestPath(t *testing.T) {
	m := startMesh(t, Config{Nodes: []NodeSpec{
		{Zone: zones[0], Service: "katalog"},
		{Zone: zones[1], Service: "katalog"},
		{Zone: zones[0], Service: "reservasi"},
		{Zone: zones[1], Service: "pustaka"},
	}})
	files, err := filepath.Glob(filepath.Join(moduleDir(), "examples", "lending-office", "*.yaml"))
	require.NoError(t, err)
	first := acceptFiles(t, m, m.Nodes[0], files...)
	require.NoError(t, m.WaitVersion(withTimeout(t, 10*time.Second), first))
	require.NoError(t, m.WaitEndpoints(withTimeout(t, 10*time.Second), len(m.Nodes)))
	c := NewCaller(64)
	defer c.Close()

	t.Run("serve", func(t *testing.T) { servePath(t, m, c) })
	t.Run("edit", func(t *testing.T) { editPath(t, m, c, first) })
	t.Run("stop", func(t *testing.T) { stopPath(t, m, c) })
	require.NoError(t, m.CheckInvariants(t.Context()))
}

func servePath(t *testing.T, m *Mesh, c *Caller) {
	for i, n := range m.Nodes {
		for j, q := range []Request{
			{Path: "/availability?size=2000"},
			{Path: "/certification?size=10"},
			{Path: "/guides/content/java?size=300000"},
			{Path: "/guides/versions?size=10"},
			{Method: "POST", Path: "/reservations?size=100", Key: fmt.Sprintf("key-%d", i), Body: "seat"},
		} {
			q.Host = "semarang.lending.example"
			q.ID = mesh.RequestID(fmt.Sprintf("serve-%d-%d", i, j))
			r := c.Call(withTimeout(t, 5*time.Second), n, q)
			require.True(t, r.OK(), failures([]Result{r}))
		}
	}
	runs, err := m.Executions()
	require.NoError(t, err)
	count := make(map[mesh.RequestID]int)
	for _, e := range runs {
		count[e.Request]++
	}
	require.Len(t, count, 5*len(m.Nodes))
}

func editPath(t *testing.T, m *Mesh, c *Caller, first mesh.Version) {
	q := Request{Path: "/availability", Host: "surakarta.lending.example", ID: "edit-0"}
	r := c.Call(withTimeout(t, 5*time.Second), m.Nodes[1], q)
	require.EqualValues(t, "no_route", r.Kind)
	edit := writeConfig(t, m, "solo.yaml", "account: solo\ntemplate: branch\nparameters: {host: surakarta.lending.example, reserve_rate: 60}\n")
	second := acceptFiles(t, m, m.Nodes[1], edit)
	require.Greater(t, second, first)
	for i, n := range m.Nodes {
		q.ID = mesh.RequestID(fmt.Sprintf("edit-%d", i+1))
		r := c.Call(withTimeout(t, 5*time.Second), n, q)
		require.True(t, r.OK(), failures([]Result{r}))
		require.Equal(t, fmt.Sprint(second), r.Version)
	}
}

// stopPath restarts a backend server and stops a node while callers of other
// nodes use the service.
func stopPath(t *testing.T, m *Mesh, c *Caller) {
	ctx, cancel := context.WithCancel(t.Context())
	load := Load{Caller: c, Workers: 16, Pause: 2 * time.Millisecond, Timeout: 5 * time.Second,
		Next: func(i int) (*Node, Request) {
			return m.Nodes[2+i%2], Request{
				Path:       "/availability?time=20ms&size=500",
				Host:       "tegal.lending.example",
				ID:         mesh.RequestID(fmt.Sprintf("stop-%d", i)),
				Idempotent: true,
			}
		}}
	done := make(chan []Result)
	go func() { done <- load.Run(ctx, 0) }()
	time.Sleep(time.Second)

	require.NoError(t, m.Nodes[0].Server().Stop(withTimeout(t, 10*time.Second)))
	stopped := time.Now()
	time.Sleep(time.Second)
	require.NoError(t, m.Nodes[0].StartServer(t.Context()))
	require.NoError(t, m.WaitEndpoints(withTimeout(t, 10*time.Second), len(m.Nodes)))
	time.Sleep(500 * time.Millisecond)

	require.NoError(t, m.Nodes[1].Process().Stop(withTimeout(t, 15*time.Second)))
	time.Sleep(time.Second)
	cancel()
	results := <-done
	require.Empty(t, failures(results))
	require.Greater(t, len(results), 500)
	runs, err := m.Executions()
	require.NoError(t, err)
	require.NoError(t, NewAudit(results, runs).Check())
	t.Logf("%d requests, first stop at %s", len(results), stopped.Format("05.000"))
}
