package member

import (
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// record is the state that this node keeps for one other member.
type record struct {
	Member
	since       time.Time // time of the current status
	predecessor Member    // last record of the process before, zero if none is known
}

// Counts holds the event counters of a List since its creation.
type Counts struct {
	Probes      int64 // probes started by this node, dead members excluded
	Failed      int64 // probes without direct or relayed acknowledgement
	Suspicions  int64 // members that became suspect in this view
	Deaths      int64 // members that became dead in this view
	Refutations int64 // claims about this node that it refuted
	Pauses      int64 // pauses of this process
	Replaced    int64 // members whose address was taken over by a new node
}

// List is the view of the mesh held by one node. It is not safe for concurrent
// use.
type List struct {
	cfg     Config
	self    Member
	version mesh.Version
	others  map[mesh.NodeID]*record
	byAddr  map[mesh.Addr]mesh.NodeID // members neither dead nor left
	down    map[mesh.NodeID]struct{}  // members that are not alive
	live    int                       // others that are alive or suspect

	queue         queue
	probeOrder    []mesh.NodeID // members still to probe in this round
	probe         *probe
	relayedProbes map[uint64]relayedProbe

	sequence      uint64
	nextProbe     time.Time
	nextGossip    time.Time // zero when no new update is pending
	nextDeadProbe time.Time
	pauseGuard    pauseGuard

	firstIncarnation uint64 // of this process
	predecessor      Member // earlier process with the id of this node, zero if none is known

	counts     Counts
	changes    uint64
	preferZone bool
	joining    bool // the first view is being merged
}

// New returns the view of a node that knows no other member.
func New(c Config, now time.Time) *List {
	c.setDefaults()
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	c.Self.Status = Alive
	l := &List{
		cfg:           c,
		self:          c.Self,
		others:        make(map[mesh.NodeID]*record),
		byAddr:        make(map[mesh.Addr]mesh.NodeID),
		down:          make(map[mesh.NodeID]struct{}),
		relayedProbes: make(map[uint64]relayedProbe),
		queue:         make(queue),
		nextProbe:     now.Add(time.Duration(c.Rand.Int64N(int64(probePeriod)))),
		nextDeadProbe: now.Add(c.DeadProbeInterval),

		// The first incarnation is the start time in milliseconds, and a process sends fewer
		// probes than one a millisecond, so an acknowledgement of an earlier process is
		// never taken for one of this process.
		sequence:         c.Self.Incarnation,
		firstIncarnation: c.Self.Incarnation,
	}
	l.announce(now)
	return l
}

// Self returns the record of this node.
func (l *List) Self() Member { return l.self }

// SetVersion sets the configuration version that messages carry.
func (l *List) SetVersion(v mesh.Version) { l.version = v }

// SetPreferZone sets whether gossip goes mostly to members of the own availability zone.
// Otherwise it goes to all members alike.
func (l *List) SetPreferZone(prefer bool) { l.preferZone = prefer }

// SetEndpoint changes the endpoint of this node and disseminates the change.
func (l *List) SetEndpoint(now time.Time, s mesh.Service, slots int, e EndpointState) {
	if l.self.Service == s && l.self.Slots == slots && l.self.Endpoint == e {
		return
	}
	l.self.Service, l.self.Slots, l.self.Endpoint = s, slots, e
	l.self.Incarnation++
	l.announce(now)
}

// Leave marks this node as left. The caller must keep calling Tick for a while,
// so that the other members learn of it. A yielding endpoint stays so, which tells the
// next process with the id that its backend server went on.
func (l *List) Leave(now time.Time) {
	if l.self.Status == Left {
		return
	}
	if l.self.Endpoint != NoEndpoint && l.self.Endpoint != Yielding {
		l.self.Endpoint = Draining
	}
	l.self.Status = Left
	l.self.Incarnation++
	l.announce(now)
}

// announce queues the record of this node for dissemination.
func (l *List) announce(now time.Time) {
	l.changes++
	l.enqueue(now, l.self.ID)
}

// enqueue queues the record of id for dissemination, ahead of records that were
// sent before.
func (l *List) enqueue(now time.Time, id mesh.NodeID) {
	l.queue[id] = 0
	if l.nextGossip.IsZero() {
		l.nextGossip = now.Add(gossipDelay)
	}
}

// ChangeCount returns a counter that grows whenever the result of Members
// changes.
func (l *List) ChangeCount() uint64 { return l.changes }

// Counts returns the event counters.
func (l *List) Counts() Counts { return l.counts }

// Pending returns the number of queued updates.
func (l *List) Pending() int { return len(l.queue) }

// Size returns the number of members that are alive or suspect, this node
// included.
func (l *List) Size() int { return l.live + 1 }

// Members returns all members that are remembered, this node included, sorted
// by id.
func (l *List) Members() []Member {
	ms := make([]Member, 0, len(l.others)+1)
	ms = append(ms, l.self)
	for _, r := range l.others {
		ms = append(ms, r.Member)
	}
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return ms
}

// Lookup returns the record of id, which may be this node.
func (l *List) Lookup(id mesh.NodeID) (Member, bool) {
	if id == l.self.ID {
		return l.self, true
	}
	if r, ok := l.others[id]; ok {
		return r.Member, true
	}
	return Member{}, false
}

// HasAddr reports whether a member at address a is alive or suspect.
func (l *List) HasAddr(a mesh.Addr) bool {
	_, ok := l.byAddr[a]
	return ok || a == l.self.Addr
}

// updateFor returns the update that describes member id.
func (l *List) updateFor(now time.Time, id mesh.NodeID) (Update, bool) {
	if id == l.self.ID {
		return Update{Member: l.self}, true
	}
	r, ok := l.others[id]
	if !ok {
		return Update{}, false
	}
	u := Update{Member: r.Member}
	if r.Status >= Dead {
		u.Age = now.Sub(r.since)
	}
	return u, true
}

// randomAlive returns up to n random members that are alive, excluding except.
func (l *List) randomAlive(n int, except mesh.NodeID) []*record {
	return l.randomMatching(n, func(r *record) bool { return r.Status == Alive && r.ID != except })
}

// randomAliveIn returns up to n random members of zone z that are alive.
func (l *List) randomAliveIn(z mesh.AvailabilityZone, n int) []*record {
	return l.randomMatching(n, func(r *record) bool { return r.Status == Alive && r.Zone == z })
}

func (l *List) randomMatching(n int, match func(*record) bool) []*record {
	ids := l.sortedIDs(match)
	n = min(n, len(ids))
	out := make([]*record, 0, n)
	for i := range n {
		j := i + l.cfg.Rand.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
		out = append(out, l.others[ids[i]])
	}
	return out
}

// sortedIDs returns the sorted ids of the other members that match. The order
// is fixed so that a run depends only on the random source.
func (l *List) sortedIDs(match func(*record) bool) []mesh.NodeID {
	ids := make([]mesh.NodeID, 0, len(l.others))
	for id, r := range l.others {
		if match(r) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
