package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostedLeave guards against an acknowledged leave message that the mesh forgets, so
// that a late heartbeat makes the leaving backend server available again.
func TestHostedLeave(t *testing.T) {
	for name, c := range map[string]struct {
		before func(n *hostedNode) // just before the leave message
		after  func(n *hostedNode) // once it is acknowledged
	}{
		"beside a restart of the node": {before: func(n *hostedNode) {
			require.NoError(t, n.process.Kill())
			n.start()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHostedMesh(t, "look", "look", "look")
			h.configure("look")
			a, b := h.nodes[0], h.nodes[1]
			h.eventually(5*time.Second, func() bool { return a.send("GET", "/look/x").status == 200 && len(a.server.Runs()) > 0 }, "work for the backend server")
			a.heartbeatsOff.Store(true)
			late := a.server.NewHeartbeat()
			a.server.Drain() // health checks fail
			if c.before != nil {
				c.before(a)
			}
			require.Eventually(t, func() bool { return a.server.Deregister(t.Context(), a.portAddr(2)) == nil }, 5*time.Second, 2*time.Millisecond, "acknowledgement")
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
			h.eventually(5*time.Second, func() bool {
				return a.send("GET", "/look/x").status == 200 && len(a.server.Runs()) > before
			}, "the next backend server gets work")
		})
	}
}

const (
	lateHeartbeat = 500 * time.Millisecond // arrival of the late heartbeat after the node is ready
	leaveDrain    = 500 * time.Millisecond // within which the mesh stops sending requests to a leaving backend server
)
