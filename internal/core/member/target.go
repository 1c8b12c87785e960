package member

import (
	"slices"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// gossipTargets returns the members that the queued updates are sent to at once.
func (l *List) gossipTargets() []*record {
	if !l.preferZone {
		return l.randomAlive(gossipFanout, "")
	}
	targets := l.randomAliveIn(l.self.Zone, zoneFanout)
	if len(targets) < zoneFanout {
		return l.randomAlive(gossipFanout, "") // a small zone would learn too little
	}
	nodes, others := l.zoneSizes()
	sends, queued := l.queue[l.self.ID]
	own := queued && sends < ownZoneGossips*zoneFanout
	for _, z := range others {
		if own || l.cfg.Rand.IntN(nodes) < zoneGossips {
			targets = append(l.randomAliveIn(z, 1), targets...) // before maxZoneSends is reached
		}
	}
	return targets
}

// zoneSizes returns the number of live nodes of the own zone, and the other zones.
func (l *List) zoneSizes() (nodes int, others []mesh.AvailabilityZone) {
	nodes = 1
	for _, id := range l.sortedIDs(func(r *record) bool { return r.Status == Alive }) {
		z := l.others[id].Zone
		switch {
		case z == l.self.Zone:
			nodes++
		case !slices.Contains(others, z):
			others = append(others, z)
		}
	}
	return nodes, others
}

// inOtherZone reports whether the member is known to be in another availability zone.
func (l *List) inOtherZone(id mesh.NodeID) bool {
	r, ok := l.others[id]
	return ok && r.Zone != l.self.Zone
}
