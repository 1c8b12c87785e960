package member

// pauseGuard keeps a node that was paused from declaring members dead until it
// has completed a round of probes. A round without any acknowledgement proves
// nothing, since the socket may still be reading its backlog, and is extended.
type pauseGuard struct {
	probes    int // probes in the round, 0 when the node was not paused
	completed int // probes completed
	anyAck    bool
}

// start begins a round of probes among live other members.
func (g *pauseGuard) start(live int) { *g = pauseGuard{probes: min(live, maxPauseProbes)} }

// active reports whether declaring members dead is suspended.
func (g *pauseGuard) active() bool { return g.probes > 0 }

// recordProbe records the result of one probe and reports whether it ended the
// round.
func (g *pauseGuard) recordProbe(acked bool) bool {
	if !g.active() {
		return false
	}
	g.anyAck = g.anyAck || acked
	g.completed++
	if g.completed < g.probes || !g.anyAck && g.completed < maxSilentProbes {
		return false
	}
	*g = pauseGuard{}
	return true
}
