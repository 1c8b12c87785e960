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

// faultConfig is the configuration of the tests that inject faults.
const faultConfig = `fleet: trial
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

// startConfiguredMesh starts a mesh with relays and waits until faultConfig is
// active on all nodes and all endpoints are ready.
func startConfiguredMesh(t *testing.T, n int, services ...mesh.Service) *Mesh {
	t.Helper()
	m := startMesh(t, Config{Nodes: NodeSpecs(n, zones, services), Relays: true, Seed: seed(t)})
	v := acceptFiles(t, m, m.Nodes[0], writeConfig(t, m, "trial.yaml", faultConfig))
	require.NoError(t, m.WaitVersion(withTimeout(t, 15*time.Second), v))
	require.NoError(t, m.WaitEndpoints(withTimeout(t, 15*time.Second), n))
	return m
}

// seed returns LAVENDERRILL_TRIAL_SEED, or 1 if it is not set.
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

// trialDuration returns LAVENDERRILL_TRIAL_TIME, or def if it is not set.
func trialDuration(t *testing.T, def time.Duration) time.Duration {
	t.Helper()
	v := os.Getenv("LAVENDERRILL_TRIAL_TIME")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	require.NoError(t, err)
	return d
}

// runUnderChaos runs load for d while faults are injected and returns the results.
func runUnderChaos(t *testing.T, m *Mesh, load Load, d time.Duration, faults []Fault) []Result {
	t.Helper()
	ctx := withTimeout(t, d)
	chaos := &Chaos{Mesh: m, Seed: seed(t), Faults: faults, Pause: 100 * time.Millisecond, MaxConcurrent: 2}
	if testing.Verbose() {
		chaos.Log = t.Logf
	}
	type outcome struct {
		counts map[Fault]int
		err    error
	}
	done := make(chan outcome)
	go func() {
		counts, err := chaos.Run(ctx)
		done <- outcome{counts, err}
	}()
	results := load.Run(ctx, 0)
	result := <-done
	require.NoError(t, result.err)
	t.Logf("faults: %v", result.counts)
	return results
}

// audit compares results with the journals and requires that no invariant was
// violated.
func audit(t *testing.T, m *Mesh, results []Result) Audit {
	t.Helper()
	runs, err := m.Executions()
	require.NoError(t, err)
	a := NewAudit(results, runs)
	t.Log(a)
	require.NoError(t, a.Check())
	require.NoError(t, m.CheckInvariants(withTimeout(t, 10*time.Second)))
	return a
}

// randomNode returns a node drawn at random with seed i.
func randomNode(m *Mesh, i int) *Node {
	return m.Nodes[rand.New(rand.NewPCG(uint64(i), 1)).IntN(len(m.Nodes))]
}

// TestAtMostOnce guards against violations of invariants I6 and I5 while
// processes are killed and frozen and connections are cut, truncated and held: a
// non-idempotent request that runs twice, or a request refused as not run that ran.
func TestAtMostOnce(t *testing.T) {
	m := startConfiguredMesh(t, 6, "seats")
	c := NewCaller(64)
	defer c.Close()
	load := Load{Caller: c, Workers: 48, Pause: time.Millisecond, Timeout: 5 * time.Second,
		Next: func(i int) (*Node, Request) {
			q := Request{Method: "POST", Host: host, ID: mesh.RequestID(fmt.Sprintf("b-%d", i)), Body: "seat",
				Path: "/book?size=300&time=exp:5ms"}
			if i%8 == 0 {
				q.Path, q.Key = "/claim?size=300&time=exp:5ms", string(q.ID)
			}
			return randomNode(m, i), q
		}}
	faults := append(append([]Fault{Outage}, ProcessFaults...), RelayFaults...)
	results := runUnderChaos(t, m, load, trialDuration(t, 12*time.Second), faults)
	a := audit(t, m, results)
	require.Greater(t, a.OK, a.Requests/4)
}
