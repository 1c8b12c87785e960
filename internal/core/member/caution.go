package member

// caution keeps a node that was paused from declaring members dead until it
// has completed a round of probes. A round without any acknowledgement shows
// nothing, since the socket may still be catching up, and goes on.
type caution struct {
	round int // probes of a round, 0 when the node was not paused
	done  int // probes completed
	heard bool
}

// start begins a round among live other members.
func (c *caution) start(live int) { *c = caution{round: min(live, pauseRound)} }

// active reports whether no member may be declared dead.
func (c *caution) active() bool { return c.round > 0 }

// probed takes in the end of one probe and reports whether it was the last.
func (c *caution) probed(acked bool) bool {
	if !c.active() {
		return false
	}
	c.heard = c.heard || acked
	c.done++
	if c.done < c.round || !c.heard && c.done < pauseSilence {
		return false
	}
	*c = caution{}
	return true
}
