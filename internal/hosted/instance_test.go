package hosted

import (
	"testing"
	"time"

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
	require.False(t, s.recordLeave("a", 200, time.Now()))
	require.True(t, s.recordLeave("b", 300, time.Now()))
	require.False(t, s.recordLeave("b", 300, time.Now()), "twice")
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

// TestLeaveOfUnknownInstance guards against a leave message that is acknowledged and
// forgotten because the process has just started and knows no instance, so that a late
// heartbeat or a health check makes the leaving backend server available again.
func TestLeaveOfUnknownInstance(t *testing.T) {
	now := time.UnixMilli(1000)
	beat := func(id mesh.Instance, born, sequence int64) platform.Heartbeat {
		return platform.Heartbeat{Instance: id, Born: born, Sequence: sequence}
	}
	for name, c := range map[string]struct {
		known []platform.Heartbeat // before the leave message
		born  int64                // in the leave message of a
		later int64                // start time of the next start under its id
	}{
		"new process":                      {born: 100, later: 101},
		"new process, start time missing":  {later: 1001},
		"beside an earlier instance":       {known: []platform.Heartbeat{beat("z", 50, 9)}, born: 100, later: 101},
		"beside an earlier one, no time":   {known: []platform.Heartbeat{beat("z", 50, 9)}, later: 1001},
		"beside an earlier start of its":   {known: []platform.Heartbeat{beat("a", 50, 9)}, born: 100, later: 101},
		"known":                            {known: []platform.Heartbeat{beat("a", 100, 9)}, born: 100, later: 101},
		"known, start time missing":        {known: []platform.Heartbeat{beat("a", 100, 9)}, later: 101},
		"known, then replaced by the next": {known: []platform.Heartbeat{beat("a", 100, 9), beat("b", 200, 1)}, born: 100, later: 201},
	} {
		t.Run(name, func(t *testing.T) {
			var s instanceTracker
			for _, b := range c.known {
				require.Equal(t, heartbeatNewStart, s.recordHeartbeat(b))
			}
			s.recordLeave("a", c.born, now)
			before := s.departed
			s.recordLeave("a", c.born, now.Add(time.Second))
			require.Equal(t, before, s.departed, "the message was repeated")
			require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("a", 100, 10)))
			require.False(t, s.recordHealthCheck("a"))
			require.Equal(t, heartbeatNewStart, s.recordHeartbeat(beat("a", c.later, 1)), "the next start under its id")
			require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("a", 100, 11)))
			require.Equal(t, heartbeatNewStart, s.recordHeartbeat(beat("c", c.later+1, 1)))
		})
	}
	var s instanceTracker
	for i := range int64(3 * maxDeparted) {
		s.recordLeave("a", 100+i, now)
	}
	require.LessOrEqual(t, len(s.departed), maxDeparted)
	require.Equal(t, heartbeatStale, s.recordHeartbeat(beat("a", 100, 1)))
}

// TestLeaveAfterHealthCheck guards against a backend server that a health check found and
// that is not withdrawn by its leave message.
func TestLeaveAfterHealthCheck(t *testing.T) {
	var s instanceTracker
	require.True(t, s.recordHealthCheck("a"))
	require.True(t, s.recordLeave("a", 100, time.Now()))
	require.Equal(t, heartbeatStale, s.recordHeartbeat(platform.Heartbeat{Instance: "a", Born: 100, Sequence: 4}))
	require.False(t, s.recordHealthCheck("a"))
	require.Equal(t, heartbeatNewStart, s.recordHeartbeat(platform.Heartbeat{Instance: "a", Born: 101, Sequence: 1}), "the next start under its id")
}
