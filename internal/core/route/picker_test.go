package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

var startTime = time.Unix(1_000_000, 0)

func newMembers(n int, change func(i int, m *member.Member)) []member.Member {
	ms := make([]member.Member, n)
	for i := range ms {
		ms[i] = member.Member{
			ID: mesh.NodeID(fmt.Sprintf("e%d", i)), Zone: "a", Addr: mesh.Addr(fmt.Sprintf("10.0.0.%d:1", i)),
			Service: "s", Slots: 20, Endpoint: member.Ready, Incarnation: 1,
		}
		if change != nil {
			change(i, &ms[i])
		}
	}
	return ms
}

func newPicker(ms []member.Member) *Picker {
	r := rand.New(rand.NewPCG(1, 2))
	p := NewPicker(PickerConfig{Zone: "a", Rand: r.IntN})
	p.Update(ms, startTime)
	return p
}

// pickCounts picks an endpoint for each of n requests, finishes them and returns
// the number of requests per endpoint.
func pickCounts(p *Picker, n int, now time.Time) map[mesh.NodeID]int {
	m := make(map[mesh.NodeID]int)
	for range n {
		if e := p.Pick("s", "urgent", nil, now); e != nil {
			m[e.ID]++
			p.Done(e, Canceled, "urgent", 0, now)
		}
	}
	return m
}

// TestPickBalances guards against an endpoint that gets far more requests than
// the others.
func TestPickBalances(t *testing.T) {
	p := newPicker(newMembers(10, nil))
	for range 100 {
		require.NotNil(t, p.Pick("s", "urgent", nil, startTime))
	}
	for _, v := range p.Endpoints("s", "urgent", startTime) {
		require.InDelta(t, 10, v.InFlight, 3)
	}
	require.Nil(t, p.Pick("other", "urgent", nil, startTime))
}

// TestPickNeverClosed guards against requests to a backend server that is
// draining, starting or gone, even when no other endpoint is left.
func TestPickNeverClosed(t *testing.T) {
	p := newPicker(newMembers(4, func(i int, m *member.Member) {
		switch i {
		case 0:
			m.Endpoint = member.Draining
		case 1:
			m.Status = member.Left
		case 2:
			m.Endpoint = member.Starting
		case 3:
			m.Status, m.Endpoint = member.Dead, member.Draining
		}
	}))
	require.Empty(t, pickCounts(p, 100, startTime))
}

// TestZoneFirst guards against requests that leave the availability zone
// without need, and against an overloaded zone while others have free slots.
func TestZoneFirst(t *testing.T) {
	p := newPicker(newMembers(4, func(i int, m *member.Member) {
		if i >= 2 {
			m.Zone = "b"
		}
	}))
	m := pickCounts(p, 100, startTime)
	require.Equal(t, 100, m["e0"]+m["e1"])

	for _, e := range p.service("s").all {
		if e.Zone == "a" {
			p.ReportPressure(e, "bulk=0.1,urgent=0.9", startTime)
		}
	}
	m = pickCounts(p, 100, startTime)
	require.Equal(t, 100, m["e2"]+m["e3"])
	m = pickCounts(p, 100, startTime.Add(maxPressureAge))
	require.Equal(t, 100, m["e0"]+m["e1"], "pressure must age")

	for range 41 { // own requests fill the local slots
		require.NotNil(t, p.Pick("s", "urgent", nil, startTime.Add(maxPressureAge)))
	}
	m = pickCounts(p, 100, startTime.Add(maxPressureAge))
	require.Positive(t, m["e2"]+m["e3"])
}

// TestTriedExcluded guards against a retry at an endpoint that was already tried.
func TestTriedExcluded(t *testing.T) {
	p := newPicker(newMembers(3, nil))
	var tried []*Endpoint
	for range 3 {
		e := p.Pick("s", "urgent", tried, startTime)
		require.NotNil(t, e)
		require.NotContains(t, tried, e)
		tried = append(tried, e)
	}
	require.Nil(t, p.Pick("s", "urgent", tried, startTime))
}

