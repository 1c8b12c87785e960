package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	simSlots   = 20
	simService = 20 * time.Millisecond
	simRate    = float64(simSlots) / 0.020 // requests per second at capacity
)

// newSim returns a simulation of one gate with 20 slots of 20 ms. Shares are
// the offered loads in multiples of the capacity, most urgent first.
func newSim(order Order, fixed bool, shares ...float64) *sim {
	s := &sim{
		conf: Config{Slots: simSlots, Ranks: testRanks[:3], Order: order, Fixed: fixed},
		real: func(time.Duration) int { return simSlots },
		span: 30 * time.Second, warm: 10 * time.Second, seed: 1,
	}
	for i, share := range shares {
		p := testRanks[i]
		s.loads = append(s.loads, load{rank: p.Name, rate: share * simRate, service: simService, accounts: 8, deadline: 2 * p.Target})
	}
	return s
}

// variants are the compared admission policies.
var variants = []struct {
	name  string
	order Order
	fixed bool
}{
	{"arrival fixed", Arrival, true},
	{"strict fixed", Strict, true},
	{"strict adaptive", Strict, false},
	{"floors fixed", Floors, true},
	{"floors adaptive", Floors, false},
}

// TestLowFlood guards the most urgent rank and the useful work against a flood
// of the least urgent rank at 10 times capacity.
func TestLowFlood(t *testing.T) {
	for _, v := range variants {
		s := newSim(v.order, v.fixed, 0.3, 0.2, 10)
		res := s.run()
		u := res["urgent"]
		total := float64(u.inTime+res["normal"].inTime+res["low"].inTime) / (s.span - s.warm).Seconds() / simRate
		inTime := float64(u.inTime) / float64(u.offered)
		fmt.Printf("low flood, %s: urgent in time %.4f, total in time %.3f of capacity\n%s", v.name, inTime, total, s.table())
		if v.order == Floors {
			require.GreaterOrEqual(t, inTime, 0.999, v.name)
			require.GreaterOrEqual(t, total, 0.95, v.name)
		}
	}
}

// TestUrgentFlood guards the floors of the other ranks, and the useful urgent
// work, against a flood of the most urgent rank at 5 times capacity.
func TestUrgentFlood(t *testing.T) {
	for _, v := range variants {
		s := newSim(v.order, v.fixed, 5, 1, 1)
		res := s.run()
		secs := (s.span - s.warm).Seconds()
		urgent := float64(res["urgent"].inTime) / secs / simRate
		fmt.Printf("urgent flood, %s: urgent in time %.3f of capacity\n%s", v.name, urgent, s.table())
		if v.order != Floors {
			continue
		}
		require.GreaterOrEqual(t, urgent, 0.9*(1-0.1-0.05), v.name)
		for _, p := range testRanks[1:3] {
			got := res[p.Name].slotTime.Seconds() / secs
			require.GreaterOrEqual(t, got, p.Floor*simSlots*0.95, "%s: slots of %s", v.name, p.Name)
		}
	}
}

// TestFloors guards the floor of every rank with enough work, under any mix of
// loads, service times, floors and slots.
func TestFloors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		n := rapid.IntRange(2, 4).Draw(t, "ranks")
		s := &sim{real: func(time.Duration) int { return slots }, span: 12 * time.Second, warm: 2 * time.Second}
		s.seed = rapid.Uint64().Draw(t, "seed")
		s.conf = Config{Slots: slots, Ramp: -1, Fixed: rapid.Bool().Draw(t, "fixed")}
		for i := range n {
			floor := float64(rapid.IntRange(5, 50/n).Draw(t, "floor")) / 100
			p := config.RankPolicy{Name: mesh.Rank(fmt.Sprint("r", i)), Target: 5 * time.Second, Floor: floor}
			p.Bulk = i == n-1 && rapid.Bool().Draw(t, "bulk")
			s.conf.Ranks = append(s.conf.Ranks, p)
			l := load{rank: p.Name, accounts: rapid.IntRange(1, 20).Draw(t, "accounts"), deadline: 10 * time.Second}
			l.service = time.Duration(rapid.IntRange(5, 60).Draw(t, "ms")) * time.Millisecond
			load := rapid.SampledFrom([]float64{0.01, 0.5, 1, 4}).Draw(t, "load") // multiples of the capacity
			l.rate = load * float64(slots) / l.service.Seconds()
			s.loads = append(s.loads, l)
		}
		res := s.run()
		for i, p := range s.conf.Ranks {
			offered := s.loads[i].rate * s.loads[i].service.Seconds()
			owed := min(p.Floor*float64(slots), offered*0.7) // load of 0.01 is not always there
			got := res[p.Name].slotTime.Seconds() / (s.span - s.warm).Seconds()
			if got < 0.9*owed-0.03 {
				t.Fatalf("%s: %.3f slots, floor %.3f, offered %.3f\n%s", p.Name, got, p.Floor*float64(slots), offered, s.table())
			}
		}
	})
}

