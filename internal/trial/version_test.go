package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/relay"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// accountDoc returns the document of a client account.
func accountDoc(name, host string) string {
	return fmt.Sprintf("account: %s\ntemplate: branch\nparameters: {host: %s}\n", name, host)
}

// acceptEdit accepts a document through n without waiting for other nodes.
func acceptEdit(ctx context.Context, n *Node, change mesh.ChangeID, doc string) (mesh.Version, error) {
	a, err := n.Operator().Accept(ctx, client.AcceptRequest{
		Change:   change,
		Operator: "trial",
		Edit:     client.Edit{Files: []client.File{{Name: "edit.yaml", Content: doc}}},
	})
	return a.Version, err
}

// monitorVersions monitors m until the end of the test, which fails if a node
// goes back to an older version.
func monitorVersions(t *testing.T, m *Mesh) {
	t.Helper()
	w := NewVersionMonitor(m)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		violations, samples := w.Violations()
		require.Empty(t, violations)
		require.Positive(t, samples)
	})
}

// TestPartition guards against violations of invariants I1 and I9: a version that
// does not reach the other side of a partition through the platform, an edit
// accepted during a platform outage, or a side that goes back to an older version
// or stays on it after the partition.
func TestPartition(t *testing.T) {
	m := startConfiguredMesh(t, 6, "seats")
	monitorVersions(t, m)
	c := NewCaller(8)
	defer c.Close()
	side := func(i int) []*Node { return []*Node{m.Nodes[i], m.Nodes[i+2], m.Nodes[i+4]} }
	require.NoError(t, m.Partition(side(0), side(1)))
	// Wait until each side has declared the other dead.
	time.Sleep(5 * time.Second)
	firstVersion, err := acceptEdit(withTimeout(t, 10*time.Second), m.Nodes[0], "partition-1", accountDoc("tegal", "tegal.example"))
	require.NoError(t, err)
	require.NoError(t, m.WaitVersion(withTimeout(t, 8*time.Second), firstVersion))

	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.OutageError}, inject.Faults{Outage: inject.OutageError}))
	_, err = acceptEdit(withTimeout(t, 20*time.Second), m.Nodes[1], "partition-2", accountDoc("brebes", "brebes.example"))
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, string(fault.PlatformUnavailable), refused.Kind)
	for i, n := range m.Nodes {
		r := c.Call(withTimeout(t, 5*time.Second), n, Request{Host: "tegal.example", Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("p-%d", i)), Idempotent: true})
		require.True(t, r.OK(), failures([]Result{r}))
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.SetRelayFaults(relay.Faults{}))
	secondVersion, err := acceptEdit(withTimeout(t, 10*time.Second), m.Nodes[1], "partition-2", accountDoc("brebes", "brebes.example"))
	require.NoError(t, err)
	require.Greater(t, secondVersion, firstVersion)
	require.NoError(t, m.WaitVersion(withTimeout(t, 8*time.Second), secondVersion))
	// Dead members are probed again every 10 s.
	require.NoError(t, m.WaitEndpoints(withTimeout(t, 30*time.Second), len(m.Nodes)))
	require.NoError(t, m.CheckInvariants(withTimeout(t, 5*time.Second)))
}

