package hosted

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestInstanceOrder guards against a late heartbeat that brings back a backend
// server which has left or was replaced.
func TestInstanceOrder(t *testing.T) {
	beat := func(id string, born, sequence int64) platform.Heartbeat {
		return platform.Heartbeat{Instance: mesh.Instance(id), Born: born, Sequence: sequence}
	}
	var s instance
	require.Equal(t, started, s.beat(beat("a", 100, 1)))
	require.Equal(t, renewal, s.beat(beat("a", 100, 3)))
	require.Equal(t, stale, s.beat(beat("a", 100, 2)), "overtaken")
	require.Equal(t, started, s.beat(beat("a", 200, 1)), "started again under its id")
	require.Equal(t, stale, s.beat(beat("a", 100, 9)), "of the start before")
	require.Equal(t, started, s.beat(beat("b", 300, 1)))
	require.Equal(t, stale, s.beat(beat("a", 200, 9)), "replaced")
	require.False(t, s.leave("a", 200))
	require.True(t, s.leave("b", 300))
	require.False(t, s.leave("b", 300), "twice")
	require.Equal(t, stale, s.beat(beat("b", 300, 2)), "gone")
	require.Equal(t, started, s.beat(beat("b", 400, 1)))
}

// TestInstanceFound guards against a heartbeat that is refused because a health
// check had found the backend server before.
func TestInstanceFound(t *testing.T) {
	var s instance
	require.True(t, s.found("a"))
	require.False(t, s.found("a"))
	require.Equal(t, renewal, s.beat(platform.Heartbeat{Instance: "a", Born: 100, Sequence: 40}))
	require.Equal(t, stale, s.beat(platform.Heartbeat{Instance: "a", Born: 100, Sequence: 40}))
}
