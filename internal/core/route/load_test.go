package route

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// newTwoZonePicker returns a Picker with a slow endpoint in the local zone and a
// fast one in another.
func newTwoZonePicker(now time.Time) *Picker {
	p := NewPicker(PickerConfig{Zone: "a"})
	p.Update([]member.Member{
		{ID: "slow", Zone: "a", Addr: "10.0.0.1:1", Service: "s", Slots: 10, Endpoint: member.Ready},
		{ID: "fast", Zone: "b", Addr: "10.0.0.2:1", Service: "s", Slots: 10, Endpoint: member.Ready},
	}, now)
	return p
}

func reportLoad(p *Picker, id mesh.NodeID, header string, now time.Time) {
	p.ReportLoad(p.service("s").all[id], "r", header, now)
}

// TestPickForTime guards against requests that an endpoint in the local zone
// answers late although one in another zone answers in time, and against
// crossing zones without need.
func TestPickForTime(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		slow, fast string
		req        Requirements
		want       mesh.NodeID
	}{
		{"in time at home", "busy=0.50,work=250", "busy=0.10,work=50", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "slow"},
		{"late at home", "busy=0.50,work=450", "busy=0.10,work=50", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "fast"},
		{"queue at home", "busy=2.50,work=250", "busy=0.10,work=50", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "fast"},
		{"longer queue abroad", "busy=2.00,work=250", "busy=20.00,work=50", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "slow"},
		{"large body", "busy=2.50,work=450", "busy=0.10,work=50", Requirements{"r", 500 * time.Millisecond, SpillWhenExhausted}, "slow"},
		{"nothing reported", "", "", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "slow"},
		{"not valid", "busy=x,work=-1,,=", "busy=+Inf", Requirements{"r", 500 * time.Millisecond, SpillOnLoad}, "slow"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTwoZonePicker(now)
			reportLoad(p, "slow", c.slow, now)
			reportLoad(p, "fast", c.fast, now)
			require.Equal(t, c.want, p.PickFor("s", c.req, nil, now).ID)
		})
	}
}

// TestLoadFades guards against an endpoint that is avoided forever because of
// the last load that it reported.
func TestLoadFades(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTwoZonePicker(now)
	reportLoad(p, "slow", "busy=9.00,work=250", now)
	reportLoad(p, "fast", "busy=0.10,work=50", now)
	req := Requirements{"r", 500 * time.Millisecond, SpillOnLoad}
	require.Equal(t, mesh.NodeID("fast"), p.PickFor("s", req, nil, now).ID)
	require.Equal(t, mesh.NodeID("slow"), p.PickFor("s", req, nil, now.Add(5*loadDecayTime)).ID)
}

// TestOwnZoneOnly guards against large bodies that are sent to another zone
// because the local one has no capacity.
func TestOwnZoneOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTwoZonePicker(now)
	req := Requirements{"r", 500 * time.Millisecond, SpillWhenExhausted}
	e := p.PickFor("s", req, nil, now)
	require.Equal(t, mesh.NodeID("slow"), e.ID)
	req.Spill = SpillWhenEmpty
	require.Nil(t, p.PickFor("s", req, []*Endpoint{e}, now))
}

// TestYieldingEndpoint guards against requests that are refused although an
// endpoint whose node is about to stop still accepts them, and against choosing
// that endpoint before others.
func TestYieldingEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newTwoZonePicker(now)
	ms := []member.Member{
		{ID: "slow", Zone: "a", Addr: "10.0.0.1:1", Service: "s", Slots: 10, Endpoint: member.Yielding},
		{ID: "fast", Zone: "b", Addr: "10.0.0.2:1", Service: "s", Slots: 10, Endpoint: member.Ready},
	}
	p.Update(ms, now)
	req := Requirements{"r", 500 * time.Millisecond, SpillOnLoad}
	for range 5 {
		require.Equal(t, mesh.NodeID("fast"), p.PickFor("s", req, nil, now).ID)
	}
	ms[1].Endpoint = member.Draining
	p.Update(ms, now)
	for range 5 {
		require.Equal(t, mesh.NodeID("slow"), p.PickFor("s", req, nil, now).ID)
	}
}

// TestWarmingEndpoint guards against many nodes that all send their first
// request to a warming endpoint, against an endpoint that gets no requests once
// it is warm, and against one that is avoided because of the service time that
// it reported while warming up.
func TestWarmingEndpoint(t *testing.T) {
	now := time.Unix(1000, 0)
	req := Requirements{"r", 500 * time.Millisecond, SpillOnLoad}
	ms := []member.Member{
		{ID: "a", Zone: "a", Addr: "10.0.0.1:1", Service: "s", Slots: 10, Endpoint: member.Ready},
		{ID: "b", Zone: "a", Addr: "10.0.0.2:1", Service: "s", Slots: 10, Endpoint: member.Ready},
		{ID: "new", Zone: "a", Addr: "10.0.0.3:1", Service: "s", Slots: 10, Endpoint: member.Warming},
	}
	p := NewPicker(PickerConfig{Zone: "a"})
	p.Update(ms, now)
	reportLoad(p, "a", "busy=0.50,work=180", now)
	reportLoad(p, "b", "busy=0.50,work=190", now)
	picksOfNew := func() int {
		n := 0
		for range 300 {
			e := p.PickFor("s", req, nil, now)
			if e.ID == "new" {
				n++
			}
			p.Done(e, Canceled, "r", 0, now)
		}
		return n
	}
	require.Zero(t, picksOfNew(), "others are free")
	reportLoad(p, "a", "busy=3.00,work=180", now)
	reportLoad(p, "b", "busy=3.00,work=190", now)
	require.NotZero(t, picksOfNew(), "others are full")
	reportLoad(p, "a", "busy=0.50,work=180", now)
	reportLoad(p, "b", "busy=0.50,work=190", now)
	reportLoad(p, "new", "busy=0.10,work=380", now)
	require.Zero(t, picksOfNew())
	ms[2].Endpoint = member.Ready
	p.Update(ms, now)
	require.Greater(t, picksOfNew(), 50, "warm")
}
