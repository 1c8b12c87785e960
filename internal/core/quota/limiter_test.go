package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

var (
	start = time.Unix(1_000_000, 0)
	key   = Key{Account: "acc", Route: "r"}
)

// exchange sends the due demands of all limiters to the ledger and applies its
// grants.
func exchange(l *Ledger, ls []*Limiter, now time.Time) {
	for _, x := range ls {
		for _, d := range x.DueDemands(now) {
			x.ApplyGrant(l.Allocate(now, mesh.NodeID(fmt.Sprintf("%p", x)), d), now)
		}
	}
}

// admit offers demand requests/s at each of the given limiters for some
// seconds and returns the admitted requests. A nil ledger never answers.
func admit(ls []*Limiter, rate float64, now *time.Time, seconds int, demand float64, ledger *Ledger) int {
	const step = 10 * time.Millisecond
	total := 0
	pending := 0.0
	for range seconds * 100 {
		*now = now.Add(step)
		pending += demand * step.Seconds()
		for ; pending >= 1; pending-- {
			for _, l := range ls {
				if ok, _ := l.Allow(key, rate, *now); ok {
					total++
				}
			}
		}
		if ledger != nil {
			exchange(ledger, ls, *now)
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

// TestLimitEven guards against admission above R*T + n*max(2, R/n) when callers
// use all nodes, and against a rate that is not reached.
func TestLimitEven(t *testing.T) {
	for _, n := range []int{1, 4, 100} {
		now := start
		const rate, seconds = 80, 20
		got := admit(limiters(n, n), rate, &now, seconds, 2*rate/float64(n)+1, nil)
		most := rate*seconds + float64(n)*max(2, rate/float64(n))
		t.Logf("%d nodes: admitted %d, rate alone %d, bound %.0f", n, got, rate*seconds, most)
		require.LessOrEqual(t, float64(got), most)
		require.GreaterOrEqual(t, float64(got), 0.95*rate*seconds)
	}
}

// TestLimitConcentrated guards against a client account that is held below its
// rate because it uses few nodes, against an overshoot, and against grants that
// outlive their owner.
func TestLimitConcentrated(t *testing.T) {
	const rate, nodes = 80, 64
	for _, used := range []int{1, 2, 8} {
		now, ledger := start, new(Ledger)
		ls := limiters(used, nodes)
		got := admit(ls, rate, &now, 30, 2*rate, ledger)
		t.Logf("%d of %d nodes: admitted %d in the first 30 s at rate %d", used, nodes, got, rate)
		require.InDelta(t, 30*rate, got, 0.1*30*rate)
		now = now.Add(LeaseDuration)
		got = admit(ls, rate, &now, 10, 2*rate, nil)
		require.Less(t, got, 10*rate*used/nodes+2*used+used*rate, "without an owner the share falls back")
	}
}

// TestLimitSpread guards against refusals at nodes whose callers together stay
// within the rate, because another node holds a share that it does not use.
func TestLimitSpread(t *testing.T) {
	const rate = 40
	for _, n := range []int{1, 3, 10} {
		for _, load := range []float64{0.5, 0.7, 1} {
			now, ledger := start, new(Ledger)
			ls := limiters(n, n)
			for _, seconds := range []int{2, 20} {
				demand := load * rate / float64(n) // requests per second and node
				got := admit(ls, rate, &now, seconds, demand, ledger)
				offered := n * int(demand*float64(seconds))
				t.Logf("%d nodes, load %.1f: admitted %d of %d in %d s", n, load, got, offered, seconds)
				require.Greater(t, float64(got), 0.95*float64(offered))
			}
		}
	}
}

// TestLimitMoves guards against a client account that moves to another node and
// is limited by the grant that the former node no longer uses, whether that
// node still runs or is dead.
func TestLimitMoves(t *testing.T) {
	const rate, nodes, seconds = 80, 64, 20
	for _, dead := range []bool{false, true} {
		now, ledger := start, new(Ledger)
		ls := limiters(2, nodes)
		admit(ls[:1], rate, &now, seconds, rate, ledger)
		if dead {
			ledger.RevokeNode(mesh.NodeID(fmt.Sprintf("%p", ls[0])))
		}
		got := 0
		for range seconds {
			got += admit(ls[1:], rate, &now, 1, rate, ledger)
			if !dead {
				exchange(ledger, ls, now)
			}
		}
		t.Logf("admitted %d in the %d s after the move at rate %d, former node dead: %v", got, seconds, rate, dead)
		require.Greater(t, got, seconds*rate*8/10)
		got = admit(ls[1:], rate, &now, seconds, rate, ledger)
		require.InDelta(t, seconds*rate, got, 0.1*seconds*rate)
	}
}

// TestLedgerBounds guards against shares that add up to more than the rate, and
// against a small demand that gets nothing beside a large one.
func TestLedgerBounds(t *testing.T) {
	const rate = 100
	ledger, now := new(Ledger), start
	wants := []float64{5, 400, 900}
	shares := make([]float64, len(wants))
	sum := 0.0
	for range 5 {
		now = now.Add(time.Second)
		sum = 0
		for i, w := range wants {
			shares[i] = ledger.Allocate(now, mesh.NodeID(fmt.Sprint(i)), Demand{Key: key, Rate: rate, Wanted: w}).Share
			sum += shares[i]
		}
		require.LessOrEqual(t, sum, (1+minShareFraction)*rate)
	}
	require.InDelta(t, rate, sum, 1)
	require.InDeltaSlice(t, []float64{5, 47.5, 47.5}, shares, 0.5)
	require.Equal(t, 1, ledger.Sweep(now))
	require.Zero(t, ledger.Sweep(now.Add(LeaseDuration)))
}

// TestLimitEdges guards against a limit on routes without a rate, a wait that
// is too short, and limits that are never removed.
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
	l.Sweep(start.Add(2 * limitIdleTimeout))
	_, kept := l.limits.Load(key)
	require.False(t, kept)
}
