package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

func offer(m *Machine, at time.Duration, r mesh.Rank, deadline time.Duration) *Ticket {
	t := &Ticket{Rank: r, Account: "a", Deadline: epoch.Add(at + deadline)}
	m.Offer(epoch.Add(at), t)
	return t
}

// TestRefusals guards against refusals of the wrong kind, or with a run state
// other than not run.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		prep func(*Machine)
		rank mesh.Rank
		left time.Duration
		want *fault.Error
	}{
		{"deadline passed", func(*Machine) {}, "low", 0, errExpired},
		{"draining", func(m *Machine) { m.Drain(epoch) }, "low", time.Second, errDraining},
		{"short deadline behind a queue", func(m *Machine) {
			for range 4 {
				offer(m, 0, "low", time.Second)
			}
		}, "low", time.Millisecond, errWaitOverDeadline},
		{"full queue", func(m *Machine) {
			for range 5 {
				offer(m, 0, "low", time.Second)
			}
		}, "low", time.Second, errQueueFull},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Slots: 1, Ranks: testRanks, MaxQueue: 4, Ramp: -1}, epoch)
			c.prep(m)
			tk := offer(m, 0, c.rank, c.left)
			require.Equal(t, Refused, tk.State())
			require.Same(t, c.want, tk.Refusal())
			require.Equal(t, fault.NotRun, tk.Refusal().Run)
		})
	}
	m := New(Config{Slots: 1}, epoch)
	require.Same(t, errNoRanks, offer(m, 0, "low", time.Second).Refusal())
}

// TestExpiryInQueue guards against a request that is admitted after its
// deadline, or left waiting beyond it.
func TestExpiryInQueue(t *testing.T) {
	m := New(Config{Slots: 1, Ranks: testRanks, Ramp: -1}, epoch)
	run := offer(m, 0, "low", time.Minute)
	long, short := offer(m, 0, "low", time.Minute), offer(m, 0, "low", time.Second)
	ts := m.Tick(epoch.Add(time.Second))
	require.Equal(t, []*Ticket{short}, ts)
	require.Same(t, errExpired, short.Refusal())
	require.Equal(t, []*Ticket{long}, m.Done(epoch.Add(2*time.Second), run, time.Second))
}

// TestTooLittleTime guards against a slot that is given to a request which
// cannot end before its deadline while another one waits, and against a last
// request that is refused although the slot is free.
func TestTooLittleTime(t *testing.T) {
	m := New(Config{Slots: 1, Ranks: testRanks, Ramp: -1}, epoch)
	at := time.Duration(0)
	for range 100 { // sets the mean service time of the rank to 100 ms
		run := offer(m, at, "low", time.Minute)
		at += 100 * time.Millisecond
		m.Done(epoch.Add(at), run, 100*time.Millisecond)
	}
	const slow = 200 * time.Millisecond // the running request takes longer than expected
	run := offer(m, at, "low", time.Minute)
	short, long := offer(m, at, "low", slow+60*time.Millisecond), offer(m, at, "low", time.Minute)
	at += slow
	require.Equal(t, []*Ticket{short, long}, m.Done(epoch.Add(at), run, slow))
	require.Same(t, errLateForDeadline, short.Refusal())
	require.Equal(t, Admitted, long.State())
	last := offer(m, at, "low", slow+60*time.Millisecond)
	at += slow
	require.Equal(t, []*Ticket{last}, m.Done(epoch.Add(at), long, slow))
	require.Equal(t, Admitted, last.State())
}

// TestRamp guards against a cold backend server that gets load on all its slots
// at once.
func TestRamp(t *testing.T) {
	m := New(Config{Slots: 20, Ranks: testRanks}, epoch)
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{0, 5}, {time.Second, 8}, {2500 * time.Millisecond, 12}, {5 * time.Second, 20}, {time.Hour, 20}} {
		require.Equal(t, c.want, m.Limit(epoch.Add(c.at)), c.at)
	}
	m.Restart(epoch.Add(time.Hour))
	require.Equal(t, 5, m.Limit(epoch.Add(time.Hour)))
}

