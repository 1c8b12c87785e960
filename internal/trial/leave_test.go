package trial

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// TestHostedLeave guards against an acknowledged leave message that the mesh forgets, so
// that a late heartbeat makes the leaving backend server available again.
func TestHostedLeave(t *testing.T) {
	restart := func(ns ...*hostedNode) {
		for _, n := range ns {
			require.NoError(t, n.process.Kill())
		}
		for _, n := range ns {
			n.start()
		}
	}
	for name, c := range map[string]struct {
		drains bool                // the backend server reports that it drains, in place of a leave message
		before func(n *hostedNode) // just before the message
		after  func(n *hostedNode) // once it is acknowledged
	}{
		"beside a restart of the node": {before: func(n *hostedNode) { restart(n) }},
		"draining, beside a restart":   {drains: true, before: func(n *hostedNode) { restart(n) }},
		"node killed right after":      {after: func(n *hostedNode) { restart(n) }},
		"draining, node killed":        {drains: true, after: func(n *hostedNode) { restart(n) }},
		"all nodes killed":             {after: func(n *hostedNode) { time.Sleep(500 * time.Millisecond); restart(n.h.nodes...) }},
		"draining, all nodes killed":   {drains: true, after: func(n *hostedNode) { time.Sleep(500 * time.Millisecond); restart(n.h.nodes...) }},
		"node killed, store away then": {after: func(n *hostedNode) {
			require.NoError(t, n.h.store.SetFaults(inject.Faults{Outage: inject.OutageError}))
			restart(n)
			time.Sleep(500 * time.Millisecond)
			t.Cleanup(func() { require.NoError(t, n.h.store.SetFaults(inject.Faults{})) })
		}},
		"unknown, nodes stopped and killed": {before: func(n *hostedNode) { restart(n) }, after: func(n *hostedNode) {
			ctx, cancel := context.WithTimeout(t.Context(), hostedGrace)
			defer cancel()
			require.NoError(t, n.process.Stop(ctx))
			restart(n.h.nodes...)
		}},
		"all nodes stopped": {after: func(n *hostedNode) {
			for _, n := range n.h.nodes {
				ctx, cancel := context.WithTimeout(t.Context(), hostedGrace)
				require.NoError(t, n.process.Stop(ctx))
				cancel()
				n.start()
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHostedMesh(t, "look", "look", "look")
			h.configure("look")
			a, b := h.nodes[0], h.nodes[1]
			h.eventually(5*time.Second, func() bool { return a.sendAtOnce("/look/x") && len(a.server.Runs()) > 0 }, "work for the backend server")
			a.heartbeatsOff.Store(true)
			late := a.server.NewHeartbeat()
			a.server.Drain() // health checks fail
			if c.before != nil {
				c.before(a)
			}
			leave := a.server.Deregister
			if c.drains {
				leave = a.server.SendHeartbeat
			}
			require.Eventually(t, func() bool { return leave(t.Context(), a.portAddr(2)) == nil }, 5*time.Second, 2*time.Millisecond, "acknowledgement")
			acknowledged := time.Now()
			if c.after != nil {
				c.after(a)
			}
			h.eventually(5*time.Second, a.ready, "node is ready")
			time.Sleep(lateHeartbeat)
			require.NoError(t, late(t.Context(), a.portAddr(2)))
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
				require.Equal(t, 200, a.send("GET", "/look/x").status)
				require.Equal(t, 200, b.send("GET", "/look/x").status)
			}
			require.Less(t, a.server.LastArrivalTime().Sub(acknowledged), leaveDrain, "last request after the acknowledgement")

			a.server.Restart("i-new")
			before := len(a.server.Runs())
			a.heartbeatsOff.Store(false)
			h.eventually(5*time.Second, func() bool { return a.sendAtOnce("/look/x") && len(a.server.Runs()) > before }, "the next backend server gets work")
		})
	}
}

const (
	lateHeartbeat = 500 * time.Millisecond // arrival of the late heartbeat after the node is ready
	leaveDrain    = 500 * time.Millisecond // within which the mesh stops sending requests to a leaving backend server
)

// sendAtOnce sends several requests to n at a time and reports whether all are served. Of
// requests that follow one another, a node may send all to the endpoint that was faster
// before; these are divided among the endpoints of its availability zone.
func (n *hostedNode) sendAtOnce(path string) bool {
	const requests = 10
	var served atomic.Int64
	var pending sync.WaitGroup
	for range requests {
		pending.Go(func() {
			if n.send("GET", path).status == 200 {
				served.Add(1)
			}
		})
	}
	pending.Wait()
	return served.Load() == requests
}
