package member

import (
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// record is what is held of one other member.
type record struct {
	Member
	since time.Time // time of the current status
}

// Counts are the events of a List since it was made.
type Counts struct {
	Probes      int64 // probes started by this node, dead members excluded
	Failed      int64 // probes without direct or relayed acknowledgement
	Suspicions  int64 // members that became suspect in this view
	Deaths      int64 // members that became dead in this view
	Refutations int64 // claims about this node that it refuted
	Pauses      int64 // pauses of this process
	Replaced    int64 // members whose address went to a new node
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

	queue queue
	order []mesh.NodeID // members still to probe in this round
	probe *probe
	relay map[uint64]relayed

	sequence   uint64
	nextProbe  time.Time
	nextGossip time.Time // zero when no new update waits
	nextDead   time.Time
	caution    caution

	counts  Counts
	changes uint64
	joining bool // the first view is being taken in
}

// New returns the view of a node that knows no other member.
func New(c Config, now time.Time) *List {
	c.fill()
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = uint64(max(now.UnixMilli(), 1))
	}
	c.Self.Status = Alive
	l := &List{
		cfg:       c,
		self:      c.Self,
		others:    make(map[mesh.NodeID]*record),
		byAddr:    make(map[mesh.Addr]mesh.NodeID),
		down:      make(map[mesh.NodeID]struct{}),
		relay:     make(map[uint64]relayed),
		queue:     make(queue),
		nextProbe: now.Add(time.Duration(c.Rand.Int64N(int64(probePeriod)))),
		nextDead:  now.Add(c.DeadPeriod),
	}
	l.announce(now)
	return l
}

// Self returns the record of this node.
func (l *List) Self() Member { return l.self }

// SetVersion sets the configuration version that messages carry.
func (l *List) SetVersion(v mesh.Version) { l.version = v }

// SetEndpoint changes the endpoint of this node and spreads the change.
func (l *List) SetEndpoint(now time.Time, s mesh.Service, slots int, e EndpointState) {
	if l.self.Service == s && l.self.Slots == slots && l.self.Endpoint == e {
		return
	}
	l.self.Service, l.self.Slots, l.self.Endpoint = s, slots, e
	l.self.Incarnation++
	l.announce(now)
}

// Leave marks this node as left. The caller goes on to call Tick for a while,
// so that the others learn of it.
func (l *List) Leave(now time.Time) {
	if l.self.Status == Left {
		return
	}
	if l.self.Endpoint != NoEndpoint {
		l.self.Endpoint = Draining
	}
	l.self.Status = Left
	l.self.Incarnation++
	l.announce(now)
}

// announce queues the record of this node.
func (l *List) announce(now time.Time) {
	l.changes++
	l.enqueue(now, l.self.ID)
}

// enqueue queues the record of id for spreading, soonest first.
func (l *List) enqueue(now time.Time, id mesh.NodeID) {
	l.queue[id] = 0
	if l.nextGossip.IsZero() {
		l.nextGossip = now.Add(gossipDelay)
	}
}

// ChangeCount returns a number that grows whenever Members changes.
func (l *List) ChangeCount() uint64 { return l.changes }

// Counts returns the events so far.
func (l *List) Counts() Counts { return l.counts }

// Pending returns the number of updates that wait to be sent.
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

// update returns the update that tells of id.
func (l *List) update(now time.Time, id mesh.NodeID) (Update, bool) {
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

// pick returns up to n random members that are alive, other than not.
func (l *List) pick(n int, not mesh.NodeID) []*record {
	ids := l.sorted(func(r *record) bool { return r.Status == Alive && r.ID != not })
	n = min(n, len(ids))
	out := make([]*record, 0, n)
	for i := range n {
		j := i + l.cfg.Rand.IntN(len(ids)-i)
		ids[i], ids[j] = ids[j], ids[i]
		out = append(out, l.others[ids[i]])
	}
	return out
}

// sorted returns the sorted ids of the other members that match. The order is
// fixed so that a run depends on the random source only.
func (l *List) sorted(match func(*record) bool) []mesh.NodeID {
	ids := make([]mesh.NodeID, 0, len(l.others))
	for id, r := range l.others {
		if match(r) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