// TestSetRanks guards against tickets lost when a configuration removes or
// reorders ranks.
func TestSetRanks(t *testing.T) {
	m := New(Config{Slots: 1, Ranks: testRanks, Ramp: -1}, epoch)
	run := offer(m, 0, "urgent", time.Minute)
	low, bulk := offer(m, 0, "low", time.Minute), offer(m, 0, "bulk", time.Minute)
	m.SetRanks(epoch, testRanks[1:3])
	require.Equal(t, 2, m.Queued())
	require.Equal(t, 1, m.InFlight())
	require.Equal(t, []*Ticket{low}, m.Done(epoch, run, 0))
	require.Equal(t, []*Ticket{bulk}, m.Done(epoch, low, 0))
	require.Empty(t, m.Done(epoch, bulk, 0))
	require.Zero(t, m.InFlight())
}

// TestAccountFairness guards against a flood of one client account that starves
// the others of its rank.
func TestAccountFairness(t *testing.T) {
	m := New(Config{Slots: 1, Ranks: testRanks[2:3], MaxQueue: 8, Ramp: -1}, epoch)
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
	require.Equal(t, errDisplaced, ts[0].Refusal())
	ts = m.Done(epoch, first, 0)
	require.Same(t, &flood[0], ts[0])
	ts = m.Done(epoch, ts[0], 0)
	require.Same(t, other, ts[0])
}

// TestPressure guards against a pressure that does not distinguish a free gate
// from a full or a refusing one, and against invalid values that are parsed.
func TestPressure(t *testing.T) {
	m := New(Config{Slots: 2, Ranks: testRanks, MaxQueue: 4, Ramp: -1}, epoch)
	require.Zero(t, m.PressureOf(epoch, "urgent"))
	offer(m, 0, "low", time.Minute)
	require.Equal(t, 0.25, m.PressureOf(epoch, "urgent"))
	for range 5 {
		offer(m, 0, "low", time.Minute)
	}
	require.Equal(t, 1.0, m.PressureOf(epoch, "low"))
	require.InDelta(t, 0.5, m.PressureOf(epoch, "urgent"), 0.1)
	s := FormatPressure(m.Pressure(epoch, nil))
	ps, err := ParsePressure(s)
	require.NoError(t, err, s)
	require.Len(t, ps, 4)
	require.Equal(t, RankPressure{"low", 1}, ps[2])
	for _, bad := range []string{"x", "x=2", "x=-1", "x=NaN", "X=1", ",", "a=1,"} {
		_, err := ParsePressure(bad)
		require.Error(t, err, bad)
	}
}

// FuzzParsePressure guards against a header of a peer that makes the parser
// panic or yields a value out of range.
func FuzzParsePressure(f *testing.F) {
	f.Add("urgent=0.5,bulk=1")
	f.Fuzz(func(t *testing.T, s string) {
		ps, err := ParsePressure(s)
		if err != nil {
			return
		}
		for _, p := range ps {
			require.True(t, p.Value >= 0 && p.Value <= 1)
		}
	})
}

func BenchmarkOfferDone(b *testing.B) {
	m := New(Config{Slots: 20, Ranks: testRanks, Ramp: -1}, epoch)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		t := Ticket{Rank: "urgent", Account: "semarang"}
		m.Offer(now, &t)
		m.Done(now, &t, time.Millisecond)
	}
}

// BenchmarkOfferDoneQueued measures a request that waits, behind a queue of
// every rank and with a deadline.
func BenchmarkOfferDoneQueued(b *testing.B) {
	m := New(Config{Slots: 4, Ranks: testRanks, Ramp: -1}, epoch)
	now := epoch
	var running []*Ticket
	for i := range 64 {
		t := &Ticket{Rank: testRanks[i%4].Name, Account: mesh.ClientAccount(rune('a' + i%8)), Deadline: now.Add(time.Hour)}
		if m.Offer(now, t); t.State() == Admitted {
			running = append(running, t)
		}
	}
	tickets := make([]Ticket, 1024)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		t := &tickets[i%len(tickets)]
		*t = Ticket{Rank: "urgent", Account: "semarang", Deadline: now.Add(time.Hour)}
		m.Offer(now, t)
		done := running[0]
		running = append(running[1:], m.Done(now, done, time.Millisecond)...)
	}
}
