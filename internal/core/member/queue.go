package member

import (
	"cmp"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// queue maps a member to the number of times that its latest update was sent.
type queue map[mesh.NodeID]int

// bySendCount returns the queued members, least sent first.
func (q queue) bySendCount() []mesh.NodeID {
	ids := make([]mesh.NodeID, 0, len(q))
	for id := range q {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b mesh.NodeID) int {
		return cmp.Or(cmp.Compare(q[a], q[b]), cmp.Compare(a, b))
	})
	return ids
}

// sentLessThan reports whether an update was sent fewer than n times.
func (q queue) sentLessThan(n int) bool {
	for _, sends := range q {
		if sends < n {
			return true
		}
	}
	return false
}

// newMessage returns a message to the member to, which may be unknown. It
// carries the record of this node if withSelf is set, the record of the
// receiver unless it is alive, then queued updates up to the byte budget.
func (l *List) newMessage(now time.Time, k Kind, to mesh.NodeID, withSelf bool) Message {
	m := Message{Kind: k, From: l.self.ID, Version: l.version}
	left := l.cfg.BudgetBytes
	if withSelf {
		left -= l.appendUpdate(now, &m, l.self.ID, left)
	}
	if r, ok := l.others[to]; ok && r.Status != Alive {
		left -= l.appendUpdate(now, &m, to, left)
	}
	limit := transmissions(l.live)
	if l.preferZone && l.inOtherZone(to) {
		limit = min(limit, maxZoneSends)
	}
	for _, id := range l.queue.bySendCount() {
		if l.queue[id] >= limit {
			break // only less often sent updates go to other zones
		}
		if id == to || withSelf && id == l.self.ID {
			continue
		}
		n := l.appendUpdate(now, &m, id, left)
		if n == 0 {
			continue
		}
		left -= n
		if l.queue[id]++; l.queue[id] >= transmissions(l.live) {
			delete(l.queue, id)
		}
	}
	return m
}

// appendUpdate appends the update of id to m if it fits in left bytes, and
// returns its size or 0.
func (l *List) appendUpdate(now time.Time, m *Message, id mesh.NodeID, left int) int {
	u, ok := l.updateFor(now, id)
	if !ok {
		delete(l.queue, id)
		return 0
	}
	n := l.cfg.UpdateSize(u)
	if n > left {
		return 0
	}
	m.Updates = append(m.Updates, u)
	return n
}
