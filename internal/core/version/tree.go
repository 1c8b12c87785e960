package version

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// Fanout is the number of members that one node pushes a version to in its
	// own availability zone.
	Fanout = 8
	// entriesPerZone is the number of members of each availability zone that
	// the node with a new version pushes to. With two of them, a push reaches
	// the zone even if one has just failed.
	entriesPerZone = 2
	// minWatchers is the minimum number of watchers in the whole mesh: two
	// remain if one has just failed. The calls that watchers make grow with
	// availability zones, not with nodes.
	minWatchers = 3
	// readersPerZone is the number of members of an availability zone that read
	// the platform.
	readersPerZone = 2
)

// weight is the rendezvous weight of a member for a seed.
func weight(seed uint64, id mesh.NodeID) uint64 {
	b := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(b, seed)
	return xxhash.Sum64(append(b, id...))
}

// zoneMembersByWeight returns the members of zone that are not dead or left, by
// descending weight.
func zoneMembersByWeight(seed uint64, zone mesh.AvailabilityZone, ms []member.Member) []member.Member {
	type weighted struct {
		member.Member
		weight uint64
	}
	var ws []weighted
	for _, m := range ms {
		if m.Zone == zone && m.Status < member.Dead {
			ws = append(ws, weighted{m, weight(seed, m.ID)})
		}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	out := make([]member.Member, len(ws))
	for i, w := range ws {
		out[i] = w.Member
	}
	return out
}

// liveZones returns the availability zones of members that are not dead or
// left, sorted.
func liveZones(ms []member.Member) []mesh.AvailabilityZone {
	var zs []mesh.AvailabilityZone
	for _, m := range ms {
		if m.Status < member.Dead {
			zs = append(zs, m.Zone)
		}
	}
	slices.Sort(zs)
	return slices.Compact(zs)
}

// EntryMembers returns the members of each availability zone that the node with a
// new version v pushes to.
func EntryMembers(v mesh.Version, ms []member.Member) []member.Member {
	var out []member.Member
	for _, z := range liveZones(ms) {
		o := zoneMembersByWeight(uint64(v), z, ms)
		out = append(out, o[:min(entriesPerZone, len(o))]...)
	}
	return out
}

// Children returns the members that the member of the given id pushes version v
// to within its availability zone. The members of a zone form a tree with
// fan-out 8 in the order of their weights, so each version loads different
// nodes.
func Children(v mesh.Version, id mesh.NodeID, ms []member.Member) []member.Member {
	i := slices.IndexFunc(ms, func(m member.Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	o := zoneMembersByWeight(uint64(v), ms[i].Zone, ms)
	at := slices.IndexFunc(o, func(m member.Member) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	first := min(at*Fanout+1, len(o))
	return o[first:min(first+Fanout, len(o))]
}

// IsReader reports whether the member of the given id is one of the two
// members of its availability zone that read the platform.
func IsReader(id mesh.NodeID, zone mesh.AvailabilityZone, ms []member.Member) bool {
	o := zoneMembersByWeight(0, zone, ms)
	return slices.ContainsFunc(o[:min(readersPerZone, len(o))], func(m member.Member) bool { return m.ID == id })
}

// Watchers returns the few members of the mesh that watch the platform on
// behalf of the others: the alive member of greatest weight in each
// availability zone, and additional ones by weight if there are fewer than
// three zones. They are sorted by zone, additional ones last.
func Watchers(ms []member.Member) []member.Member {
	const seed = 0x7761746368657273
	byWeight := make([]member.Member, 0, len(ms))
	for i := range ms {
		if ms[i].Status == member.Alive {
			byWeight = append(byWeight, ms[i])
		}
	}
	weights := make(map[mesh.NodeID]uint64, len(byWeight))
	for i := range byWeight {
		weights[byWeight[i].ID] = weight(seed, byWeight[i].ID)
	}
	slices.SortFunc(byWeight, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	seen := make(map[mesh.AvailabilityZone]bool)
	var out, rest []member.Member
	for _, m := range byWeight {
		if seen[m.Zone] {
			rest = append(rest, m)
			continue
		}
		seen[m.Zone] = true
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b member.Member) int { return cmp.Compare(a.Zone, b.Zone) })
	return append(out, rest[:min(len(rest), max(0, minWatchers-len(out)))]...)
}

// IsWatcher reports whether the member of the given id is one of the watchers.
// A member that is not in ms counts as one.
func IsWatcher(id mesh.NodeID, ms []member.Member) bool {
	self := func(m member.Member) bool { return m.ID == id }
	return slices.ContainsFunc(Watchers(ms), self) || !slices.ContainsFunc(ms, self)
}

// maxOwnerCandidates is the number of members that keep ledgers. Fewer would
// let a node send its demands in fewer requests, but each candidate would serve
// more of them.
const maxOwnerCandidates = 64

// OwnerCandidates returns the members among which the owners of ledgers are
// chosen: those of greatest weight among the members that are not dead or left.
func OwnerCandidates(ms []member.Member) []member.Member {
	const seed = 0x6c656467657273
	var live []member.Member
	for _, m := range ms {
		if m.Status < member.Dead {
			live = append(live, m)
		}
	}
	if len(live) > maxOwnerCandidates {
		slices.SortFunc(live, func(a, b member.Member) int {
			return cmp.Or(cmp.Compare(weight(seed, b.ID), weight(seed, a.ID)), cmp.Compare(a.ID, b.ID))
		})
		live = live[:maxOwnerCandidates]
	}
	return live
}

// Owner returns the candidate of greatest weight for seed, or the zero Member
// if there are no candidates.
func Owner(seed uint64, candidates []member.Member) member.Member {
	var best member.Member
	var bestWeight uint64
	for _, m := range candidates {
		if w := weight(seed, m.ID); best.ID == "" || w > bestWeight || w == bestWeight && m.ID < best.ID {
			best, bestWeight = m, w
		}
	}
	return best
}
