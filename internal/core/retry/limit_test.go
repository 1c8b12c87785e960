package retry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var key = LimitKey{Account: "acc", Route: "r"}

// admit offers demand requests/s at each of the given limiters for some
// seconds and returns the admitted requests.
func admit(ls []*Limiter, rate float64, now *time.Time, seconds int, demand float64, feedback bool) int {
	const step = 10 * time.Millisecond
	total := 0
	owed := 0.0
	var lately [200]int // admitted per step, 2 s
	for i := range seconds * 100 {
		*now = now.Add(step)
		owed += demand * step.Seconds()
		n := 0
		for ; owed >= 1; owed-- {
			for _, l := range ls {
				if ok, _ := l.Allow(key, rate, *now); ok {
					n++
				}
			}
		}
		total += n
		lately[i%len(lately)] = n
		if feedback && i >= len(lately) {
			seen := 0
			for _, v := range lately {
				seen += v
			}
			for _, l := range ls {
				l.Observe(key, float64(seen)/2, *now)
			}
		}
	}
	return total
}

func limiters(n, nodes int) []*Limiter {
	ls := make([]*Limiter, n)
	for i := range ls {
		ls[i] = new(Limiter)
		ls[i].SetNodes(nodes)
	}
	return ls
}

// TestLimitEven guards the bound R*T + n*max(2, R/n) when callers use all
// nodes, and against a rate that is not reached.
func TestLimitEven(t *testing.T) {
	for _, n := range []int{1, 4, 100} {
		now := start
		const rate, seconds = 80, 20
		got := admit(limiters(n, n), rate, &now, seconds, 2*rate/float64(n)+1, false)
		most := rate*seconds + float64(n)*max(2, rate/float64(n))
		t.Logf("%d nodes: admitted %d, rate alone %d, bound %.0f", n, got, rate*seconds, most)
		require.LessOrEqual(t, float64(got), most)
		require.GreaterOrEqual(t, float64(got), 0.95*rate*seconds)
	}
}

// TestLimitConcentrated guards against a client that is held below its rate
// for ever since it uses few nodes, and against an overshoot without bound.
func TestLimitConcentrated(t *testing.T) {
	const rate, nodes = 80, 64
	now := start
	ls := limiters(2, nodes)
	require.Less(t, admit(ls, rate, &now, 10, 2*rate, false), 10*rate/10)
	admit(ls, rate, &now, 30, 2*rate, true)
	got := admit(ls, rate, &now, 30, 2*rate, true)
	t.Logf("2 of %d nodes with feedback: admitted %d in 30 s at rate %d", nodes, got, rate)
	require.InDelta(t, 30*rate, got, 0.25*30*rate)
	now = now.Add(feedbackAge + time.Second)
	require.Less(t, admit(ls, rate, &now, 10, 2*rate, false), 2*10*rate/10, "without feedback the share falls back")
}

// TestLimitEdges guards against a limit on routes without rate, a wait that is
// too short, and limits that are kept for ever.
func TestLimitEdges(t *testing.T) {
	l := new(Limiter)
	for range 1000 {
		ok, _ := l.Allow(key, 0, start)
		require.True(t, ok)
	}
	ok, _ := l.Allow(key, 0.5, start)
	require.True(t, ok)
	ok, wait := l.Allow(key, 0.5, start)
	require.False(t, ok)
	ok, _ = l.Allow(key, 0.5, start.Add(wait))
	require.True(t, ok)
	l.Sweep(start.Add(2 * limitIdle))
	_, kept := l.m.Load(key)
	require.False(t, kept)
}
