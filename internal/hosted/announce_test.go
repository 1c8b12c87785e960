package hosted

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestRecheck guards against a backend server that stays withdrawn because it refused a
// request that was meant for the previous instance, and against a new instance that gets
// no work until its first heartbeat.
func TestRecheck(t *testing.T) {
	var id atomic.Value
	id.Store("b")
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Lavenderrill-Instance-Id", id.Load().(string))
	}))
	defer s.Close()
	n := &Node{log: zap.NewNop(), askHealth: platform.CheckHealth, recheck: make(chan struct{}, 1)}
	addr := mesh.Addr(s.Listener.Addr().String())
	n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: addr, FirstStart: true})
	n.config.Store(&platform.Config{Snapshot: &config.Snapshot{}})
	n.gate = backend.New(backend.Config{Snapshot: n.snapshot})
	heartbeat := func(id mesh.Instance, sequence int64) {
		require.NoError(t, n.handleHeartbeat(platform.Heartbeat{Instance: id, Service: "s", Addr: addr, Slots: 18, Sequence: sequence, Born: 1}))
	}
	heartbeat("b", 1)
	require.Equal(t, member.Ready, n.gate.Status().State)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- n.findBackend(ctx) }()
	n.recheck <- struct{}{}
	time.Sleep(healthCheckDelay + 100*time.Millisecond)
	heartbeat("b", 2)
	require.Equal(t, member.Ready, n.gate.Status().State)
	require.Equal(t, 18, n.gate.Status().Slots)

	id.Store("c")
	n.recheck <- struct{}{}
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.instance.id == "c"
	}, time.Second, time.Millisecond)
	require.Equal(t, member.Ready, n.gate.Status().State)
	require.Equal(t, defaultSlots, n.gate.Status().Slots)

	heartbeat("b", 3)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, defaultSlots, n.gate.Status().Slots, "a late heartbeat of the previous instance was believed")
	id.Store("b")
	heartbeat("b", 4)
	require.Eventually(t, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.instance.id == "b"
	}, time.Second, time.Millisecond, "the previous instance is there again")
	heartbeat("b", 5)
	require.Equal(t, 18, n.gate.Status().Slots)
	cancel()
	require.NoError(t, <-ended)
}

// TestOvertakenHealthCheck guards against a health check whose answer overrides a leave
// message or a heartbeat that arrived after the check was sent.
func TestOvertakenHealthCheck(t *testing.T) {
	for name, c := range map[string]struct {
		known     []platform.Heartbeat // before the check
		overtakes func(n *Node)
		id        mesh.Instance // that the gate has afterwards
		state     member.EndpointState
	}{
		"unknown instance leaves": {
			overtakes: func(n *Node) { n.handleLeave("a", 1) },
			state:     member.NoEndpoint,
		},
		"next instance reports": {
			known: []platform.Heartbeat{{Instance: "b", Sequence: 1, Born: 0}},
			overtakes: func(n *Node) {
				require.NoError(t, n.handleHeartbeat(report(n, platform.Heartbeat{Instance: "c", Sequence: 1, Born: 2})))
			},
			id: "c", state: member.Ready,
		},
		"next instance reports and leaves": {
			known: []platform.Heartbeat{{Instance: "b", Sequence: 1, Born: 0}},
			overtakes: func(n *Node) {
				require.NoError(t, n.handleHeartbeat(report(n, platform.Heartbeat{Instance: "c", Sequence: 2, Born: 2})))
				n.handleLeave("c", 2)
				require.NoError(t, n.handleHeartbeat(report(n, platform.Heartbeat{Instance: "c", Sequence: 1, Born: 2})))
			},
			state: member.NoEndpoint,
		},
		"reports itself": {
			overtakes: func(n *Node) {
				require.NoError(t, n.handleHeartbeat(report(n, platform.Heartbeat{Instance: "a", Sequence: 1, Born: 1})))
			},
			id: "a", state: member.Ready,
		},
		"nothing": {overtakes: func(*Node) {}, id: "a", state: member.Ready},
	} {
		t.Run(name, func(t *testing.T) {
			asked, answer := make(chan struct{}), make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(asked)
				<-answer
				w.Header().Set("Lavenderrill-Instance-Id", "a")
			}))
			defer s.Close()
			n := &Node{log: zap.NewNop(), askHealth: platform.CheckHealth, recheck: make(chan struct{}, 1)}
			n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: mesh.Addr(s.Listener.Addr().String()), FirstStart: true})
			n.config.Store(&platform.Config{Snapshot: &config.Snapshot{}})
			n.gate = backend.New(backend.Config{Snapshot: n.snapshot})
			for _, b := range c.known {
				require.NoError(t, n.handleHeartbeat(report(n, b)))
			}
			ended := make(chan struct{})
			go func() {
				n.checkHealth(t.Context())
				close(ended)
			}()
			<-asked
			c.overtakes(n)
			close(answer)
			<-ended
			require.Equal(t, c.state, n.gate.Status().State)
			if c.id != "" {
				require.Equal(t, c.id, n.instance.id)
			}
		})
	}
}

// report completes b with what the heartbeats of the backend server of n have in common.
func report(n *Node, b platform.Heartbeat) platform.Heartbeat {
	set := n.nodeSettings.Load()
	b.Service, b.Addr, b.Slots = set.Service, set.Backend, 18
	return b
}

// TestForeignHeartbeat guards against a heartbeat of another backend server that takes
// the place of the one on this VM.
func TestForeignHeartbeat(t *testing.T) {
	n := &Node{log: zap.NewNop(), askHealth: platform.CheckHealth, recheck: make(chan struct{}, 1)}
	n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: "127.0.0.1:5", FirstStart: true})
	n.config.Store(&platform.Config{Snapshot: &config.Snapshot{}})
	n.gate = backend.New(backend.Config{Snapshot: n.snapshot})
	own := platform.Heartbeat{Instance: "a", Service: "s", Addr: "127.0.0.1:5", Slots: 18, Sequence: 1, Born: 1}
	require.NoError(t, n.handleHeartbeat(own))
	for _, b := range []platform.Heartbeat{
		{Instance: "b", Service: "other", Addr: "127.0.0.1:5", Slots: 18, Sequence: 9, Born: 2},
		{Instance: "b", Service: "s", Addr: "127.0.0.1:6", Slots: 18, Sequence: 9, Born: 2},
	} {
		require.Error(t, n.handleHeartbeat(b))
	}
	own.Sequence = 2
	require.NoError(t, n.handleHeartbeat(own))
	require.Equal(t, member.Ready, n.gate.Status().State)
	require.Equal(t, 18, n.gate.Status().Slots)
}
