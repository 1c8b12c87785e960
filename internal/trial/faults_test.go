package trial

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// configuration is that of the tests under faults.
const configuration = `fleet: trial
ranks:
  - {name: urgent, target: 500ms, worth: 100, floor: 0.10}
  - {name: bulk, target: 10s, worth: 1, floor: 0.05, bulk: true}
services:
  - {name: seats, slots: 20, connections: 110}
  - {name: guides, slots: 20, connections: 110}
---
template: branch
parameters:
  - {name: host, kind: string, required: true}
routes:
  - {name: book, host: "${host}", path: /book, methods: [POST], service: seats, rank: urgent, idempotent: false, deadline: 2s, retry: {attempts: 3}}
  - {name: claim, host: "${host}", path: /claim, methods: [POST], service: seats, rank: urgent, idempotent: false, deadline: 2s, retry: {attempts: 3}, claim: true}
  - {name: stock, host: "${host}", path: /stock, methods: [GET], service: seats, rank: urgent, idempotent: true, deadline: 5s, retry: {attempts: 3}}
  - {name: guide, host: "${host}", path: /guide, methods: [GET], service: guides, rank: bulk, idempotent: true, deadline: 10s, retry: {attempts: 3}}
---
account: solo
template: branch
parameters: {host: solo.example}
`

const host = "solo.example"

// startFaulty starts a mesh with relays whose configuration is accepted.
func startFaulty(t *testing.T, n int, services ...mesh.Service) *Mesh {
	t.Helper()
	m := startMesh(t, Config{Nodes: NodeSpecs(n, zones, services), Relays: true, Seed: seed(t)})
	v := accept(t, m, m.Nodes[0], write(t, m, "trial.yaml", configuration))
	require.NoError(t, m.WaitVersion(within(t, 15*time.Second), v))
	require.NoError(t, m.WaitEndpoints(within(t, 15*time.Second), n))
	return m
}

// seed returns LAVENDERRILL_TRIAL_SEED, or a fixed seed without it.
func seed(t *testing.T) uint64 {
	t.Helper()
	s := uint64(1)
	if v := os.Getenv("LAVENDERRILL_TRIAL_SEED"); v != "" {
		var err error
		s, err = strconv.ParseUint(v, 10, 64)
		require.NoError(t, err)
	}
	t.Logf("LAVENDERRILL_TRIAL_SEED=%d", s)
	return s
}

// length returns LAVENDERRILL_TRIAL_TIME, or def without it.
func length(t *testing.T, def time.Duration) time.Duration {
	t.Helper()
	v := os.Getenv("LAVENDERRILL_TRIAL_TIME")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	require.NoError(t, err)
	return d
}

// underChaos runs load for d under faults and returns the results.
func underChaos(t *testing.T, m *Mesh, load Load, d time.Duration, faults []Fault) []Result {
	t.Helper()
	ctx := within(t, d)
	chaos := &Chaos{Mesh: m, Seed: seed(t), Faults: faults, Pause: 100 * time.Millisecond, MaxConcurrent: 2}
	if testing.Verbose() {
		chaos.Log = t.Logf
	}
	type end struct {
		counts map[Fault]int
		err    error
	}
	done := make(chan end)
	go func() {
		counts, err := chaos.Run(ctx)
		done <- end{counts, err}
	}()
	results := load.Run(ctx, 0)
	e := <-done
	require.NoError(t, e.err)
	t.Logf("faults: %v", e.counts)
	return results
}

// audit compares results with the journals and requires that no invariant is
// broken.
func audit(t *testing.T, m *Mesh, results []Result) Audit {
	t.Helper()
	runs, err := m.Executions()
	require.NoError(t, err)
	a := NewAudit(results, runs)
	t.Log(a)
	require.NoError(t, a.Check())
	require.NoError(t, m.CheckInvariants(within(t, 10*time.Second)))
	return a
}

// anyNode returns a running node chosen by i.
func anyNode(m *Mesh, i int) *Node {
	return m.Nodes[rand.New(rand.NewPCG(uint64(i), 1)).IntN(len(m.Nodes))]
}

// TestAtMostOnce guards invariants I6 and I5: a non-idempotent request that
// runs twice, or a refusal that says not run although it ran, while processes
// are killed and frozen and connections are cut, truncated and held.
func TestAtMostOnce(t *testing.T) {
	m := startFaulty(t, 6, "seats")
	c := NewCaller(64)
	defer c.Close()
	load := Load{Caller: c, Workers: 48, Pause: time.Millisecond, Timeout: 5 * time.Second,
		Next: func(i int) (*Node, Request) {
			q := Request{Method: "POST", Host: host, ID: mesh.RequestID(fmt.Sprintf("b-%d", i)), Body: "seat",
				Path: "/book?size=300&time=exp:5ms"}
			if i%8 == 0 {
				q.Path, q.Key = "/claim?size=300&time=exp:5ms", string(q.ID)
			}
			return anyNode(m, i), q
		}}
	faults := append(append([]Fault{Outage}, ProcessFaults...), RelayFaults...)
	results := underChaos(t, m, load, length(t, 12*time.Second), faults)
	a := audit(t, m, results)
	require.Greater(t, a.OK, a.Requests/4)
}
