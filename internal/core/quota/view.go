package quota

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// nodesPerOwner is the number of nodes for each node that owns accounts. A node sends
	// one request to each owner per ShareInterval, so few owners mean few messages.
	nodesPerOwner = 64
	// minOwners keeps half of the accounts unaffected when an owner fails.
	minOwners = 2
)

// View is what a node knows of the mesh.
type View struct {
	Self   mesh.NodeID
	Owners []mesh.NodeID // nodes that own accounts, sorted
	Alive  []mesh.NodeID // sorted
	Known  int           // remembered nodes, except those that left

	down     map[mesh.NodeID]struct{} // known nodes that are not alive
	complete bool                     // as many nodes are alive as there are rows of nodes
	digest   uint64                   // of Owners
	// restarted means that all processes of the mesh have started at about the same time,
	// so that no share of before is in use.
	restarted bool
}

// settledAge is the time by which a process must be older than the newest one to be
// preferred as an owner, in milliseconds of their clocks. Nodes that were restarted
// together start within some seconds; the accounts stay with those that were not.
const settledAge = 10_000

// restartSpread is the greatest difference between the start times of nodes that were
// restarted together, in milliseconds of their clocks.
const restartSpread = 2000

// restartLostFraction limits the nodes that may be missing after a restart of all nodes to
// one in restartLostFraction. Rows of nodes that were replaced stay in the store, so that
// many may be missing; the limit is scaled by the nodes that are there.
const restartLostFraction = 2

// NewView returns the view with members ms. A suspect member counts as not alive: its
// accounts need another owner well before their shares expire. atLeast is a lower bound
// on the number of nodes, 0 if unknown.
func NewView(self mesh.NodeID, ms []member.Member, atLeast int) *View {
	v := &View{Self: self, down: make(map[mesh.NodeID]struct{})}
	for i := range ms {
		switch ms[i].Status {
		case member.Alive:
			v.Alive = append(v.Alive, ms[i].ID)
		case member.Suspect, member.Dead:
			v.down[ms[i].ID] = struct{}{}
		}
	}
	v.Known = len(v.Alive) + len(v.down)
	slices.Sort(v.Alive)
	v.Known = max(v.Known, atLeast, 1)
	v.complete = atLeast > 0 && len(v.Alive) >= atLeast
	v.restarted = atLeast > 0 && startedTogether(self, ms) && (v.Known-len(v.Alive))*restartLostFraction <= v.Known
	v.Owners = chooseOwners(v.Alive, settled(ms), max(minOwners, len(v.Alive)/nodesPerOwner))
	v.digest = digestOf(v.Owners)
	return v
}

// digestOf returns the digest of a set of owners.
func digestOf(owners []mesh.NodeID) uint64 {
	d := xxhash.New()
	for _, id := range owners {
		_, _ = d.WriteString(string(id) + "\n") // never fails
	}
	return d.Sum64() & math.MaxUint32 // shorter in messages
}

// startedTogether reports whether no alive member has started much before this node. The
// incarnation of a member is the start time of its process.
func startedTogether(self mesh.NodeID, ms []member.Member) bool {
	i := slices.IndexFunc(ms, func(m member.Member) bool { return m.ID == self })
	if i < 0 || ms[i].Incarnation < restartSpread {
		return false
	}
	earliest := ms[i].Incarnation - restartSpread
	return !slices.ContainsFunc(ms, func(m member.Member) bool { return m.Status == member.Alive && m.Incarnation < earliest })
}

// settled returns the alive members that have started long before the newest one. It
// depends on the members only, so that nodes with the same view agree.
func settled(ms []member.Member) map[mesh.NodeID]bool {
	newest := uint64(0)
	for i := range ms {
		if ms[i].Status == member.Alive {
			newest = max(newest, ms[i].Incarnation)
		}
	}
	out := make(map[mesh.NodeID]bool)
	for i := range ms {
		if ms[i].Status == member.Alive && ms[i].Incarnation+settledAge <= newest {
			out[ms[i].ID] = true
		}
	}
	return out
}

// chooseOwners returns n of ids, sorted: those that are preferred first, and of these the
// ones of greatest weight.
func chooseOwners(ids []mesh.NodeID, preferred map[mesh.NodeID]bool, n int) []mesh.NodeID {
	const seed = 0x71756f746173
	out := slices.Clone(ids)
	if len(out) > n {
		weights := make(map[mesh.NodeID]uint64, len(out))
		for _, id := range out {
			weights[id] = idWeight(seed, id)
		}
		slices.SortFunc(out, func(a, b mesh.NodeID) int {
			if preferred[a] != preferred[b] {
				if preferred[a] {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
		})
		out = out[:n]
		slices.Sort(out)
	}
	return out
}

// idWeight is the rendezvous weight of a node for a seed.
func idWeight(seed uint64, id mesh.NodeID) uint64 {
	b := make([]byte, 8, 64)
	binary.LittleEndian.PutUint64(b, seed)
	return xxhash.Sum64(append(b, id...))
}

// ownerOf returns the one of owners that owns account a, "" without owners.
func ownerOf(a mesh.ClientAccount, owners []mesh.NodeID) mesh.NodeID {
	var best mesh.NodeID
	var bestWeight uint64
	seed := xxhash.Sum64String(string(a))
	for _, id := range owners {
		if w := idWeight(seed, id); best == "" || w > bestWeight {
			best, bestWeight = id, w
		}
	}
	return best
}

// isAlive reports whether node id is alive in v.
func (v *View) isAlive(id mesh.NodeID) bool {
	_, ok := slices.BinarySearch(v.Alive, id)
	return ok
}

// reports reports whether every node sends requests to every owner in each ShareInterval,
// also if it holds no share. In larger meshes that would be too many requests.
func (v *View) reports() bool { return len(v.Owners) <= maxReportedOwners }
