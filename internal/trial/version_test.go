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

// account returns the document of one more client account.
func account(name, host string) string {
	return fmt.Sprintf("account: %s\ntemplate: branch\nparameters: {host: %s}\n", name, host)
}

// edit accepts a document through n without waiting for other nodes.
func edit(ctx context.Context, n *Node, change mesh.ChangeID, doc string) (mesh.Version, error) {
	a, err := n.Operator().Accept(ctx, client.AcceptRequest{
		Change:   change,
		Operator: "trial",
		Edit:     client.Edit{Files: []client.File{{Name: "edit.yaml", Content: doc}}},
	})
	return a.Version, err
}

// watch observes m until the end of the test, which fails if a node goes back
// to an older version.
func watch(t *testing.T, m *Mesh) {
	t.Helper()
	w := NewVersionMonitor(m)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		broken, looks := w.Violations()
		require.Empty(t, broken)
		require.Positive(t, looks)
	})
}

// TestPartition guards invariants I1 and I9: a version that does not reach the
// other side of a partition through the platform, an edit that is accepted
// without the platform, and a side that goes back or stays behind after the
// partition has ended.
func TestPartition(t *testing.T) {
	m := startFaulty(t, 6, "seats")
	watch(t, m)
	c := NewCaller(8)
	defer c.Close()
	side := func(i int) []*Node { return []*Node{m.Nodes[i], m.Nodes[i+2], m.Nodes[i+4]} }
	require.NoError(t, m.Partition(side(0), side(1)))
	// Long enough for each side to declare the other dead.
	time.Sleep(5 * time.Second)
	v, err := edit(within(t, 10*time.Second), m.Nodes[0], "partition-1", account("tegal", "tegal.example"))
	require.NoError(t, err)
	require.NoError(t, m.WaitVersion(within(t, 8*time.Second), v))

	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.Error}, inject.Faults{Outage: inject.Error}))
	_, err = edit(within(t, 20*time.Second), m.Nodes[1], "partition-2", account("brebes", "brebes.example"))
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, string(fault.PlatformUnavailable), refused.Kind)
	for i, n := range m.Nodes {
		r := c.Call(within(t, 5*time.Second), n, Request{Host: "tegal.example", Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("p-%d", i)), Idempotent: true})
		require.True(t, r.OK(), failures([]Result{r}))
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.SetRelayFaults(relay.Faults{}))
	w, err := edit(within(t, 10*time.Second), m.Nodes[1], "partition-2", account("brebes", "brebes.example"))
	require.NoError(t, err)
	require.Greater(t, w, v)
	require.NoError(t, m.WaitVersion(within(t, 8*time.Second), w))
	// Dead members are probed again every 10 s.
	require.NoError(t, m.WaitEndpoints(within(t, 30*time.Second), len(m.Nodes)))
	require.NoError(t, m.CheckInvariants(within(t, 5*time.Second)))
}

// TestMassRestart guards invariants I1 and I9: a replaced VM that serves an
// older version than one accepted before its start, with half of the nodes and
// with all nodes restarted at once, and during an outage of the platform.
func TestMassRestart(t *testing.T) {
	m := startFaulty(t, 8, "seats")
	watch(t, m)
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
		g, ctx := errgroup.WithContext(within(t, 20*time.Second))
		for i, n := range ns {
			g.Go(func() error {
				if err := n.startBoth(ctx); err != nil {
					return err
				}
				return firstServed(ctx, c, n, fmt.Sprintf("r-%d-%d", round, i), latest)
			})
		}
		require.NoError(t, g.Wait())
		require.NoError(t, m.WaitVersion(within(t, 10*time.Second), latest))
	}
	change := func(n *Node) {
		var err error
		latest, err = edit(within(t, 10*time.Second), n, mesh.ChangeID(fmt.Sprintf("restart-%d", round)), account(fmt.Sprintf("a%d", round), fmt.Sprintf("a%d.example", round)))
		require.NoError(t, err)
	}
	restart(m.Nodes[:4], func() { change(m.Nodes[6]) })
	restart(m.Nodes[4:], func() { change(m.Nodes[1]) })
	change(m.Nodes[3])
	restart(m.Nodes, func() {})
	change(m.Nodes[2])
	require.NoError(t, m.WaitVersion(within(t, 10*time.Second), latest))
	// Peers hold the newest version, so an outage does not keep nodes down.
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.Error}, inject.Faults{Outage: inject.Error}))
	restart(m.Nodes[:4], func() {})
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.CheckInvariants(within(t, 5*time.Second)))
}

// firstServed sends requests to n until one is served. It returns an error if
// a version before least served it.
func firstServed(ctx context.Context, c *Caller, n *Node, id string, least mesh.Version) error {
	for i := 0; ; i++ {
		r := c.Call(ctx, n, Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("%s-%d", id, i)), Idempotent: true})
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%s served nothing: %w; last: status %d %s (%s): %w", n.Name, err, r.Status, r.Kind, r.Reason, r.Err)
		}
		if r.OK() {
			var v mesh.Version
			if _, err := fmt.Sscan(r.Version, &v); err != nil || v < least {
				return fmt.Errorf("%s served with version %q, want at least %d", n.Name, r.Version, least)
			}
			return nil
		}
		_ = wait.For(ctx, pollPause)
	}
}