// TestUpdateKeeps guards against counts that are lost or doubled when the
// membership changes.
func TestUpdateKeeps(t *testing.T) {
	p := newPicker(newMembers(2, nil))
	e := p.Pick("s", "urgent", nil, startTime)
	p.ReportPressure(e, "urgent=0.4", startTime)
	p.Update(newMembers(5, nil), startTime)
	for _, v := range p.Endpoints("s", "urgent", startTime) {
		if v.ID == e.ID {
			require.Equal(t, 1, v.InFlight)
			require.InDelta(t, 0.4, v.Pressure, 1e-9)
		}
	}
	p.Update(newMembers(0, nil), startTime)
	require.Nil(t, p.Pick("s", "urgent", nil, startTime))
	p.Done(e, Success, "urgent", time.Millisecond, startTime) // after the endpoint left
}

// TestDrained guards against further requests to a gate that refused with
// draining before membership says so, and against a hold that never ends.
func TestDrained(t *testing.T) {
	p := newPicker(newMembers(1, nil))
	e := p.Pick("s", "urgent", nil, startTime)
	p.Done(e, Drained, "urgent", 0, startTime)
	require.Nil(t, p.Pick("s", "urgent", nil, startTime))
	p.Update(newMembers(1, nil), startTime)
	require.Nil(t, p.Pick("s", "urgent", nil, startTime), "same incarnation")
	p.Update(newMembers(1, func(_ int, m *member.Member) { m.Incarnation++ }), startTime)
	require.NotNil(t, p.Pick("s", "urgent", nil, startTime))
	p.Done(e, Drained, "urgent", 0, startTime)
	require.NotNil(t, p.Pick("s", "urgent", nil, startTime.Add(drainHold)))
}

// TestSlowEjected guards against a slow endpoint that keeps its share of the
// requests, and against an ejection that never ends.
func TestSlowEjected(t *testing.T) {
	p := newPicker(newMembers(4, nil))
	now := startTime
	run := func(n int) map[mesh.NodeID]int {
		m := make(map[mesh.NodeID]int)
		for range n {
			now = now.Add(time.Millisecond)
			e := p.Pick("s", "urgent", nil, now)
			m[e.ID]++
			d := 5 * time.Millisecond
			if e.ID == "e2" {
				d = 100 * time.Millisecond
			}
			p.Done(e, Success, "urgent", d, now)
		}
		return m
	}
	run(400)
	require.EqualValues(t, 1, p.Ejections())
	require.Zero(t, run(100)["e2"])
	now = now.Add(baseEjectionTime)
	require.Positive(t, run(400)["e2"], "must be tried again")
	require.EqualValues(t, 2, p.Ejections())
	now = now.Add(baseEjectionTime + baseEjectionTime/2)
	require.Zero(t, run(100)["e2"], "second ejection must be longer")
}

// TestEjectAtMostThird guards against ejections that leave a service without
// endpoints, whatever the outcomes are.
func TestEjectAtMostThird(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		p := newPicker(newMembers(n, nil))
		now := startTime
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			e := p.Pick("s", "urgent", nil, now)
			require.NotNil(t, e)
			o := rapid.SampledFrom([]Outcome{Success, Failed, Failed, Failed}).Draw(t, "outcome")
			p.Done(e, o, "urgent", time.Millisecond, now)
			ejected := 0
			for _, v := range p.Endpoints("s", "urgent", now) {
				if v.Eligibility == "ejected" {
					ejected++
				}
			}
			require.LessOrEqual(t, ejected, n/3)
		}
	})
}

// TestProbing guards against a burst of requests to an endpoint that returns
// from ejection and still fails.
func TestProbing(t *testing.T) {
	p := newPicker(newMembers(3, nil))
	bad := p.service("s").all["e0"]
	for range maxConsecutiveFailures {
		bad.inflight++
		p.Done(bad, Failed, "urgent", 0, startTime)
	}
	now := startTime.Add(baseEjectionTime)
	n := 0
	for range 30 {
		if p.Pick("s", "urgent", nil, now) == bad {
			n++
		}
	}
	require.Equal(t, 1, n)
	p.Done(bad, Failed, "urgent", 0, now)
	require.Equal(t, "ejected", bad.eligibility(now.Add(baseEjectionTime)))
}

