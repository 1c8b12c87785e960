package caller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

// TestComeback guards against refused callers that retry immediately, all at
// once, later than they may, or too late to be answered in time although they
// could be.
func TestComeback(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name     string
		refusal  refusal
		random   float64
		min, max time.Duration
	}{
		{"in time", refusal{fault.Overloaded, 3000 * ms, 10 * ms, 400 * ms, 150 * ms}, 0.999, 170 * ms, 210 * ms},
		{"in time, first", refusal{fault.Overloaded, 3000 * ms, 10 * ms, 400 * ms, 150 * ms}, 0, 30 * ms, 100 * ms},
		{"late already", refusal{fault.Overloaded, 3000 * ms, 900 * ms, 400 * ms, 150 * ms}, 0.999, 900 * ms, 1000 * ms},
		{"no target", refusal{fault.Throttled, 3000 * ms, 0, 0, 0}, 0, 200 * ms, 400 * ms},
		{"little left", refusal{fault.Throttled, 60 * ms, 0, 400 * ms, 150 * ms}, 0.999, 10 * ms, 20 * ms},
		{"draining", refusal{fault.Draining, 3000 * ms, 0, 400 * ms, 150 * ms}, 0.5, 100 * ms, 300 * ms},
		{"draining, little left", refusal{fault.Draining, 90 * ms, 0, 400 * ms, 150 * ms}, 0.5, 10 * ms, 30 * ms},
		{"no route", refusal{fault.NoRoute, 3000 * ms, 0, 400 * ms, 150 * ms}, 0.5, 0, 0},
	} {
		d := retryDelay(c.refusal, c.random)
		require.GreaterOrEqual(t, d, c.min, c.name)
		require.LessOrEqual(t, d, c.max, c.name)
	}
}

// TestPatience guards against taking the retry of a refused caller for a first
// attempt that can still be answered in time.
func TestPatience(t *testing.T) {
	var p callerTimeouts
	now := time.Unix(0, 0)
	require.Zero(t, p.estimate("r"))
	p.observe("r", time.Second, now)
	p.observe("r", 300*time.Millisecond, now)
	require.Equal(t, time.Second, p.estimate("r"))
	now = now.Add(timeoutPeriod + 1)
	p.observe("r", 300*time.Millisecond, now)
	require.Equal(t, time.Second, p.estimate("r"), "kept during the following period")
	p.observe("other", 100*time.Millisecond, now)
	require.Equal(t, 100*time.Millisecond, p.estimate("other"), "routes are estimated separately")
	now = now.Add(timeoutPeriod + 1)
	p.observe("r", 200*time.Millisecond, now)
	require.Equal(t, 300*time.Millisecond, p.estimate("r"), "forgotten")
}

// TestOutlastDelay guards against a caller that comes back while the stop that its
// request would have outlasted still goes on, although its deadline allows for more.
func TestOutlastDelay(t *testing.T) {
	for _, c := range []struct {
		name                string
		remaining, switchIn time.Duration
		random              float64
		want                time.Duration
	}{
		{"node of the caller stops", 15 * time.Second, 2500 * time.Millisecond, 0, 2500 * time.Millisecond},
		{"node of the endpoint stops", 15 * time.Second, 0, 0, 1500 * time.Millisecond},
		{"callers come back apart", 15 * time.Second, 0, 1, 5 * time.Second},
		{"little left", 3 * time.Second, 2500 * time.Millisecond, 0, time.Second},
	} {
		require.Equal(t, c.want, outlastDelay(c.remaining, c.switchIn, c.random), c.name)
	}
}