// TestNoPlatformNoPeers guards against nodes that serve without any proof that
// their configuration is the newest.
func TestNoPlatformNoPeers(t *testing.T) {
	m := startFaulty(t, 2, "seats")
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{Outage: inject.Reset}, inject.Faults{Outage: inject.Reset}))
	for _, n := range m.Nodes {
		require.NoError(t, n.KillWithServer())
	}
	for _, n := range m.Nodes {
		require.NoError(t, n.startBoth(t.Context()))
	}
	c := NewCaller(8)
	defer c.Close()
	for i := range 30 {
		r := c.Call(within(t, 5*time.Second), m.Nodes[i%2], Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("n-%d", i)), Idempotent: true})
		require.Equal(t, fault.NotReady, r.Kind, failures([]Result{r}))
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.WaitVersion(within(t, 20*time.Second), 1))
}

// TestLostResponses guards against an accept whose response was lost and that
// is applied twice, or not at all, and against edits of one document of which
// both win.
func TestLostResponses(t *testing.T) {
	m := startFaulty(t, 4, "seats")
	watch(t, m)
	require.NoError(t, m.Platform.SetServiceFaults(t.Context(), map[string]inject.Faults{"table": {Lose: 0.5, Operations: []string{"TransactWriteItems"}}}))
	var mu sync.Mutex
	versions := make(map[mesh.Version]mesh.ChangeID)
	var wg sync.WaitGroup
	const edits = 12
	for i := range edits {
		wg.Go(func() {
			id := mesh.ChangeID(fmt.Sprintf("lost-%d", i))
			ctx := within(t, 25*time.Second)
			var v mesh.Version
			err := Poll(ctx, func(ctx context.Context) (err error) {
				v, err = edit(ctx, m.Nodes[i%4], id, account(fmt.Sprintf("l%d", i), fmt.Sprintf("l%d.example", i)))
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
	h, err := m.Nodes[0].Operator().History(t.Context(), 100)
	require.NoError(t, err)
	count := make(map[mesh.ChangeID]int)
	for _, e := range h {
		count[e.Change]++
		if id, ok := versions[e.Version]; ok {
			require.Equal(t, id, e.Change)
		}
	}
	for i := range edits {
		require.Equal(t, 1, count[mesh.ChangeID(fmt.Sprintf("lost-%d", i))], i)
	}
	require.NoError(t, m.WaitVersion(within(t, 10*time.Second), edits+1))
}

// TestPausedNode guards invariants I1 and I9: a node that was paused for longer
// than every time-out and that then serves requests, which waited meanwhile or
// come at once, with the version from before its pause.
func TestPausedNode(t *testing.T) {
	m := startFaulty(t, 4, "seats")
	watch(t, m)
	c := NewCaller(64)
	defer c.Close()
	n := m.Nodes[0]
	for round := range 2 {
		require.NoError(t, n.Process().Freeze())
		time.Sleep(3500 * time.Millisecond)
		v, err := edit(within(t, 10*time.Second), m.Nodes[1], mesh.ChangeID(fmt.Sprintf("paused-%d", round)), account("tegal", fmt.Sprintf("tegal%d.example", round)))
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
		ctx := within(t, 3*time.Second)
		load := Load{Caller: c, Workers: 16, Pause: time.Millisecond, Timeout: 10 * time.Second,
			Next: func(i int) (*Node, Request) {
				return n, Request{Host: host, Path: "/stock", ID: mesh.RequestID(fmt.Sprintf("z-%d-%d", round, i)), Idempotent: true}
			}}
		resumed := time.AfterFunc(500*time.Millisecond, func() { _ = n.Process().Resume() })
		results := load.Run(ctx, 0)
		require.False(t, resumed.Stop())
		served, old := 0, 0
		for _, r := range results {
			if !r.OK() {
				require.True(t, r.NotRun(), failures([]Result{r}))
				continue
			}
			served++
			var got mesh.Version
			_, err := fmt.Sscan(r.Version, &got)
			require.NoError(t, err)
			if got < v {
				old++
			}
		}
		require.Positive(t, served)
		require.Zero(t, old, "of %d requests served after the pause", served)
	}
	require.NoError(t, m.CheckInvariants(within(t, 5*time.Second)))
}

// TestConflict guards against two edits of one document of which both win, and
// against a loser that is not shown both values.
func TestConflict(t *testing.T) {
	m := startFaulty(t, 4, "seats")
	base := func(h string) string { return "# revision 1 of account/solo\n" + account("solo", h) }
	type end struct {
		out Output
		err error
	}
	ends := make([]end, 4)
	var wg sync.WaitGroup
	for i, n := range m.Nodes {
		path := write(t, m, fmt.Sprintf("race-%d.yaml", i), base(fmt.Sprintf("race%d.example", i)))
		wg.Go(func() {
			ends[i].out, ends[i].err = m.RunCommand(within(t, 20*time.Second), "accept", "--node", n.Addrs().Operator, "--wait", path)
		})
	}
	wg.Wait()
	won := -1
	for i, e := range ends {
		require.NoError(t, e.err)
		if e.out.ExitCode == 0 {
			require.Equal(t, -1, won, "both %d and %d were accepted", won, i)
			won = i
		}
	}
	require.NotEqual(t, -1, won)
	for i, e := range ends {
		if i != won {
			require.Equal(t, 1, e.out.ExitCode, e.out.Stderr)
			require.Contains(t, e.out.Stderr, "conflict")
			require.Contains(t, e.out.Stderr, fmt.Sprintf("race%d.example", i))
			require.Contains(t, e.out.Stderr, fmt.Sprintf("race%d.example", won))
		}
	}
}
