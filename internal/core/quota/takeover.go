package quota

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// minTakeover is the time after the start of a node for which its view may still
	// miss nodes, so that reports of all nodes in it prove nothing, unless the number of
	// nodes is known.
	minTakeover = 3 * time.Second
	// tenureMemory is the time for which former owners are remembered. Credit is assumed
	// to have grown only since the end of a takeover.
	tenureMemory = 30 * time.Second
	// lostReserve is the part of each limit that is kept for a lost node, as a multiple of
	// its even part: it may have held more. A takeover ends early only if at most one in
	// lostFraction nodes is lost, as otherwise the mesh may be partitioned.
	lostReserve  = 4
	lostFraction = 8
	// restartTime is the time after the start of a node in which it may find out that all
	// nodes have restarted.
	restartTime = 10 * time.Second
	// restartFraction is the part of the credit that accounts have after a restart of all
	// nodes. While no process ran, which takes half a second at least, no credit was used:
	// together with what was used before, half of the credit keeps within the bound.
	restartFraction = 0.5
	// probeDelay is the time for which a takeover waits for reports before it asks the
	// nodes for them. Nodes that know of the new owner report within greetInterval.
	// probeInterval is the time between two requests to the same node.
	probeDelay    = 600 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// maxTenures bounds the remembered sets of owners. Beyond it, the older sets count as
	// unknown, so that every account is in takeover.
	maxTenures = 32
)

// tenure is the time during which a set of nodes owned the accounts.
type tenure struct {
	owners   []mesh.NodeID            // empty if unknown
	digest   uint64                   // of owners
	ended    time.Time                // start of the takeover
	done     time.Time                // when all shares granted by owners have expired or are known
	reported map[mesh.NodeID]struct{} // nodes whose shares are known since
}

// SetView replaces the view of the mesh.
func (l *ShareLedger) SetView(v *View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.view
	l.view = v
	l.countedAt = time.Time{}
	if old == nil || !slices.Equal(old.Owners, v.Owners) {
		t := &tenure{ended: now, done: now.Add(ShareLease), reported: make(map[mesh.NodeID]struct{})}
		if old != nil {
			t.owners, t.digest = old.Owners, old.digest
		}
		l.tenures = append(l.tenures, t)
	}
	if old != nil {
		for id := range v.down {
			if !old.isAlive(id) {
				continue
			}
			l.lostAt[id] = now
			for _, t := range l.tenures {
				delete(t.reported, id) // another owner may grant it shares meanwhile
			}
		}
	}
	l.recordRestart(now)
	l.tenures = slices.DeleteFunc(l.tenures, func(t *tenure) bool { return now.Sub(t.done) > tenureMemory })
	if n := len(l.tenures) - maxTenures; n > 0 {
		l.tenures = l.tenures[n:]
		l.tenures[0].owners, l.tenures[0].digest = nil, 0
	}
}

// recordRestart ends all takeovers if the processes of all nodes have started at about the
// same time as this one: the shares of before have ended with their holders.
func (l *ShareLedger) recordRestart(now time.Time) {
	if l.view.restarted && l.restartedAt.IsZero() && now.Sub(l.started) < restartTime {
		l.restartedAt = now
		for _, a := range l.accounts {
			a.pool = max(a.pool, restartFraction*l.bounds.credit(a.limit))
		}
	}
	if !l.justRestarted(now) {
		return
	}
	for _, t := range l.tenures {
		if now.Before(t.done) {
			t.done = now
		}
	}
}

// justRestarted reports whether all nodes were found to have restarted a short time ago.
func (l *ShareLedger) justRestarted(now time.Time) bool {
	return !l.restartedAt.IsZero() && now.Sub(l.restartedAt) < ShareLease
}

// recordReport records that node from has reported all shares that it holds, by the same
// set of owners. The shares of nodes that were lost shortly before are unknown. Few of
// them are taken into account by lostReserve.
func (l *ShareLedger) recordReport(from mesh.NodeID, owners uint64, now time.Time) {
	if owners != l.view.digest {
		return
	}
	for _, t := range l.tenures {
		t.reported[from] = struct{}{}
	}
	delete(l.lostAt, from)
	l.endTakeovers(now)
}

// recordEmpty records the response r of a node that holds no shares and knows other owners
// than this node. It gets shares from them from now on, so that the time of the probe
// matters.
func (l *ShareLedger) recordEmpty(r *ShareRequest, now time.Time) {
	known := true
	for _, t := range l.tenures {
		if r.Answer >= t.ended.UnixMilli() && l.excludes(t, r.List) {
			t.reported[r.From] = struct{}{}
		} else if now.Before(t.done) {
			known = false
		}
	}
	if known {
		delete(l.lostAt, r.From)
	}
	l.endTakeovers(now)
}

