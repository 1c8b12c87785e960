package member

import (
	"cmp"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// queue holds, by member, how often the latest update of it was sent.
type queue map[mesh.NodeID]int

// next returns the queued members, least sent first.
func (q queue) next() []mesh.NodeID {
	ids := make([]mesh.NodeID, 0, len(q))
	for id := range q {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b mesh.NodeID) int {
		return cmp.Or(cmp.Compare(q[a], q[b]), cmp.Compare(a, b))
	})
	return ids
}

// message returns a message to the member to (which may be unknown) that
// carries the record of this node if own is set, what this node thinks of the
// receiver unless it is alive, then queued updates up to the budget.
func (l *List) message(now time.Time, k Kind, to mesh.NodeID, own bool) Message {
	m := Message{Kind: k, From: l.self.ID, Version: l.version}
	left := l.cfg.BudgetBytes
	if own {
		left -= l.add(now, &m, l.self.ID, left)
	}
	if r, ok := l.others[to]; ok && r.Status != Alive {
		left -= l.add(now, &m, to, left)
	}
	limit := transmissions(l.live)
	for _, id := range l.queue.next() {
		if id == to || own && id == l.self.ID {
			continue
		}
		n := l.add(now, &m, id, left)
		if n == 0 {
			continue
		}
		left -= n
		if l.queue[id]++; l.queue[id] >= limit {
			delete(l.queue, id)
		}
	}
	return m
}

// add appends the update of id to m if it fits in left bytes, and returns its
// size or 0.
func (l *List) add(now time.Time, m *Message, id mesh.NodeID, left int) int {
	u, ok := l.update(now, id)
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
