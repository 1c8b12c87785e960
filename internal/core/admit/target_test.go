package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/config"
)

func targetAwareConfig() Config {
	return Config{Slots: 18, FixedLimit: true, Ramp: -1, TargetAware: true, Reserve: true, Ranks: []config.RankPolicy{
		{Name: "lookup", Target: 500 * time.Millisecond},
		{Name: "book", Target: 800 * time.Millisecond},
	}}
}

// TestOverloadIsAnsweredInTime guards against an overload in which all
// responses are late, or in which slots stay idle. Load: lookups at 1.5 times
// the capacity.
func TestOverloadIsAnsweredInTime(t *testing.T) {
	const capacity = 18 / 0.25 // per second
	got := simulate(targetAwareConfig(), time.Minute, rankLoad{"lookup", 1.5 * capacity, 250 * time.Millisecond, 2 * time.Second})
	l := got["lookup"]
	// The share is the target that docs/design.md sets for a flood.
	require.GreaterOrEqual(t, float64(l.inTarget), 0.95*capacity*60)
}

// TestLateTicketsGiveWay guards against retries that are too late for their
// target and take the slots of requests that can still meet theirs.
func TestLateTicketsGiveWay(t *testing.T) {
	now := time.Unix(0, 0)
	c := targetAwareConfig()
	c.Slots = 1
	m := New(c, now)
	first := lookup(m, now, now.Add(500*time.Millisecond))
	require.Equal(t, Admitted, first.State())
	now = now.Add(time.Millisecond)
	late := lookup(m, now, now)
	require.Equal(t, Queued, late.State())
	fresh := lookup(m, now, now.Add(500*time.Millisecond))
	require.Equal(t, Queued, fresh.State())
	now = now.Add(20 * time.Millisecond)
	require.Equal(t, []*Ticket{fresh}, m.Done(now, first, 20*time.Millisecond))
	now = now.Add(20 * time.Millisecond)
	require.Equal(t, []*Ticket{late}, m.Done(now, fresh, 20*time.Millisecond))
	require.Equal(t, Admitted, late.State())
}

// TestLateTicketsDoNotWaitLong guards against a late request that keeps waiting
// although no slot becomes free. It is refused instead, so that its caller can
// retry.
func TestLateTicketsDoNotWaitLong(t *testing.T) {
	now := time.Unix(0, 0)
	c := targetAwareConfig()
	c.Slots = 1
	m := New(c, now)
	lookup(m, now, now.Add(500*time.Millisecond))
	late := lookup(m, now, now)
	require.Equal(t, Queued, late.State())
	require.Empty(t, m.Tick(now.Add(maxLateWait-1)))
	require.Equal(t, []*Ticket{late}, m.Tick(now.Add(maxLateWait)))
	require.Same(t, errTargetPassed, late.Refusal())
	require.Zero(t, m.Queued())
}

// TestDrainRefusesLateTickets guards against a drain that leaves tickets in the
// late queue.
func TestDrainRefusesLateTickets(t *testing.T) {
	now := time.Unix(0, 0)
	c := targetAwareConfig()
	c.Slots = 1
	m := New(c, now)
	lookup(m, now, now.Add(500*time.Millisecond))
	late := lookup(m, now, now)
	require.Equal(t, []*Ticket{late}, m.Drain(now))
	require.Zero(t, m.Queued())
}

// lookup offers a request of rank lookup with the given end of its target.
func lookup(m *Machine, now, target time.Time) *Ticket {
	t := &Ticket{Rank: "lookup", Deadline: now.Add(2 * time.Second), Target: target}
	m.Offer(now, t)
	return t
}

// TestShortDeadlineOfVaryingWork guards against requests that are refused
// although slots become free at once, because their deadline is shorter than
// upperServiceTime. Requests on new routes with a deadline of 0.4 s were not
// served at all.
func TestShortDeadlineOfVaryingWork(t *testing.T) {
	now := time.Unix(0, 0)
	m := New(targetAwareConfig(), now)
	for i := range 400 {
		d := 20 * time.Millisecond
		if i%4 == 0 {
			d = 500 * time.Millisecond
		}
		k := lookup(m, now, now.Add(500*time.Millisecond))
		now = now.Add(d)
		m.Done(now, k, d)
	}
	var busy []*Ticket
	for range 18 {
		busy = append(busy, lookup(m, now, now.Add(500*time.Millisecond)))
	}
	k := &Ticket{Rank: "lookup", Deadline: now.Add(400 * time.Millisecond)}
	m.Offer(now, k)
	require.Equal(t, Queued, k.State())
	require.Equal(t, []*Ticket{k}, m.Done(now.Add(time.Millisecond), busy[0], 0))
}

// TestStartAndLongest guards against a request that still waits at a gate when
// the node that sent it stops: its caller would get no response.
func TestStartAndLongest(t *testing.T) {
	now := time.Unix(0, 0)
	c := targetAwareConfig()
	c.Slots, c.MaxWait = 1, 4*time.Second
	c.Ranks = []config.RankPolicy{{Name: "history", Target: 30 * time.Second}}
	m := New(c, now)
	offerHistory := func(start time.Time) *Ticket {
		k := &Ticket{Rank: "history", Deadline: now.Add(time.Minute), AdmitBy: start}
		m.Offer(now, k)
		return k
	}
	offerHistory(time.Time{})
	waits, stops := offerHistory(time.Time{}), offerHistory(now.Add(2*time.Second))
	require.Equal(t, Queued, waits.State())
	require.Equal(t, Queued, stops.State())
	require.Equal(t, []*Ticket{stops}, m.Tick(now.Add(2*time.Second)))
	require.Equal(t, []*Ticket{waits}, m.Tick(now.Add(4*time.Second)))
	require.Equal(t, Refused, waits.State())
	require.Same(t, errWaitOverDeadline, offerHistory(now).Refusal(), "no time to start")
}

// TestFloorInOverload guards against a rank with few requests and a longer
// target that is hardly served while another of equal priority takes every
// slot: of 21 requests on new routes four were served. Load: lookups at 1.5
// times the capacity.
func TestFloorInOverload(t *testing.T) {
	c := targetAwareConfig()
	c.Ranks = []config.RankPolicy{
		{Name: "lookup", Target: 500 * time.Millisecond, Floor: 0.05},
		{Name: "check", Target: time.Second, Floor: 0.05},
	}
	flood := rankLoad{"lookup", 1.5 * 18 / 0.25, 250 * time.Millisecond, 2 * time.Second}
	few := rankLoad{"check", 2, 130 * time.Millisecond, time.Second}
	got := simulate(c, time.Minute, flood, few)["check"]
	require.GreaterOrEqual(t, float64(got.served), 0.9*float64(got.offered))
	for i := range c.Ranks {
		c.Ranks[i].Floor = 0
	}
	got = simulate(c, time.Minute, flood, few)["check"]
	require.Less(t, float64(got.served), 0.7*float64(got.offered), "the load shows the fault")
}
