package peer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxLagging limits the lagging nodes listed per availability zone.
	maxLagging = 20
	// surveyTimeout limits a survey.
	surveyTimeout = 3 * time.Second
	// surveyMarginDivisor divides the remaining time to get the margin that a
	// node reserves for its own response, so that a slow subtree does not make
	// it exceed the timeout of its parent.
	surveyMarginDivisor = 5
)

// Survey is the result of asking all members whether they hold a version.
type Survey struct {
	Version mesh.Version
	Zones   []ZoneSurvey // sorted by zone
}

// ZoneSurvey is the part of a Survey for one availability zone.
type ZoneSurvey struct {
	Zone    mesh.AvailabilityZone
	Members int           // members alive or suspect
	Current int           // those that hold the version or a higher one
	Lagging []mesh.NodeID // up to 20 others, including those that did not answer
}

// Complete reports whether every member holds the version.
func (s Survey) Complete() bool {
	return !slices.ContainsFunc(s.Zones, func(z ZoneSurvey) bool { return z.Current < z.Members })
}

// zoneCounts holds the results by availability zone.
type zoneCounts map[mesh.AvailabilityZone]*ZoneSurvey

func (c zoneCounts) zone(z mesh.AvailabilityZone) *ZoneSurvey {
	if c[z] == nil {
		c[z] = &ZoneSurvey{Zone: z}
	}
	return c[z]
}

// addMember counts one member.
func (c zoneCounts) addMember(z mesh.AvailabilityZone, id mesh.NodeID, current bool) {
	s := c.zone(z)
	s.Members++
	if current {
		s.Current++
	} else if len(s.Lagging) < maxLagging {
		s.Lagging = append(s.Lagging, id)
	}
}

// members returns the number of members counted.
func (c zoneCounts) members() int {
	n := 0
	for _, s := range c {
		n += s.Members
	}
	return n
}

func (c zoneCounts) merge(o zoneCounts) {
	for z, s := range o {
		t := c.zone(z)
		t.Members += s.Members
		t.Current += s.Current
		t.Lagging = append(t.Lagging, s.Lagging...)
		t.Lagging = t.Lagging[:min(len(t.Lagging), maxLagging)]
	}
}

func (c zoneCounts) encode() []*peerpb.ZoneCount {
	var out []*peerpb.ZoneCount
	for _, s := range c {
		z := &peerpb.ZoneCount{Zone: string(s.Zone), Members: uint32(s.Members), Current: uint32(s.Current)}
		for _, id := range s.Lagging {
			z.Lagging = append(z.Lagging, string(id))
		}
		out = append(out, z)
	}
	return out
}

func decodeCounts(zs []*peerpb.ZoneCount) zoneCounts {
	c := make(zoneCounts)
	for _, z := range zs {
		s := c.zone(mesh.AvailabilityZone(z.GetZone()))
		s.Members += int(z.GetMembers())
		s.Current += int(z.GetCurrent())
		for _, id := range z.GetLagging()[:min(len(z.GetLagging()), maxLagging)] {
			s.Lagging = append(s.Lagging, mesh.NodeID(id))
		}
	}
	return c
}

// Survey asks all members that are alive or suspect whether they hold version
// v or a higher one.
func (p *Peer) Survey(ctx context.Context, v mesh.Version) (Survey, error) {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	byZone := make(map[mesh.AvailabilityZone][]*peerpb.SurveyMember)
	for _, m := range p.members() {
		if m.Status < member.Dead && m.ID != p.cfg.Self.ID {
			byZone[m.Zone] = append(byZone[m.Zone], &peerpb.SurveyMember{Id: string(m.ID), Zone: string(m.Zone), Addr: string(m.Addr)})
		}
	}
	total := p.surveySelf(v)
	answers := make(chan zoneCounts)
	for _, ms := range byZone {
		go func() { answers <- p.surveyGroup(ctx, v, ms) }()
	}
	for range byZone {
		total.merge(<-answers)
	}
	out := Survey{Version: v}
	for _, s := range total {
		slices.Sort(s.Lagging)
		out.Zones = append(out.Zones, *s)
	}
	slices.SortFunc(out.Zones, func(a, b ZoneSurvey) int { return cmp.Compare(a.Zone, b.Zone) })
	return out, ctx.Err()
}

// surveySelf returns the counts of this node alone.
func (p *Peer) surveySelf(v mesh.Version) zoneCounts {
	c := make(zoneCounts)
	c.addMember(p.cfg.Self.Zone, p.cfg.Self.ID, p.Version() >= v)
	return c
}

// surveyMembers splits ms into groups, one for each child in the tree, and asks
// all groups in parallel.
func (p *Peer) surveyMembers(ctx context.Context, v mesh.Version, ms []*peerpb.SurveyMember) zoneCounts {
	size := (len(ms) + version.Fanout - 1) / version.Fanout
	answers := make(chan zoneCounts)
	groups := 0
	for len(ms) > 0 {
		g := ms[:min(size, len(ms))]
		ms = ms[len(g):]
		groups++
		go func() { answers <- p.surveyGroup(ctx, v, g) }()
	}
	total := make(zoneCounts)
	for range groups {
		total.merge(<-answers)
	}
	return total
}

// surveyGroup asks the first member of ms to survey all of ms. If a member does
// not answer, or its answer does not count each member, it counts as lagging and the
// next one is asked instead.
func (p *Peer) surveyGroup(ctx context.Context, v mesh.Version, ms []*peerpb.SurveyMember) zoneCounts {
	total := make(zoneCounts)
	for len(ms) > 0 {
		first := ms[0]
		ms = ms[1:]
		q := &peerpb.SurveyRequest{Version: uint64(v), Members: ms}
		a, err := call(ctx, p, "survey", surveyRequestTimeout(ctx, len(ms)), p.clientFor(mesh.Addr(first.GetAddr())).Survey, q)
		if err == nil {
			if counts := decodeCounts(a.GetZones()); counts.members() == 1+len(ms) {
				total.merge(counts)
				return total
			}
		}
		total.addMember(mesh.AvailabilityZone(first.GetZone()), mesh.NodeID(first.GetId()), false)
	}
	return total
}

// surveyRequestTimeout returns the timeout of one request with n members below.
// It is part of the remaining time, so that another member can be asked after a
// failure.
func surveyRequestTimeout(ctx context.Context, n int) time.Duration {
	deadline, ok := ctx.Deadline()
	remaining := surveyTimeout
	if ok {
		remaining = time.Until(deadline)
	}
	if n > 0 {
		return remaining / 2
	}
	return remaining - remaining/surveyMarginDivisor
}
