package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestInstanceOrder guards against a late heartbeat that restores a backend server which
// has left or was replaced.
func TestInstanceOrder(t *testing.T) {
	heartbeat := func(id string, born, sequence int64) platform.Heartbeat {
		return platform.Heartbeat{Instance: mesh.Instance(id), Born: born, Sequence: sequence}
	}
	var s instanceTracker
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(heartbeat("a", 100, 1)))
	require.Equal(t, heartbeatRenewal, s.recordHeartbeat(heartbeat("a", 100, 3)))
	require.Equal(t, heartbeatStale, s.recordHeartbeat(heartbeat("a", 100, 2)), "overtaken")
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(heartbeat("a", 200, 1)), "started again under its id")
	require.Equal(t, heartbeatStale, s.recordHeartbeat(heartbeat("a", 100, 9)), "of the start before")
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(heartbeat("b", 300, 1)))
	require.Equal(t, heartbeatStale, s.recordHeartbeat(heartbeat("a", 200, 9)), "replaced")
	require.False(t, s.recordLeave("a", 200))
	require.True(t, s.recordLeave("b", 300))
	require.False(t, s.recordLeave("b", 300), "twice")
	require.Equal(t, heartbeatStale, s.recordHeartbeat(heartbeat("b", 300, 2)), "gone")
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(heartbeat("b", 400, 1)))
}

// TestInstanceFound guards against a heartbeat that is refused because a health check
// found the backend server first.
func TestInstanceFound(t *testing.T) {
	var s instanceTracker
	require.True(t, s.recordHealthCheck("a"))
	require.False(t, s.recordHealthCheck("a"))
	require.Equal(t, heartbeatRenewal, s.recordHeartbeat(platform.Heartbeat{Instance: "a", Born: 100, Sequence: 40}))
	require.Equal(t, heartbeatStale, s.recordHeartbeat(platform.Heartbeat{Instance: "a", Born: 100, Sequence: 40}))
}

// TestLateAfterHealthCheck guards against a late heartbeat of an earlier instance that
// replaces the one that a health check has found.
func TestLateAfterHealthCheck(t *testing.T) {
	beat := func(id mesh.Instance, born, sequence int64) platform.Heartbeat {
		return platform.Heartbeat{Instance: id, Born: born, Sequence: sequence}
	}
	var s instanceTracker
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(beat("a", 100, 5)))
	require.True(t, s.recordHealthCheck("b"))
	require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("a", 100, 6)), "replaced")
	require.EqualValues(t, "b", s.id)
	require.Equal(t, heartbeatRenewal, s.recordHeartbeat(beat("b", 90, 1)), "the clock was set back")
	require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("a", 100, 7)))

	require.True(t, s.recordHealthCheck("c"))
	require.True(t, s.recordHealthCheck("d"), "replaced before its first heartbeat")
	require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("b", 90, 2)))
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(beat("b", 300, 1)), "started again under its id")
}
