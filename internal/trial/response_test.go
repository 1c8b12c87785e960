package trial

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/internal/standin/relay"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestTruncation guards against violations of invariant I4: a response truncated
// between nodes or by the backend server that looks complete to its caller. An
// interrupted download of immutable content must be resumed to its end.
func TestTruncation(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats", "guides")
	c := NewCaller(64)
	defer c.Close()
	run := func(name, path string) []Result {
		load := Load{Caller: c, Workers: 8, Timeout: 15 * time.Second,
			Next: func(i int) (*Node, Request) {
				return m.Nodes[i%len(m.Nodes)], Request{Host: host, Path: path, ID: mesh.RequestID(fmt.Sprintf("%s-%d", name, i)), Idempotent: true}
			}}
		return load.Run(t.Context(), 80)
	}
	require.NoError(t, m.SetRelayFaults(relay.Faults{Truncate: 150_000}))
	a := audit(t, m, run("relay", "/stock?size=400000"))
	require.Positive(t, a.Unknown)
	// Without a content length, a truncated body looks complete unless the
	// response is aborted.
	a = audit(t, m, run("relay-chunked", "/stock?size=400000&chunked"))
	require.Positive(t, a.Unknown)
	checkResume(t, m, c)

	require.NoError(t, m.SetRelayFaults(relay.Faults{}))
	for _, n := range m.Nodes {
		require.NoError(t, n.Server().SetBehavior(t.Context(), backend.Behavior{Truncate: 5000}))
	}
	for _, q := range []string{"", "&chunked"} {
		a = audit(t, m, run(fmt.Sprintf("server-%d", len(q)), "/stock?size=400000"+q))
		require.Zero(t, a.OK)
	}
}

// checkResume truncates downloads of immutable content between nodes. The guides
// are behind nodes 2 and 3, so requests to node 0 pass a relay. Small requests
// before each download keep the retry budget filled.
func checkResume(t *testing.T, m *Mesh, c *Caller) {
	const downloads = 5
	var results []Result
	for i := range downloads {
		require.NoError(t, m.SetRelayFaults(relay.Faults{}))
		for j := range 20 {
			r := c.Call(withTimeout(t, 5*time.Second), m.Nodes[0], Request{Host: host, Path: "/guide?size=10", ID: mesh.RequestID(fmt.Sprintf("small-%d-%d", i, j)), Idempotent: true})
			require.True(t, r.OK(), failures([]Result{r}))
		}
		require.NoError(t, m.SetRelayFaults(relay.Faults{Truncate: 150_000}))
		results = append(results, c.Call(withTimeout(t, 15*time.Second), m.Nodes[0],
			Request{Host: host, Path: "/guide/content/atlas?size=250000", ID: mesh.RequestID(fmt.Sprintf("resume-%d", i)), Idempotent: true}))
	}
	require.Empty(t, failures(results))
	a := audit(t, m, results)
	require.Equal(t, downloads, a.OK)
	runs, err := m.Executions()
	require.NoError(t, err)
	parts := 0
	for _, e := range runs {
		if strings.HasPrefix(string(e.Request), "resume-") {
			parts++
		}
	}
	require.GreaterOrEqual(t, parts, 2*downloads, "some downloads were never interrupted")
}

// TestWrongResponse guards against violations of invariant I4: a response with
// the id of another request that is forwarded to the caller.
func TestWrongResponse(t *testing.T) {
	m := startConfiguredMesh(t, 2, "seats")
	c := NewCaller(8)
	defer c.Close()
	for _, n := range m.Nodes {
		require.NoError(t, n.Server().SetBehavior(t.Context(), backend.Behavior{WrongID: true}))
	}
	for i := range 20 {
		r := c.Call(withTimeout(t, 5*time.Second), m.Nodes[i%2], Request{Method: "POST", Host: host, Path: "/book?size=100", Body: "x", ID: mesh.RequestID(fmt.Sprintf("w-%d", i))})
		require.NoError(t, r.Err)
		require.Equal(t, fault.OutcomeUnknown, r.Kind)
		require.False(t, r.NotRun())
	}
}
