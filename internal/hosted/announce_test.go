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
	n := &Node{log: zap.NewNop(), recheck: make(chan struct{}, 1)}
	n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: mesh.Addr(s.Listener.Addr().String())})
	n.config.Store(&platform.Config{Snapshot: &config.Snapshot{}})
	n.gate = backend.New(backend.Config{Snapshot: n.snapshot})
	heartbeat := func(id mesh.Instance, sequence int64) {
		require.NoError(t, n.handleHeartbeat(platform.Heartbeat{Instance: id, Service: "s", Slots: 18, Sequence: sequence, Born: 1}))
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
	cancel()
	require.NoError(t, <-ended)
}
