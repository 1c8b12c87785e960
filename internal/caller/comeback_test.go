package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

// TestComeback guards against refused callers that come back at once, all
// together, later than they may, or too late to be answered in time although
// they could be.
func TestComeback(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		refused  refused
		random   float64
		min, max time.Duration
	}{
		{"in time", refused{fault.Overloaded, 3000 * ms, 10 * ms, 400 * ms, 150 * ms}, 0.999, 170 * ms, 210 * ms},
		{"in time, first", refused{fault.Overloaded, 3000 * ms, 10 * ms, 400 * ms, 150 * ms}, 0, 30 * ms, 100 * ms},
		{"late already", refused{fault.Overloaded, 3000 * ms, 900 * ms, 400 * ms, 150 * ms}, 0.999, 900 * ms, 1000 * ms},
		{"no target", refused{fault.Throttled, 3000 * ms, 0, 0, 0}, 0, 200 * ms, 400 * ms},
		{"little left", refused{fault.Throttled, 60 * ms, 0, 400 * ms, 150 * ms}, 0.999, 10 * ms, 20 * ms},
		{"draining", refused{fault.Draining, 3000 * ms, 0, 400 * ms, 150 * ms}, 0.5, 100 * ms, 300 * ms},
		{"draining, little left", refused{fault.Draining, 90 * ms, 0, 400 * ms, 150 * ms}, 0.5, 10 * ms, 30 * ms},
		{"no route", refused{fault.NoRoute, 3000 * ms, 0, 400 * ms, 150 * ms}, 0.5, 0, 0},
	} {
		d := comeback(c.refused, c.random)
		require.GreaterOrEqual(t, d, c.min, c.name)
		require.LessOrEqual(t, d, c.max, c.name)
	}
}

// TestPatience guards against a caller that was refused before and is taken for
// one that can still be answered in time.
func TestPatience(t *testing.T) {
	var p patience
	now := time.Unix(0, 0)
	require.Zero(t, p.longest("r"))
	p.note("r", time.Second, now)
	p.note("r", 300*time.Millisecond, now)
	require.Equal(t, time.Second, p.longest("r"))
	now = now.Add(patiencePeriod + 1)
	p.note("r", 300*time.Millisecond, now)
	require.Equal(t, time.Second, p.longest("r"), "still remembered")
	p.note("other", 100*time.Millisecond, now)
	require.Equal(t, 100*time.Millisecond, p.longest("other"), "routes are apart")
	now = now.Add(patiencePeriod + 1)
	p.note("r", 200*time.Millisecond, now)
	require.Equal(t, 300*time.Millisecond, p.longest("r"), "forgotten")
}
