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

// keep returns the time for which a member of status s is remembered.
func keep(s Status) time.Duration {
	if s == Left {
		return keepLeft
	}
	return keepDead
}

// Merge takes in members from a Sync with another node. Members that the other
// node holds dead and this node holds alive are not taken over but probed
// soon: after a partition, each side holds the other side dead.
func (l *List) Merge(now time.Time, us []Update) {
	for _, u := range us {
		r, ok := l.others[u.ID]
		if ok && u.Status == Dead && r.Status < Dead {
			l.probeSoon(u.ID)
			continue
		}
		l.take(now, u)
	}
}

// MergeResponse is Merge for the view that this node asked another one for. A node
// that knew nobody does not spread it, since the others know it.
func (l *List) MergeResponse(now time.Time, us []Update) {
	l.joining = l.live == 0
	l.Merge(now, us)
	l.joining = false
}

// take merges one update into the view.
func (l *List) take(now time.Time, u Update) {
	if u.ID == "" || u.Status > Left || u.Endpoint > Warming {
		return
	}
	if u.ID == l.self.ID {
		l.refute(now, u)
		return
	}
	if u.Status >= Dead && u.Age >= keep(u.Status) {
		return
	}
	r, ok := l.others[u.ID]
	if ok && !u.Overrides(r.Member) {
		return
	}
	l.put(now, u)
	if u.Status < Dead {
		l.settleAddr(now, u.Member)
	}
}

// refute answers an update about this node. Any claim that overrides the own
// record, also one left by a former process with the same id, is overridden.
func (l *List) refute(now time.Time, u Update) {
	if l.self.Status == Left || !u.Overrides(l.self) {
		return
	}
	l.self.Incarnation = u.Incarnation + 1
	l.counts.Refutations++
	l.announce(now)
}

// settleAddr decides between two members that claim one address: the higher
// incarnation, which starts at the clock of the process, is the newer process,
// and the other one is gone.
func (l *List) settleAddr(now time.Time, m Member) {
	if m.Addr == l.self.Addr {
		if m.Incarnation >= l.self.Incarnation && l.self.Status != Left {
			l.self.Incarnation = m.Incarnation + 1
			l.counts.Refutations++
			l.announce(now)
		}
		l.replace(now, m)
		return
	}
	id, ok := l.byAddr[m.Addr]
	if !ok || id == m.ID {
		l.byAddr[m.Addr] = m.ID
		return
	}
	old := l.others[id].Member
	if m.Incarnation > old.Incarnation || m.Incarnation == old.Incarnation && m.ID > old.ID {
		l.replace(now, old)
		l.byAddr[m.Addr] = m.ID
		return
	}
	l.replace(now, m)
}

// replace marks m as left because a newer process has its address.
func (l *List) replace(now time.Time, m Member) {
	m.Status = Left
	l.counts.Replaced++
	l.put(now, Update{Member: m})
}

// put stores u as the record of another member and queues it.
func (l *List) put(now time.Time, u Update) {
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
	r.Member = u.Member
	l.tally(was, u.Status, u.ID)
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

// tally keeps the counts by status when a member moves from was to is.
func (l *List) tally(was, is Status, id mesh.NodeID) {
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

// schedule puts id at a random place of the present round of probes.
func (l *List) schedule(id mesh.NodeID) {
	if slices.Contains(l.order, id) {
		return
	}
	l.order = slices.Insert(l.order, l.cfg.Rand.IntN(len(l.order)+1), id)
}

// probeSoon makes id the next member to probe.
func (l *List) probeSoon(id mesh.NodeID) {
	l.order = slices.DeleteFunc(l.order, func(o mesh.NodeID) bool { return o == id })
	l.order = append(l.order, id)
}
