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

// branch returns a template whose routes all lead to one service, and the
// client account that uses it.
func branch(service mesh.Service) string {
	route := "  - {name: %s, host: \"${host}\", path: /%s, methods: [GET], service: %s, rank: urgent, idempotent: true, deadline: 2s, retry: {attempts: 3}}\n"
	return "template: branch\nparameters:\n  - {name: host, kind: string, required: true}\nroutes:\n" +
		fmt.Sprintf(route, "a", "a", service) + fmt.Sprintf(route, "b", "b", service) +
		"---\naccount: solo\ntemplate: branch\nparameters: {host: " + host + "}\n"
}

// TestWholeVersions guards invariants I2 and I3: a request that is sent to
// another service than the version that routed it names, or a version of which
// some routes apply before others, while edits move all routes between services.
func TestWholeVersions(t *testing.T) {
	m := startFaulty(t, 4, "seats", "guides")
	watch(t, m)
	c := NewCaller(32)
	defer c.Close()
	services := []mesh.Service{"seats", "guides"}
	of := make(map[string]mesh.Service)
	change := func(i int) {
		v, err := edit(within(t, 10*time.Second), m.Nodes[i%4], mesh.ChangeID(fmt.Sprintf("whole-%d", i)), branch(services[i%2]))
		require.NoError(t, err)
		of[fmt.Sprint(v)] = services[i%2]
	}
	change(0)
	require.NoError(t, m.WaitVersion(within(t, 5*time.Second), 2))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan []Result)
	go func() {
		load := Load{Caller: c, Workers: 8, Pause: time.Millisecond, Timeout: 5 * time.Second,
			Next: func(i int) (*Node, Request) {
				return anyNode(m, i), Request{Host: host, Path: "/" + string("ab"[i%2]), ID: mesh.RequestID(fmt.Sprintf("v-%d", i)), Idempotent: true}
			}}
		done <- load.Run(ctx, 0)
	}()
	for i := 1; i < 30; i++ {
		change(i)
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	results := <-done
	require.Empty(t, failures(results))
	audit(t, m, results)
	runs, err := m.Executions()
	require.NoError(t, err)
	seen := make(map[string]bool)
	for _, e := range runs {
		require.Equal(t, of[e.Version], e.Service, "%+v", e)
		require.Equal(t, e.Own, e.Service, "%+v", e)
		seen[e.Version] = true
	}
	require.Greater(t, len(seen), 15)
	t.Logf("%d requests over %d versions", len(results), len(seen))
}

// TestBadVersion guards invariants I2 and I3: an edit that is invalid as a whole
// and that is accepted, and a damaged object that is applied.
func TestBadVersion(t *testing.T) {
	m := startFaulty(t, 2, "seats")
	for i, doc := range []string{
		strings.ReplaceAll(branch("seats"), "service: seats", "service: none"),
		strings.ReplaceAll(branch("seats"), "rank: urgent", "rank: none"),
		account("tegal", host), // the host belongs to another account
		"account: tegal\ntemplate: none\nparameters: {host: tegal.example}\n",
		"fleet: trial\nranks: [{name: urgent, target: 1s, worth: 1, floor: 0.1}]\nservices: []\n",
	} {
		_, err := edit(within(t, 5*time.Second), m.Nodes[0], mesh.ChangeID(fmt.Sprintf("bad-%d", i)), doc)
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
		require.NoError(t, n.startBoth(t.Context()))
	}
	// Nodes read the platform some time after their start. Each is observed for
	// two more seconds after damaged objects were read.
	const least = 4
	begin, end := time.Now(), time.Time{}
	for end.IsZero() || time.Now().Before(end) {
		for _, n := range m.Nodes {
			st, err := n.Operator().Status(t.Context(), 0)
			require.NoError(t, err)
			require.Zero(t, st.Version)
			require.False(t, st.Ready)
		}
		pl, err := m.Platform.Status(t.Context())
		require.NoError(t, err)
		if end.IsZero() && pl["object"].Failed["corrupt"] >= least {
			end = time.Now().Add(2 * time.Second)
		}
		require.Less(t, time.Since(begin), 20*time.Second, "the nodes read no objects")
		time.Sleep(pollPause)
	}
	require.NoError(t, m.Platform.SetFaults(t.Context(), inject.Faults{}, inject.Faults{}))
	require.NoError(t, m.WaitVersion(within(t, 20*time.Second), 1))
}

// TestClaims guards against an Idempotency-Key that runs twice when its request
// is repeated, at the same time or later and through any node, while processes
// are killed and the platform fails.
func TestClaims(t *testing.T) {
	m := startFaulty(t, 4, "seats")
	c := NewCaller(64)
	defer c.Close()
	const (
		repeats = 3
		rounds  = 4 // at most, until enough keys ran
		enough  = 100
	)
	round := 0
	load := Load{Caller: c, Workers: 48, Pause: 5 * time.Millisecond, Timeout: 5 * time.Second,
		Next: func(i int) (*Node, Request) {
			// The repeats of a key are spread over the requests that follow.
			key := fmt.Sprintf("key-%d-%d", round, i/(repeats*20)*20+i%20)
			return anyNode(m, i), Request{Method: "POST", Host: host, Path: "/claim?time=exp:5ms", Body: "seat", Key: key, ID: mesh.RequestID(fmt.Sprintf("c-%d-%d", round, i))}
		}}
	var results []Result
	count := make(map[string]int)
	for ; round < rounds && len(count) <= enough; round++ {
		results = append(results, underChaos(t, m, load, length(t, 8*time.Second), []Fault{KillServer, KillNode, FreezeNode, CutPeer, Outage})...)
		runs, err := m.Executions()
		require.NoError(t, err)
		clear(count)
		for _, e := range runs {
			count[e.Key]++
		}
	}
	for k, n := range count {
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
	require.NoError(t, m.CheckInvariants(within(t, 10*time.Second)))
	for k, n := range kinds {
		t.Logf("%6d %s", n, k)
	}
	require.Greater(t, len(count), enough)
	t.Logf("%d requests for %d keys that ran: %d answered, %d refused as not run", len(results), len(count), answered, refused)
}