// mayEndTakeover reports whether the view has the nodes that may hold shares.
func (l *ShareLedger) mayEndTakeover(now time.Time) bool {
	return l.view.reports() && (l.view.complete || now.Sub(l.started) >= minTakeover)
}

// endTakeovers ends the takeovers in which the shares of all alive nodes and of most lost
// ones are known.
func (l *ShareLedger) endTakeovers(now time.Time) {
	if !l.mayEndTakeover(now) || l.countLost(now)*lostFraction > l.view.Known {
		return
	}
	for _, t := range l.tenures {
		if now.Before(t.done) && !slices.ContainsFunc(l.view.Alive, func(id mesh.NodeID) bool { return !t.knows(id) }) {
			t.done = now
		}
	}
}

// knows reports whether the shares of node id are known.
func (t *tenure) knows(id mesh.NodeID) bool {
	_, ok := t.reported[id]
	return ok
}

// recordRequest records that the sender of r runs and frees the shares of its earlier
// processes, whose requests have lower numbers. It returns false if r is from one of them.
func (l *ShareLedger) recordRequest(r *ShareRequest, now time.Time) bool {
	last := l.reports[r.From]
	if r.Number <= last.started {
		return false
	}
	l.reports[r.From] = report{r.Owners, now, max(last.started, r.Started), last.newAt}
	if r.Started > last.started {
		l.reports[r.From] = report{r.Owners, now, r.Started, now}
		l.free(r.From, func(h *shareHolder) bool { return h.number <= r.Started })
	}
	if r.Empty {
		l.recordEmpty(r, now)
	}
	return true
}

// excludes reports whether owners are known and none of them owned accounts in t only, by
// the same process. A node that knows these owners gets shares of accounts of t only from
// nodes that had to take them over themselves.
func (l *ShareLedger) excludes(t *tenure, owners []mesh.NodeID) bool {
	if len(t.owners) == 0 || len(owners) == 0 {
		return false
	}
	return !slices.ContainsFunc(owners, func(id mesh.NodeID) bool {
		former := slices.Contains(t.owners, id) && !slices.Contains(l.view.Owners, id)
		return former && !l.reports[id].newAt.After(t.ended)
	})
}

// free removes the shares of node id that match.
func (l *ShareLedger) free(id mesh.NodeID, match func(*shareHolder) bool) {
	for _, a := range l.accounts {
		if h := a.holders[id]; h != nil && match(h) {
			a.total.Rate -= h.share.Rate
			a.total.Burst -= h.share.Burst
			delete(a.holders, id)
		}
	}
}

// Probes returns the nodes whose shares a takeover waits for and that are to be asked now,
// sorted.
func (l *ShareLedger) Probes(now time.Time) []mesh.NodeID {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.view == nil || !l.view.reports() || !slices.Contains(l.view.Owners, l.view.Self) || now.Sub(l.started) < restartTime {
		return nil // after its own start a node may take a part of the nodes for all of them
	}
	var out []mesh.NodeID
	open := false
	for _, t := range l.tenures {
		if !now.Before(t.done) {
			continue
		}
		open = true
		if now.Sub(t.ended) < probeDelay {
			continue
		}
		add := func(id mesh.NodeID) {
			if !t.knows(id) && now.Sub(l.probed[id]) >= probeInterval {
				l.probed[id] = now
				out = append(out, id)
			}
		}
		for _, id := range l.view.Alive {
			add(id)
		}
		if l.countLost(now)*lostFraction > l.view.Known {
			for id := range l.lostAt {
				add(id)
			}
		}
	}
	if !open {
		clear(l.probed)
	}
	slices.Sort(out)
	return out
}

// countLost returns the number of nodes that may hold shares and are not alive.
func (l *ShareLedger) countLost(now time.Time) int {
	for id, at := range l.lostAt {
		if now.Sub(at) >= ShareLease || l.view.isAlive(id) {
			delete(l.lostAt, id)
		}
	}
	return len(l.lostAt)
}

// ownedSince returns the time since which this node knows all shares of account a, which
// lies in the future during a takeover, and whether that excepts lost nodes.
func (l *ShareLedger) ownedSince(a mesh.ClientAccount, now time.Time) (since time.Time, early bool) {
	since = l.started
	for _, t := range l.tenures {
		if ownerOf(a, t.owners) == l.view.Self {
			continue
		}
		if t.done.After(since) {
			since = t.done
		}
		early = early || t.done.Before(t.ended.Add(ShareLease)) && now.Before(t.ended.Add(ShareLease))
	}
	return since, early
}
