package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var key = LimitKey{Account: "acc", Route: "r"}

// gates is the number of endpoints that report demand in admit.
const gates = 4

// admit offers demand requests/s at each of the given limiters for some
// seconds and returns the admitted requests and the most in any 4 s. With
// feedback each admitted request reaches one of the gates, which reports the
// rate that it sees.
func admit(ls []*Limiter, rate float64, now *time.Time, seconds int, demand float64, feedback []Demand) (total, most int) {
	const step = 10 * time.Millisecond
	owed := 0.0
	var lately [400]int // admitted per step
	sum := 0
	for i := range seconds * 100 {
		*now = now.Add(step)
		owed += demand * step.Seconds()
		n := 0
		for ; owed >= 1; owed-- {
			for _, l := range ls {
				ok, _ := l.Allow(key, rate, *now)
				if !ok {
					continue
				}
				n++
				if feedback != nil {
					l.Observe(key, gates*feedback[rand.IntN(gates)].Add(key, *now), *now)
				}
			}
		}
		total += n
		sum += n - lately[i%len(lately)]
		lately[i%len(lately)] = n
		most = max(most, sum)
	}
	return total, most
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
		got, _ := admit(limiters(n, n), rate, &now, seconds, 2*rate/float64(n)+1, nil)
		most := rate*seconds + float64(n)*max(2, rate/float64(n))
		t.Logf("%d nodes: admitted %d, rate alone %d, bound %.0f", n, got, rate*seconds, most)
		require.LessOrEqual(t, float64(got), most)
		require.GreaterOrEqual(t, float64(got), 0.95*rate*seconds)
	}
}

// TestLimitConcentrated guards against a client that is held below its rate
// for ever since it uses few nodes, and against an overshoot without bound when
// it comes, stays, or spreads to all nodes.
func TestLimitConcentrated(t *testing.T) {
	const rate, nodes = 80, 64
	now := start
	ls := limiters(nodes, nodes)
	got, _ := admit(ls[:2], rate, &now, 10, 2*rate, nil)
	require.Less(t, got, 10*rate/10)
	d := make([]Demand, gates)
	_, rise := admit(ls[:2], rate, &now, 60, 2*rate, d)
	got, stay := admit(ls[:2], rate, &now, 60, 2*rate, d)
	_, spread := admit(ls, rate, &now, 60, 2*rate, d)
	t.Logf("2 of %d nodes: admitted %.2f of the rate; most in 4 s: %.2f of the rate on the rise, %.2f later, %.2f when all nodes get requests",
		nodes, float64(got)/60/rate, float64(rise)/4/rate, float64(stay)/4/rate, float64(spread)/4/rate)
	require.InDelta(t, 60*rate, got, 0.15*60*rate)
	require.LessOrEqual(t, float64(max(rise, stay, spread)), 2.0*4*rate+2*nodes)
	now = now.Add(feedbackAge + time.Second)
	got, _ = admit(ls[:2], rate, &now, 10, 2*rate, nil)
	require.Less(t, got, 2*10*rate/10, "without feedback the share falls back")
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