// TestMassDisappearance guards against a lack of endpoints to choose from when
// most of a service appears to be down, and against more than one concurrent
// request to each unhealthy endpoint.
func TestMassDisappearance(t *testing.T) {
	markDown := func(i int, m *member.Member) {
		switch i % 3 {
		case 0:
			m.Status = member.Dead
		case 1:
			m.Status = member.Suspect
		case 2:
			m.Endpoint = member.Unhealthy
		}
	}
	p := newPicker(newMembers(9, markDown))
	for range 9 {
		require.NotNil(t, p.Pick("s", "urgent", nil, startTime))
	}
	require.Nil(t, p.Pick("s", "urgent", nil, startTime), "a second request in flight")
	for _, v := range p.Endpoints("s", "urgent", startTime) {
		require.Equal(t, 1, v.InFlight)
	}

	// An unhealthy endpoint that failed is not tried again while a healthy one is
	// left, even if that one is busy.
	p = newPicker(newMembers(3, func(i int, m *member.Member) {
		if m.Slots = 1; i < 2 {
			m.Status = member.Dead
		}
	}))
	seen := make(map[mesh.NodeID]int)
	require.Equal(t, mesh.NodeID("e2"), p.Pick("s", "urgent", nil, startTime).ID)
	for range 10 {
		e := p.Pick("s", "urgent", nil, startTime)
		seen[e.ID]++
		p.Done(e, Failed, "urgent", 0, startTime)
	}
	require.Equal(t, map[mesh.NodeID]int{"e0": 1, "e1": 1, "e2": 8}, seen)

	// While at least half are healthy, the others get no requests.
	p = newPicker(newMembers(4, func(i int, m *member.Member) {
		if i < 2 {
			markDown(i, m)
		}
	}))
	m := pickCounts(p, 100, startTime)
	require.Equal(t, 100, m["e2"]+m["e3"])
}

// TestPressure guards against refusing requests early while one endpoint is free.
func TestPressure(t *testing.T) {
	p := newPicker(newMembers(3, nil))
	require.Zero(t, p.MinPressure("s", "urgent", startTime))
	all := p.service("s").all
	p.ReportPressure(all["e0"], "urgent=0.9", startTime)
	p.ReportPressure(all["e1"], "urgent=0.6,broken,bulk=x,low=7", startTime)
	require.InDelta(t, 0.6, p.MinPressure("s", "urgent", startTime), 1e-9)
	require.Zero(t, p.MinPressure("s", "bulk", startTime))
	require.Zero(t, p.MinPressure("s", "low", startTime))
	p.ReportPressure(all["e2"], "urgent=0.05", startTime)
	require.InDelta(t, 0.05, p.MinPressure("s", "urgent", startTime), 1e-9)
}

func benchPick(b *testing.B, services int) {
	p := newPicker(newMembers(2500, func(i int, m *member.Member) {
		m.Service = mesh.Service(fmt.Sprintf("s%d", i%services))
		m.Zone = mesh.AvailabilityZone(string(rune('a' + i%16)))
	}))
	p.rand = rand.IntN
	for _, s := range *p.services.Load() {
		for _, e := range s.all {
			p.ReportPressure(e, "urgent=0.1,bulk=0.3", startTime)
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		e := p.Pick("s0", "urgent", nil, startTime)
		p.Done(e, Success, "urgent", time.Millisecond, startTime)
	}
}

// BenchmarkPick measures one Pick and one Done.
func BenchmarkPick(b *testing.B) {
	b.Run("services=120", func(b *testing.B) { benchPick(b, 120) })
	b.Run("services=1", func(b *testing.B) { benchPick(b, 1) })
}

func BenchmarkUpdate(b *testing.B) {
	ms := newMembers(2500, func(i int, m *member.Member) { m.Service = mesh.Service(fmt.Sprintf("s%d", i%120)) })
	p := newPicker(ms)
	b.ReportAllocs()
	for b.Loop() {
		p.Update(ms, startTime)
	}
}