// TestStall guards the requests that queued up during a short stall of the
// backend server, without any overload, against being refused for it.
func TestStall(t *testing.T) {
	for i, stall := range []time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond} {
		s := newSim(Floors, i%2 == 0, 0.5, 0.1, 0.1)
		s.loads[0].deadline = 2 * time.Second
		s.slow = func(at time.Duration) time.Duration {
			return max(0, min(stall, 15*time.Second+stall-at)) * (at / (15 * time.Second))
		}
		u := s.run()["urgent"]
		fmt.Printf("stall of %v, fixed limit %v: urgent refused %d, late %d, of %d queued meanwhile\n%s", stall, s.conf.Fixed, u.refused, u.late, int(stall.Seconds()*s.loads[0].rate), s.table())
	}
}

// TestBulkReserve guards urgent requests against waiting behind long bulk
// requests that came first.
func TestBulkReserve(t *testing.T) {
	s := newSim(Floors, false)
	s.conf.Ranks = testRanks
	s.loads = []load{
		{rank: "urgent", rate: 0.2 * simRate, service: simService, accounts: 4, deadline: time.Second},
		{rank: "bulk", rate: 100, service: 2 * time.Second, accounts: 4, deadline: 20 * time.Second},
	}
	res := s.run()
	fmt.Printf("bulk flood of 2 s downloads:\n%s", s.table())
	require.GreaterOrEqual(t, float64(res["urgent"].inTime)/float64(res["urgent"].offered), 0.999)
	require.Equal(t, simSlots/2, res["bulk"].peak)
}

// TestAccountFairness guards the other client accounts of a rank against a
// flood from one of them.
func TestAccountFairness(t *testing.T) {
	m := NewMachine(Config{Slots: 1, Ranks: testRanks[2:3], Queue: 8, Ramp: -1}, epoch)
	first := &Ticket{Rank: "low", Account: "flood"}
	m.Offer(epoch, first)
	flood := make([]Ticket, 8)
	for i := range flood {
		flood[i] = Ticket{Rank: "low", Account: "flood"}
		m.Offer(epoch, &flood[i])
		require.Equal(t, Queued, flood[i].State())
	}
	other := &Ticket{Rank: "low", Account: "other"}
	ts := m.Offer(epoch, other)
	require.Equal(t, Queued, other.State())
	require.Len(t, ts, 1)
	require.Same(t, &flood[7], ts[0])
	require.Equal(t, errEvicted, ts[0].Refusal())
	ts = m.Done(epoch, first, 0)
	require.Same(t, &flood[0], ts[0])
	ts = m.Done(epoch, ts[0], 0)
	require.Same(t, other, ts[0])
}

// TestNoStarvation guards every rank, even one without a floor of its own,
// against a flood of any other rank.
func TestNoStarvation(t *testing.T) {
	ranks := testRanks[:3:3]
	for i := range ranks {
		for _, slots := range []int{1, 3, 20} {
			s := newSim(Floors, true, 1, 1, 1)
			s.conf.Slots, s.conf.Ranks = slots, append(ranks[:0:0], ranks...)
			s.conf.Ranks[2].Floor = 0
			s.real = func(time.Duration) int { return slots }
			s.loads[i].rate *= 5
			for name, o := range s.run() {
				require.Positive(t, o.inTime, "flood of %s, %d slots, rank %s", ranks[i].Name, slots, name)
			}
		}
	}
}

// TestDegradedServer compares the fixed with the adaptive limit when the
// backend server has fewer slots than it announced, and when all its requests
// take longer although it has them. It guards against an adaptive limit that
// costs more than a tenth of the useful work in either case.
func TestDegradedServer(t *testing.T) {
	for _, c := range []struct {
		name string
		real int
		slow time.Duration
	}{
		{"8 of 20 slots", 8, 0},
		{"60 ms instead of 20 ms", simSlots, 40 * time.Millisecond},
	} {
		var useful [2]int
		for i, fixed := range []bool{true, false} {
			s := newSim(Floors, fixed, 0.15, 0.1, 10)
			s.conf.Ranks = append(testRanks[:0:0], testRanks[:3]...)
			s.conf.Ranks[0].Target = 200 * time.Millisecond
			after := func(at time.Duration) bool { return at >= 5*time.Second }
			s.real = func(at time.Duration) int {
				if after(at) {
					return c.real
				}
				return simSlots
			}
			s.slow = func(at time.Duration) time.Duration {
				if after(at) {
					return c.slow
				}
				return 0
			}
			for _, o := range s.run() {
				useful[i] += o.inTime
			}
			fmt.Printf("%s, fixed limit %v: limit at the end %d\n%s", c.name, fixed, s.m.Limit(s.clock()), s.table())
		}
		require.GreaterOrEqual(t, float64(useful[1]), 0.9*float64(useful[0]), c.name)
	}
}
