package trial

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// branchConfig returns a template with two routes to service, and the client
// account that uses it.
func branchConfig(service mesh.Service) string {
	route := "  - {name: %s, host: \"${host}\", path: /%s, methods: [GET], service: %s, rank: urgent, idempotent: true, deadline: 2s, retry: {attempts: 3}}\n"
	return "template: branch\nparameters:\n  - {name: host, kind: string, required: true}\nroutes:\n" +
		fmt.Sprintf(route, "a", "a", service) + fmt.Sprintf(route, "b", "b", service) +
		"---\naccount: solo\ntemplate: branch\nparameters: {host: " + host + "}\n"
}

// TestWholeVersions guards against violations of invariants I2 and I3 while
// edits move all routes between services: a request sent to a service other than
// the one in the version that routed it, or a version applied only in part.
func TestWholeVersions(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats", "guides")
	monitorVersions(t, m)
	c := NewCaller(32)
	defer c.Close()
	services := []mesh.Service{"seats", "guides"}
	serviceOf := make(map[string]mesh.Service)
	moveRoutes := func(i int) {
		v, err := acceptEdit(withTimeout(t, 10*time.Second), m.Nodes[i%4], mesh.ChangeID(fmt.Sprintf("whole-%d", i)), branchConfig(services[i%2]))
		require.NoError(t, err)
		serviceOf[fmt.Sprint(v)] = services[i%2]
	}
	moveRoutes(0)
	require.NoError(t, m.WaitVersion(withTimeout(t, 5*time.Second), 2))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan []Result)
	go func() {
		load := Load{Caller: c, Workers: 8, Pause: time.Millisecond, Timeout: 5 * time.Second,
			Next: func(i int) (*Node, Request) {
				return randomNode(m, i), Request{Host: host, Path: "/" + string("ab"[i%2]), ID: mesh.RequestID(fmt.Sprintf("v-%d", i)), Idempotent: true}
			}}
		done <- load.Run(ctx, 0)
	}()
	for i := 1; i < 30; i++ {
		moveRoutes(i)
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	results := <-done
	require.Empty(t, failures(results))
	audit(t, m, results)
	runs, err := m.Executions()
	require.NoError(t, err)
	versionsSeen := make(map[string]bool)
	for _, e := range runs {
		require.Equal(t, serviceOf[e.Version], e.Service, "%+v", e)
		require.Equal(t, e.BackendService, e.Service, "%+v", e)
		versionsSeen[e.Version] = true
	}
	require.Greater(t, len(versionsSeen), 15)
	t.Logf("%d requests over %d versions", len(results), len(versionsSeen))
}

// TestBadVersion guards against violations of invariants I2 and I3: an accepted
// edit that makes the configuration invalid, or an applied corrupt object.
func TestBadVersion(t *testing.T) {
	m := startConfiguredMesh(t, 2, "seats")
	for i, doc := range []string{
		strings.ReplaceAll(branchConfig("seats"), "service: seats", "service: none"),
		strings.ReplaceAll(branchConfig("seats"), "rank: urgent", "rank: none"),
		accountDoc("tegal", host), // the host belongs to another account
		"account: tegal\ntemplate: none\nparameters: {host: tegal.example}\n",
		"fleet: trial\nranks: [{name: urgent, target: 1s, worth: 1, floor: 0.1}]\nservices: []\n",
	} {
		_, err := acceptEdit(withTimeout(t, 5*time.Second), m.Nodes[0], mesh.ChangeID(fmt.Sprintf("bad-%d", i)), doc)
		var refused *client.Error
		require.ErrorAs(t, err, &refused, doc)
		require.Equal(t, string(fault.InvalidConfig), refused.Kind, refused.Reason)
	}
	st, err := m.Nodes[0].Operator().Status(t.Context(), 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, st.Version)

	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{Corrupt: 1, Operations: []string{"GetObject"}}))
	for _, n := range m.Nodes {
		require.NoError(t, n.KillWithServer())
	}
	for _, n := range m.Nodes {
		require.NoError(t, n.startWithServer(t.Context()))
	}
	// Nodes read the platform some time after their start. They are checked for
	// two more seconds after corrupt objects were read.
	const minCorruptReads = 4
	begin, deadline := time.Now(), time.Time{}
	for deadline.IsZero() || time.Now().Before(deadline) {
		for _, n := range m.Nodes {
			st, err := n.Operator().Status(t.Context(), 0)
			require.NoError(t, err)
			require.Zero(t, st.Version)
			require.False(t, st.Ready)
		}
		platformStatus, err := m.Platform.Status(t.Context())
		require.NoError(t, err)
		if deadline.IsZero() && platformStatus["object"].Failed["corrupt"] >= minCorruptReads {
			deadline = time.Now().Add(2 * time.Second)
		}
		require.Less(t, time.Since(begin), 20*time.Second, "the nodes read no objects")
		time.Sleep(pollInterval)
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.WaitVersion(withTimeout(t, 20*time.Second), 1))
}

// TestClaims guards against an Idempotency-Key that runs twice when its request
// is repeated, concurrently or later and through any node, while processes are
// killed and the platform fails.
func TestClaims(t *testing.T) {
	m := startConfiguredMesh(t, 4, "seats")
	c := NewCaller(64)
	defer c.Close()
	const (
		repeatsPerKey = 3
		maxRounds     = 4 // until minKeys keys have run
		minKeys       = 100
	)
	round := 0
	load := Load{Caller: c, Workers: 48, Pause: 5 * time.Millisecond, Timeout: 5 * time.Second,
		Next: func(i int) (*Node, Request) {
			// The repeats of a key are 20 requests apart.
			key := fmt.Sprintf("key-%d-%d", round, i/(repeatsPerKey*20)*20+i%20)
			return randomNode(m, i), Request{Method: "POST", Host: host, Path: "/claim?time=exp:5ms", Body: "seat", Key: key, ID: mesh.RequestID(fmt.Sprintf("c-%d-%d", round, i))}
		}}
	var results []Result
	runsByKey := make(map[string]int)
	for ; round < maxRounds && len(runsByKey) <= minKeys; round++ {
		results = append(results, runUnderChaos(t, m, load, trialDuration(t, 8*time.Second), []Fault{KillServer, KillNode, FreezeNode, CutPeer, Outage})...)
		runs, err := m.Executions()
		require.NoError(t, err)
		clear(runsByKey)
		for _, e := range runs {
			runsByKey[e.IdempotencyKey]++
		}
	}
	for k, n := range runsByKey {
		require.LessOrEqual(t, n, 1, k)
	}
	answered, refused := 0, 0
	kinds := make(map[string]int)
	for _, r := range results {
		kinds[fmt.Sprintf("%d %s", r.Status, r.Kind)]++
		switch {
		case r.OK():
			answered++
		case r.NotRun():
			refused++
		}
	}
	require.NoError(t, m.CheckInvariants(withTimeout(t, 10*time.Second)))
	for k, n := range kinds {
		t.Logf("%6d %s", n, k)
	}
	require.Greater(t, len(runsByKey), minKeys)
	t.Logf("%d requests for %d keys that ran: %d answered, %d refused as not run", len(results), len(runsByKey), answered, refused)
}
