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
	// entries is the number of members of each availability zone that the node
	// with a new version pushes to. Two of them let a push reach the zone when
	// one has just failed.
	entries = 2
	// leastWatchers is the least number of watchers of the whole mesh: one that
	// just failed leaves two. The calls that watchers make grow with availability
	// zones, not with nodes.
	leastWatchers = 3
	// readers is the number of members of an availability zone that read the
	// platform.
	readers = 2
)

// weight is the rendezvous weight of a member for a seed.
func weight(seed uint64, id mesh.NodeID) uint64 {
	b := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(b, seed)
	return xxhash.Sum64(append(b, id...))
}

// order returns the members of zone that are not dead or left, by descending
// weight.
func order(seed uint64, zone mesh.AvailabilityZone, ms []member.Member) []member.Member {
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

// zones returns the availability zones of members that are not dead or left,
// sorted.
func zones(ms []member.Member) []mesh.AvailabilityZone {
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
	for _, z := range zones(ms) {
		o := order(uint64(v), z, ms)
		out = append(out, o[:min(entries, len(o))]...)
	}
	return out
}

// Children returns the members that the member of the given id pushes version
// v to within its availability zone. The members of a zone form a tree with
// fan-out 8 in the order of their weights, so every version loads other nodes.
func Children(v mesh.Version, id mesh.NodeID, ms []member.Member) []member.Member {
	i := slices.IndexFunc(ms, func(m member.Member) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	o := order(uint64(v), ms[i].Zone, ms)
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
	o := order(0, zone, ms)
	return slices.ContainsFunc(o[:min(readers, len(o))], func(m member.Member) bool { return m.ID == id })
}

// Watchers returns the few members of the mesh that follow the platform for the
// others: the alive one of greatest weight of each availability zone, and further ones
// if there are fewer than three zones. They are sorted by zone, further ones last.
func Watchers(ms []member.Member) []member.Member {
	const seed = 0x7761746368657273
	ranked := make([]member.Member, 0, len(ms))
	for i := range ms {
		if ms[i].Status == member.Alive {
			ranked = append(ranked, ms[i])
		}
	}
	weights := make(map[mesh.NodeID]uint64, len(ranked))
	for i := range ranked {
		weights[ranked[i].ID] = weight(seed, ranked[i].ID)
	}
	slices.SortFunc(ranked, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
	})
	seen := make(map[mesh.AvailabilityZone]bool)
	var out, rest []member.Member
	for _, m := range ranked {
		if seen[m.Zone] {
			rest = append(rest, m)
			continue
		}
		seen[m.Zone] = true
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b member.Member) int { return cmp.Compare(a.Zone, b.Zone) })
	return append(out, rest[:min(len(rest), max(0, leastWatchers-len(out)))]...)
}

// IsWatcher reports whether the member of the given id is one of the watchers. A
// member that is not in ms counts as one.
func IsWatcher(id mesh.NodeID, ms []member.Member) bool {
	self := func(m member.Member) bool { return m.ID == id }
	return slices.ContainsFunc(Watchers(ms), self) || !slices.ContainsFunc(ms, self)
}

// keepers is the number of members that keep ledgers. Fewer would let a node
// send its asks in fewer requests, but each keeper would serve more of them.
const keepers = 64

// OwnerCandidates returns the members that keep ledgers: those of greatest weight among
// the members that are not dead or left.
func OwnerCandidates(ms []member.Member) []member.Member {
	const seed = 0x6c656467657273
	var live []member.Member
	for _, m := range ms {
		if m.Status < member.Dead {
			live = append(live, m)
		}
	}
	if len(live) > keepers {
		slices.SortFunc(live, func(a, b member.Member) int {
			return cmp.Or(cmp.Compare(weight(seed, b.ID), weight(seed, a.ID)), cmp.Compare(a.ID, b.ID))
		})
		live = live[:keepers]
	}
	return live
}

// Owner returns the keeper of greatest weight for seed, and the zero Member if
// there is no keeper.
func Owner(seed uint64, keepers []member.Member) member.Member {
	var best member.Member
	var most uint64
	for _, m := range keepers {
		if w := weight(seed, m.ID); best.ID == "" || w > most || w == most && m.ID < best.ID {
			best, most = m, w
		}
	}
	return best
}
