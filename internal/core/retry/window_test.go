package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWindowTimeOfDay guards against a window that depends on the time of day,
// which jumps on some VMs: it must work whenever it is first used.
func TestWindowTimeOfDay(t *testing.T) {
	for _, begin := range []time.Time{time.Now(), time.Unix(-5, 0), time.Unix(0, 0)} {
		var w window
		for i := range 30 {
			w.add(begin.Add(time.Duration(i)*time.Second), 1, 2)
		}
		a, b := w.sums(begin.Add(29 * time.Second))
		require.Equal(t, 10.0, a)
		require.Equal(t, 20.0, b)
		a, _ = w.sums(begin.Add(45 * time.Second))
		require.Zero(t, a)
	}
}