// TestMassRestart guards against violations of invariants I1 and I9: a replaced
// VM that serves a version older than one accepted before its start, when half of
// the nodes or all nodes restart at once, or during a platform outage.
func TestMassRestart(t *testing.T) {
	m := startConfiguredMesh(t, 8, "seats")
	monitorVersions(t, m)
	c := NewCaller(8)
	defer c.Close()
	var latest mesh.Version
	round := 0
	restart := func(ns []*Node, during func()) {
		round++
		for _, n := range ns {
			require.NoError(t, n.KillWithServer())
		}
		during()
		g, ctx := errgroup.WithContext(withTimeout(t, 20*time.Second))
		for i, n := range ns {
			g.Go(func() error {
				if err := n.startWithServer(ctx); err != nil {
					return err
				}
				return checkFirstServed(ctx, c, n, fmt.Sprintf("r-%d-%d", round, i), latest)
			})
		}
		require.NoError(t, g.Wait())
		require.NoError(t, m.WaitVersion(withTimeout(t, 10*time.Second), latest))
	}
	acceptNewAccount := func(n *Node) {
		var err error
		latest, err = acceptEdit(withTimeout(t, 10*time.Second), n, mesh.ChangeID(fmt.Sprintf("restart-%d", round)), accountDoc(fmt.Sprintf("a%d", round), fmt.Sprintf("a%d.example", round)))
		require.NoError(t, err)
	}
	restart(m.Nodes[:4], func() { acceptNewAccount(m.Nodes[6]) })
	restart(m.Nodes[4:], func() { acceptNewAccount(m.Nodes[1]) })
	acceptNewAccount(m.Nodes[3])
	restart(m.Nodes, func() {})
	acceptNewAccount(m.Nodes[2])
	require.NoError(t, m.WaitVersion(withTimeout(t, 10*time.Second), latest))
	// Peers hold the newest version, so nodes can start during an outage.
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.OutageError}, inject.Faults{Outage: inject.OutageError}))
	restart(m.Nodes[:4], func() {})
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.CheckInvariants(withTimeout(t, 5*time.Second)))
}

// checkFirstServed sends requests to n until one is served. It returns an error
// if the version that served it is older than minVersion.
func checkFirstServed(ctx context.Context, c *Caller, n *Node, id string, minVersion mesh.Version) error {
	for i := 0; ; i++ {
		r := c.Call(ctx, n, Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("%s-%d", id, i)), Idempotent: true})
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s served no request: %w; last response: status %d %s (%s): %w", n.Name, err, r.Status, r.Kind, r.Reason, r.Err)
		}
		if r.OK() {
			var v mesh.Version
			if _, err := fmt.Sscan(r.Version, &v); err != nil || v < minVersion {
				return fmt.Errorf("%s served with version %q, want at least %d", n.Name, r.Version, minVersion)
			}
			return nil
		}
		_ = wait.For(ctx, pollInterval)
	}
}

// TestNoPlatformNoPeers guards against nodes that serve although neither the
// platform nor a peer has confirmed that their configuration is the newest.
func TestNoPlatformNoPeers(t *testing.T) {
	m := startConfiguredMesh(t, 2, "seats")
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.OutageReset}, inject.Faults{Outage: inject.OutageReset}))
	for _, n := range m.Nodes {
		require.NoError(t, n.KillWithServer())
	}
	for _, n := range m.Nodes {
		require.NoError(t, n.startWithServer(t.Context()))
	}
	c := NewCaller(8)
	defer c.Close()
	for i := range 30 {
		r := c.Call(withTimeout(t, 5*time.Second), m.Nodes[i%2], Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("n-%d", i)), Idempotent: true})
		require.Equal(t, fault.NotReady, r.Kind, failures([]Result{r}))
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.WaitVersion(withTimeout(t, 20*time.Second), 1))
}

