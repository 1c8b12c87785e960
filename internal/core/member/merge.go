package member

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Overrides reports whether m overrides o, a record of the same member: by
// incarnation, then by status.
func (m Member) Overrides(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Status > o.Status
}

// retention returns the time for which a member of status s is remembered.
func retention(s Status) time.Duration {
	if s == Left {
		return leftRetention
	}
	return deadRetention
}

// Merge merges the members from a Sync with another node. A member that the
// other node considers dead and this node considers alive is not marked dead
// but probed next: after a partition, each side considers the other side dead.
func (l *List) Merge(now time.Time, us []Update) {
	for _, u := range us {
		r, ok := l.others[u.ID]
		if ok && u.Status == Dead && r.Status < Dead {
			l.probeNext(u.ID)
			continue
		}
		l.mergeUpdate(now, u)
	}
}

// MergeResponse merges the view that another node sent at the request of this
// node. A node that knew no other member does not disseminate that view, since
// the other nodes already have it.
func (l *List) MergeResponse(now time.Time, us []Update) {
	l.joining = l.live == 0
	l.Merge(now, us)
	l.joining = false
}

// mergeUpdate merges one update into the view.
func (l *List) mergeUpdate(now time.Time, u Update) {
	if u.ID == "" || u.Status > Left || u.Endpoint > Warming {
		return
	}
	if u.ID == l.self.ID {
		l.recordPredecessor(u)
		l.refute(now, u)
		return
	}
	if u.Status >= Dead && u.Age >= retention(u.Status) {
		return
	}
	r, ok := l.others[u.ID]
	if ok && !u.Overrides(r.Member) {
		return
	}
	l.store(now, u)
	if u.Status < Dead {
		l.resolveAddrConflict(now, u.Member)
	}
}

// recordPredecessor records u if it is about an earlier process with the id of this
// node: its incarnation precedes the first one of this process or exceeds the current
// one.
func (l *List) recordPredecessor(u Update) {
	if u.Incarnation >= l.firstIncarnation && u.Incarnation <= l.self.Incarnation {
		return
	}
	if l.predecessor.ID == "" || u.Incarnation > l.predecessor.Incarnation {
		l.predecessor = u.Member
	}
}

// Predecessor returns the last known record of an earlier process with the id of this
// node, or false if none is known.
func (l *List) Predecessor() (Member, bool) {
	return l.predecessor, l.predecessor.ID != ""
}

// minProcessGap is the least difference between the incarnations of two processes with
// one id. The first incarnation of a process is its start time in milliseconds, and
// each change of its record adds one, so that records of one process lie closer.
const minProcessGap = 100

// newProcess reports whether m is the record of a later process than old.
func newProcess(old, m Member) bool { return m.Incarnation >= old.Incarnation+minProcessGap }

// PredecessorOf returns the last record of the process before that of m, or false if
// none is known. The record of m itself may have arrived before.
func (l *List) PredecessorOf(m Member) (Update, bool) {
	r, ok := l.others[m.ID]
	switch {
	case !ok:
		return Update{}, false
	case newProcess(r.Member, m):
		return Update{Member: r.Member}, true
	}
	return Update{Member: r.predecessor}, r.predecessor.ID != ""
}

// refute responds to an update about this node. A claim that overrides the own
// record, including one left over from an earlier process with the same id, is
// overridden by a higher incarnation.
func (l *List) refute(now time.Time, u Update) {
	if l.self.Status == Left || !u.Overrides(l.self) {
		return
	}
	l.self.Incarnation = u.Incarnation + 1
	l.counts.Refutations++
	l.announce(now)
}

// resolveAddrConflict chooses between two members that claim one address: the
// one with the higher incarnation, which starts at the clock of the process, is
// the newer process, and the other one is marked as left.
func (l *List) resolveAddrConflict(now time.Time, m Member) {
	if m.Addr == l.self.Addr {
		if m.Incarnation >= l.self.Incarnation && l.self.Status != Left {
			l.self.Incarnation = m.Incarnation + 1
			l.counts.Refutations++
			l.announce(now)
		}
		l.markReplaced(now, m)
		return
	}
	id, ok := l.byAddr[m.Addr]
	if !ok || id == m.ID {
		l.byAddr[m.Addr] = m.ID
		return
	}
	old := l.others[id].Member
	if m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.ID > old.ID {
		l.markReplaced(now, old)
		l.byAddr[m.Addr] = m.ID
		return
	}
	l.markReplaced(now, m)
}

// markReplaced marks m as left because a newer process has its address.
func (l *List) markReplaced(now time.Time, m Member) {
	m.Status = Left
	l.counts.Replaced++
	l.store(now, Update{Member: m})
}

// store stores u as the record of another member and queues it for
// dissemination.
func (l *List) store(now time.Time, u Update) {
	r, ok := l.others[u.ID]
	if !ok {
		r = &record{Member: Member{ID: u.ID, Status: Dead}}
		l.others[u.ID] = r
	}
	was := r.Status
	if r.Addr != u.Addr || u.Status >= Dead {
		l.dropAddr(r.Member)
	}
	if was != u.Status || !ok || u.Status < Dead {
		r.since = now.Add(-u.Age)
	}
	if ok && newProcess(r.Member, u.Member) {
		r.predecessor = r.Member
	}
	r.Member = u.Member
	l.updateCounts(was, u.Status, u.ID)
	if was >= Dead && u.Status < Dead {
		l.schedule(u.ID)
	}
	l.changes++
	if !l.joining {
		l.enqueue(now, u.ID)
	}
}

func (l *List) dropAddr(m Member) {
	if l.byAddr[m.Addr] == m.ID {
		delete(l.byAddr, m.Addr)
	}
}

// updateCounts updates the counts by status when a member moves from status was
// to status is.
func (l *List) updateCounts(was, is Status, id mesh.NodeID) {
	switch {
	case was >= Dead && is < Dead:
		l.live++
	case was < Dead && is >= Dead:
		l.live--
	}
	if is == Alive {
		delete(l.down, id)
	} else {
		l.down[id] = struct{}{}
	}
	if was == is {
		return
	}
	switch is {
	case Suspect:
		l.counts.Suspicions++
	case Dead:
		l.counts.Deaths++
	}
}

// schedule inserts id at a random position of the current round of probes.
func (l *List) schedule(id mesh.NodeID) {
	if slices.Contains(l.probeOrder, id) {
		return
	}
	l.probeOrder = slices.Insert(l.probeOrder, l.cfg.Rand.IntN(len(l.probeOrder)+1), id)
}

// probeNext makes id the next member to probe.
func (l *List) probeNext(id mesh.NodeID) {
	l.probeOrder = slices.DeleteFunc(l.probeOrder, func(o mesh.NodeID) bool { return o == id })
	l.probeOrder = append(l.probeOrder, id)
}
