package member

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// probe is the outstanding probe of this node.
type probe struct {
	target   mesh.NodeID
	sequence uint64
	sentAt   time.Time
	relayed  bool
	acked    bool
}

// relayedProbe is a probe sent on behalf of another member.
type relayedProbe struct {
	from     mesh.NodeID
	addr     mesh.Addr
	sequence uint64
	target   mesh.NodeID
	sentAt   time.Time
}

// NextTick returns the time at which Tick is due.
func (l *List) NextTick() time.Time {
	t := l.nextProbe
	if p := l.probe; p != nil && !p.acked && !p.relayed {
		t = earlier(t, p.sentAt.Add(directTimeout))
	}
	if !l.nextGossip.IsZero() {
		t = earlier(t, l.nextGossip)
	}
	return t
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Tick performs the work due at now and returns the messages to send. It must
// be called at the time that NextTick returns, or shortly after.
func (l *List) Tick(now time.Time) []Datagram {
	if now.Sub(l.NextTick()) > pauseThreshold {
		l.handlePause(now)
	}
	l.sweep(now)
	var out []Datagram
	if p := l.probe; p != nil && !p.acked && !p.relayed && !now.Before(p.sentAt.Add(directTimeout)) {
		out = l.requestRelays(now, p)
	}
	if !now.Before(l.nextProbe) {
		out = append(out, l.advanceProbe(now)...)
	}
	if !now.Before(l.nextDeadProbe) {
		out = append(out, l.probeDead(now)...)
	}
	if !l.nextGossip.IsZero() && !now.Before(l.nextGossip) {
		out = append(out, l.gossip(now)...)
	}
	return out
}

// handlePause handles a pause of this process: acknowledgements may have been
// lost or may still be unread, so nothing is concluded from the time that
// passed.
func (l *List) handlePause(now time.Time) {
	l.counts.Pauses++
	l.probe = nil
	clear(l.relayedProbes)
	l.pauseGuard.start(l.live)
	l.restartSuspicion(now)
	l.nextProbe = now
}

// restartSuspicion gives all suspects the full time to refute and returns their
// ids.
func (l *List) restartSuspicion(now time.Time) []mesh.NodeID {
	ids := l.sortedIDs(func(r *record) bool { return r.Status == Suspect })
	for _, id := range ids {
		l.others[id].since = now
	}
	return ids
}

// probeSuspects probes up to maxRecheckProbes suspects when the guard after a
// pause ends, since their refutations may have been lost.
func (l *List) probeSuspects(now time.Time) []Datagram {
	ids := l.restartSuspicion(now)
	var out []Datagram
	for _, id := range ids[:min(len(ids), maxRecheckProbes)] {
		l.sequence++
		out = append(out, l.newProbe(now, l.others[id], l.sequence))
	}
	return out
}

// sweep declares suspects dead after the suspicion timeout, and removes members
// and relayed probes that have expired.
func (l *List) sweep(now time.Time) {
	limit := suspicionTimeout(l.Size())
	for _, id := range l.sortedIDs(func(r *record) bool { return r.Status != Alive }) {
		r := l.others[id]
		age := now.Sub(r.since)
		switch {
		case r.Status == Suspect && age >= limit && !l.pauseGuard.active():
			m := r.Member
			m.Status = Dead
			l.store(now, Update{Member: m})
		case r.Status >= Dead && age >= retention(r.Status):
			delete(l.others, id)
			delete(l.down, id)
			delete(l.queue, id)
			l.changes++
		}
	}
	for s, r := range l.relayedProbes {
		if now.Sub(r.sentAt) > probePeriod {
			delete(l.relayedProbes, s)
		}
	}
}

// advanceProbe concludes the outstanding probe and starts the next one.
func (l *List) advanceProbe(now time.Time) []Datagram {
	out := l.concludeProbe(now)
	l.nextProbe = l.nextProbe.Add(probePeriod)
	if !l.nextProbe.After(now) {
		l.nextProbe = now.Add(probePeriod)
	}
	r, ok := l.nextTarget()
	if !ok {
		l.pauseGuard = pauseGuard{}
		return out
	}
	l.sequence++
	l.counts.Probes++
	l.probe = &probe{target: r.ID, sequence: l.sequence, sentAt: now}
	return append(out, l.newProbe(now, r, l.sequence))
}

func (l *List) newProbe(now time.Time, r *record, sequence uint64) Datagram {
	m := l.newMessage(now, Probe, r.ID, false)
	m.Sequence, m.Target = sequence, r.ID
	return Datagram{To: r.Addr, Message: m}
}

// concludeProbe ends the outstanding probe; a member that did not acknowledge
// it becomes suspect.
func (l *List) concludeProbe(now time.Time) []Datagram {
	p := l.probe
	l.probe = nil
	if p == nil {
		return nil
	}
	if !p.acked {
		l.counts.Failed++
		if r, ok := l.others[p.target]; ok && r.Status == Alive {
			m := r.Member
			m.Status = Suspect
			l.store(now, Update{Member: m})
		}
	}
	if l.pauseGuard.recordProbe(p.acked) {
		return l.probeSuspects(now)
	}
	return nil
}

// nextTarget returns the next member in shuffled round-robin order.
func (l *List) nextTarget() (*record, bool) {
	for range 2 {
		for len(l.probeOrder) > 0 {
			id := l.probeOrder[len(l.probeOrder)-1]
			l.probeOrder = l.probeOrder[:len(l.probeOrder)-1]
			if r, ok := l.others[id]; ok && r.Status < Dead {
				return r, true
			}
		}
		l.probeOrder = l.sortedIDs(func(r *record) bool { return r.Status < Dead })
		l.cfg.Rand.Shuffle(len(l.probeOrder), func(i, j int) { l.probeOrder[i], l.probeOrder[j] = l.probeOrder[j], l.probeOrder[i] })
	}
	return nil, false
}

// requestRelays asks other members to probe the target of p.
func (l *List) requestRelays(now time.Time, p *probe) []Datagram {
	p.relayed = true
	t, ok := l.others[p.target]
	if !ok {
		return nil
	}
	var out []Datagram
	for _, r := range l.randomAlive(relayCount, p.target) {
		m := l.newMessage(now, Relay, r.ID, false)
		m.Sequence, m.Target, m.Addr = p.sequence, t.ID, t.Addr
		out = append(out, Datagram{To: r.Addr, Message: m})
	}
	return out
}

// probeDead probes one member that is dead or left recently. A member that is
// running again learns from the probe that it was declared dead and refutes it.
func (l *List) probeDead(now time.Time) []Datagram {
	l.nextDeadProbe = now.Add(l.cfg.DeadProbeInterval)
	ids := l.sortedIDs(func(r *record) bool {
		return r.Status == Dead || r.Status == Left && now.Sub(r.since) < leftProbeDuration
	})
	if len(ids) == 0 {
		return nil
	}
	l.sequence++
	return []Datagram{l.newProbe(now, l.others[ids[l.cfg.Rand.IntN(len(ids))]], l.sequence)}
}

// gossip sends new updates to a few members immediately.
func (l *List) gossip(now time.Time) []Datagram {
	l.nextGossip = time.Time{}
	var out []Datagram
	for _, r := range l.gossipTargets() {
		if m := l.newMessage(now, Gossip, r.ID, false); len(m.Updates) > 0 {
			out = append(out, Datagram{To: r.Addr, Message: m})
		}
	}
	if l.preferZone && l.queue.sentLessThan(zoneRounds*zoneFanout) {
		l.nextGossip = now.Add(zoneRoundInterval)
	}
	return out
}

// GossipVersion sends the version of this node and the queued updates to a few
// members immediately, so that they need not wait for its next probe.
func (l *List) GossipVersion(now time.Time) []Datagram {
	var out []Datagram
	for _, r := range l.gossipTargets() {
		out = append(out, Datagram{To: r.Addr, Message: l.newMessage(now, Gossip, r.ID, false)})
	}
	return out
}

// Receive processes a message that came from address source and returns the
// messages to send. Replies to unknown members go to source, all others to the
// address in the record of the member.
func (l *List) Receive(now time.Time, source mesh.Addr, m Message) []Datagram {
	if m.From == l.self.ID {
		return nil
	}
	for _, u := range m.Updates {
		l.mergeUpdate(now, u)
	}
	reply := source
	if r, ok := l.others[m.From]; ok {
		reply = r.Addr
	}
	switch m.Kind {
	case Probe:
		return l.acknowledge(now, reply, m)
	case Ack:
		return l.handleAck(now, m)
	case Relay:
		return l.relayProbe(now, reply, m)
	}
	return nil
}

// acknowledge acknowledges a probe. The reply carries the record of this node
// if the sender has an older one or meant another node at this address.
func (l *List) acknowledge(now time.Time, to mesh.Addr, m Message) []Datagram {
	withSelf := m.Target != l.self.ID || slices.ContainsFunc(m.Updates, func(u Update) bool {
		return u.ID == l.self.ID && l.self.Overrides(u.Member)
	})
	a := l.newMessage(now, Ack, m.From, withSelf)
	a.Sequence, a.Target = m.Sequence, l.self.ID
	return []Datagram{{To: to, Message: a}}
}

// handleAck processes the acknowledgement of a probe that this node sent for
// itself or for another member.
func (l *List) handleAck(now time.Time, m Message) []Datagram {
	if p := l.probe; p != nil && p.sequence == m.Sequence {
		p.acked = p.acked || p.target == m.Target
		return nil
	}
	r, ok := l.relayedProbes[m.Sequence]
	if !ok || r.target != m.Target {
		return nil
	}
	delete(l.relayedProbes, m.Sequence)
	a := l.newMessage(now, Ack, r.from, false)
	a.Sequence, a.Target = r.sequence, r.target
	return []Datagram{{To: r.addr, Message: a}}
}

// relayProbe probes a member on behalf of another member.
func (l *List) relayProbe(now time.Time, from mesh.Addr, m Message) []Datagram {
	l.sequence++
	l.relayedProbes[l.sequence] = relayedProbe{from: m.From, addr: from, sequence: m.Sequence, target: m.Target, sentAt: now}
	p := l.newMessage(now, Probe, m.Target, false)
	p.Sequence, p.Target = l.sequence, m.Target
	return []Datagram{{To: m.Addr, Message: p}}
}

// Gossip sends the queued updates to a few members immediately.
func (l *List) Gossip(now time.Time) []Datagram { return l.gossip(now) }