// TestLostResponses guards against an accept that is applied twice or not at all
// because a response of the platform was lost, and against two changes that
// become the same version.
func TestLostResponses(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats")
	monitorVersions(t, m)
	require.NoError(t, m.Platform.SetServiceFaults(t.Context(), map[string]inject.Faults{"table": {LoseResponse: 0.5, Operations: []string{"TransactWriteItems"}}}))
	var mu sync.Mutex
	versions := make(map[mesh.Version]mesh.ChangeID)
	var wg sync.WaitGroup
	const edits = 12
	for i := range edits {
		wg.Go(func() {
			id := mesh.ChangeID(fmt.Sprintf("lost-%d", i))
			ctx := withTimeout(t, 25*time.Second)
			var v mesh.Version
			err := Poll(ctx, func(ctx context.Context) (err error) {
				v, err = acceptEdit(ctx, m.Nodes[i%4], id, accountDoc(fmt.Sprintf("l%d", i), fmt.Sprintf("l%d.example", i)))
				return err
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("edit %d: %v", i, err)
				return
			}
			if other, ok := versions[v]; ok {
				t.Errorf("changes %s and %s both became version %d", other, id, v)
			}
			versions[v] = id
		})
	}
	wg.Wait()
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	history, err := m.Nodes[0].Operator().History(t.Context(), 100)
	require.NoError(t, err)
	count := make(map[mesh.ChangeID]int)
	for _, e := range history {
		count[e.Change]++
		if id, ok := versions[e.Version]; ok {
			require.Equal(t, id, e.Change)
		}
	}
	for i := range edits {
		require.Equal(t, 1, count[mesh.ChangeID(fmt.Sprintf("lost-%d", i))], i)
	}
	require.NoError(t, m.WaitVersion(withTimeout(t, 10*time.Second), edits+1))
}

// TestPausedNode guards against violations of invariants I1 and I9: a node that
// was paused for longer than every timeout and then serves requests, queued during
// the pause or sent right after it, with the version from before the pause.
func TestPausedNode(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats")
	monitorVersions(t, m)
	c := NewCaller(64)
	defer c.Close()
	n := m.Nodes[0]
	for round := range 2 {
		require.NoError(t, n.Process().Freeze())
		time.Sleep(3500 * time.Millisecond)
		minVersion, err := acceptEdit(withTimeout(t, 10*time.Second), m.Nodes[1], mesh.ChangeID(fmt.Sprintf("paused-%d", round)), accountDoc("tegal", fmt.Sprintf("tegal%d.example", round)))
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
		ctx := withTimeout(t, 3*time.Second)
		load := Load{Caller: c, Workers: 16, Pause: time.Millisecond, Timeout: 10 * time.Second,
			Next: func(i int) (*Node, Request) {
				return n, Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("z-%d-%d", round, i)), Idempotent: true}
			}}
		resumed := time.AfterFunc(500*time.Millisecond, func() { _ = n.Process().Resume() })
		results := load.Run(ctx, 0)
		require.False(t, resumed.Stop())
		served, stale := 0, 0
		for _, r := range results {
			if !r.OK() {
				require.True(t, r.NotRun(), failures([]Result{r}))
				continue
			}
			served++
			var got mesh.Version
			_, err := fmt.Sscan(r.Version, &got)
			require.NoError(t, err)
			if got < minVersion {
				stale++
			}
		}
		require.Positive(t, served)
		require.Zero(t, stale, "of %d requests served after the pause", served)
	}
	require.NoError(t, m.CheckInvariants(withTimeout(t, 5*time.Second)))
}

// TestConflict guards against concurrent edits of one document that are both
// accepted, and against a rejected edit whose error does not show both values.
func TestConflict(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats")
	editOfRevision1 := func(h string) string { return "# revision 1 of account/solo\n" + accountDoc("solo", h) }
	type outcome struct {
		out Output
		err error
	}
	outcomes := make([]outcome, 4)
	var wg sync.WaitGroup
	for i, n := range m.Nodes {
		path := writeConfig(t, m, fmt.Sprintf("race-%d.yaml", i), editOfRevision1(fmt.Sprintf("race%d.example", i)))
		wg.Go(func() {
			outcomes[i].out, outcomes[i].err = m.RunCommand(withTimeout(t, 20*time.Second), "accept", "--node", n.Addrs().Operator, "--wait", path)
		})
	}
	wg.Wait()
	winner := -1
	for i, e := range outcomes {
		require.NoError(t, e.err)
		if e.out.ExitCode == 0 {
			require.Equal(t, -1, winner, "both %d and %d were accepted", winner, i)
			winner = i
		}
	}
	require.NotEqual(t, -1, winner)
	for i, e := range outcomes {
		if i != winner {
			require.Equal(t, 1, e.out.ExitCode, e.out.Stderr)
			require.Contains(t, e.out.Stderr, "conflict")
			require.Contains(t, e.out.Stderr, fmt.Sprintf("race%d.example", i))
			require.Contains(t, e.out.Stderr, fmt.Sprintf("race%d.example", winner))
		}
	}
}
