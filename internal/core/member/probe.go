package member

import (
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// probe is the probe that this node waits for.
type probe struct {
	target   mesh.NodeID
	sequence uint64
	at       time.Time
	relayed  bool
	acked    bool
}

// relayed is a probe made for another member.
type relayed struct {
	from     mesh.NodeID
	addr     mesh.Addr
	sequence uint64
	target   mesh.NodeID
	at       time.Time
}

// NextTick returns the time at which Tick is due.
func (l *List) NextTick() time.Time {
	t := l.nextProbe
	if p := l.probe; p != nil && !p.acked && !p.relayed {
		t = earlier(t, p.at.Add(directTimeout))
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

// Tick does what is due at now and returns the messages to send. It must be
// called at the time that Next returns, or soon after.
func (l *List) Tick(now time.Time) []Datagram {
	if now.Sub(l.NextTick()) > pauseLimit {
		l.resume(now)
	}
	l.sweep(now)
	var out []Datagram
	if p := l.probe; p != nil && !p.acked && !p.relayed && !now.Before(p.at.Add(directTimeout)) {
		out = l.askRelays(now, p)
	}
	if !now.Before(l.nextProbe) {
		out = append(out, l.nextRound(now)...)
	}
	if !now.Before(l.nextDead) {
		out = append(out, l.probeDead(now)...)
	}
	if !l.nextGossip.IsZero() && !now.Before(l.nextGossip) {
		out = append(out, l.gossip(now)...)
	}
	return out
}

// resume handles a pause of this process: acknowledgements may have been lost
// or wait unread, so nothing is concluded from the time that passed.
func (l *List) resume(now time.Time) {
	l.counts.Pauses++
	l.probe = nil
	clear(l.relay)
	l.caution.start(l.live)
	l.restartSuspicion(now)
	l.nextProbe = now
}

// restartSuspicion gives all suspects the full time to refute and returns
// their ids.
func (l *List) restartSuspicion(now time.Time) []mesh.NodeID {
	ids := l.sorted(func(r *record) bool { return r.Status == Suspect })
	for _, id := range ids {
		l.others[id].since = now
	}
	return ids
}

// recheck ends the caution after a pause: it probes all suspects, since their
// refutations may have been lost.
func (l *List) recheck(now time.Time) []Datagram {
	ids := l.restartSuspicion(now)
	var out []Datagram
	for _, id := range ids[:min(len(ids), recheckLimit)] {
		l.sequence++
		out = append(out, l.probeOf(now, l.others[id], l.sequence))
	}
	return out
}

// sweep declares suspects dead and forgets members after their time.
func (l *List) sweep(now time.Time) {
	limit := suspicion(l.Size())
	for _, id := range l.sorted(func(r *record) bool { return r.Status != Alive }) {
		r := l.others[id]
		age := now.Sub(r.since)
		switch {
		case r.Status == Suspect && age >= limit && !l.caution.active():
			m := r.Member
			m.Status = Dead
			l.put(now, Update{Member: m})
		case r.Status >= Dead && age >= keep(r.Status):
			delete(l.others, id)
			delete(l.down, id)
			delete(l.queue, id)
			l.changes++
		}
	}
	for s, r := range l.relay {
		if now.Sub(r.at) > probePeriod {
			delete(l.relay, s)
		}
	}
}

// nextRound concludes the present probe and starts the next one.
func (l *List) nextRound(now time.Time) []Datagram {
	out := l.conclude(now)
	l.nextProbe = l.nextProbe.Add(probePeriod)
	if !l.nextProbe.After(now) {
		l.nextProbe = now.Add(probePeriod)
	}
	r, ok := l.nextTarget()
	if !ok {
		l.caution = caution{}
		return out
	}
	l.sequence++
	l.counts.Probes++
	l.probe = &probe{target: r.ID, sequence: l.sequence, at: now}
	return append(out, l.probeOf(now, r, l.sequence))
}

func (l *List) probeOf(now time.Time, r *record, sequence uint64) Datagram {
	m := l.message(now, Probe, r.ID, false)
	m.Sequence, m.Target = sequence, r.ID
	return Datagram{To: r.Addr, Message: m}
}

// conclude ends the present probe; a silent member becomes suspect.
func (l *List) conclude(now time.Time) []Datagram {
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
			l.put(now, Update{Member: m})
		}
	}
	if l.caution.probed(p.acked) {
		return l.recheck(now)
	}
	return nil
}

// nextTarget returns the next member in shuffled round-robin order.
func (l *List) nextTarget() (*record, bool) {
	for range 2 {
		for len(l.order) > 0 {
			id := l.order[len(l.order)-1]
			l.order = l.order[:len(l.order)-1]
			if r, ok := l.others[id]; ok && r.Status < Dead {
				return r, true
			}
		}
		l.order = l.sorted(func(r *record) bool { return r.Status < Dead })
		l.cfg.Rand.Shuffle(len(l.order), func(i, j int) { l.order[i], l.order[j] = l.order[j], l.order[i] })
	}
	return nil, false
}

// askRelays asks other members to probe the target of p.
func (l *List) askRelays(now time.Time, p *probe) []Datagram {
	p.relayed = true
	t, ok := l.others[p.target]
	if !ok {
		return nil
	}
	var out []Datagram
	for _, r := range l.pick(relays, p.target) {
		m := l.message(now, Relay, r.ID, false)
		m.Sequence, m.Target, m.Addr = p.sequence, t.ID, t.Addr
		out = append(out, Datagram{To: r.Addr, Message: m})
	}
	return out
}

// probeDead probes one dead member. A member that is back learns from the
// probe that it was declared dead and refutes it.
func (l *List) probeDead(now time.Time) []Datagram {
	l.nextDead = now.Add(l.cfg.DeadPeriod)
	ids := l.sorted(func(r *record) bool {
		return r.Status == Dead || r.Status == Left && now.Sub(r.since) < probeLeft
	})
	if len(ids) == 0 {
		return nil
	}
	l.sequence++
	return []Datagram{l.probeOf(now, l.others[ids[l.cfg.Rand.IntN(len(ids))]], l.sequence)}
}

// gossip sends new updates to a few members at once.
func (l *List) gossip(now time.Time) []Datagram {
	l.nextGossip = time.Time{}
	var out []Datagram
	for _, r := range l.pick(gossipFanout, "") {
		if m := l.message(now, Gossip, r.ID, false); len(m.Updates) > 0 {
			out = append(out, Datagram{To: r.Addr, Message: m})
		}
	}
	return out
}

// GossipVersion sends the version of this node to a few members at once, with what is
// queued, so that they need not wait for its next probe.
func (l *List) GossipVersion(now time.Time) []Datagram {
	var out []Datagram
	for _, r := range l.pick(gossipFanout, "") {
		out = append(out, Datagram{To: r.Addr, Message: l.message(now, Gossip, r.ID, false)})
	}
	return out
}

// Receive takes in a message that came from address source and returns the
// messages to send. Members that this node does not know are answered at
// source, all others at their own address.
func (l *List) Receive(now time.Time, source mesh.Addr, m Message) []Datagram {
	if m.From == l.self.ID {
		return nil
	}
	for _, u := range m.Updates {
		l.take(now, u)
	}
	reply := source
	if r, ok := l.others[m.From]; ok {
		reply = r.Addr
	}
	switch m.Kind {
	case Probe:
		return l.answer(now, reply, m)
	case Ack:
		return l.acked(now, m)
	case Relay:
		return l.relayProbe(now, reply, m)
	}
	return nil
}

// answer acknowledges a probe. The answer carries the record of this node if
// the sender holds an older one, or meant another node at this address.
func (l *List) answer(now time.Time, to mesh.Addr, m Message) []Datagram {
	own := m.Target != l.self.ID || slices.ContainsFunc(m.Updates, func(u Update) bool {
		return u.ID == l.self.ID && l.self.Overrides(u.Member)
	})
	a := l.message(now, Ack, m.From, own)
	a.Sequence, a.Target = m.Sequence, l.self.ID
	return []Datagram{{To: to, Message: a}}
}

// acked takes in an acknowledgement of an own or a relayed probe.
func (l *List) acked(now time.Time, m Message) []Datagram {
	if p := l.probe; p != nil && p.sequence == m.Sequence {
		p.acked = p.acked || p.target == m.Target
		return nil
	}
	r, ok := l.relay[m.Sequence]
	if !ok || r.target != m.Target {
		return nil
	}
	delete(l.relay, m.Sequence)
	a := l.message(now, Ack, r.from, false)
	a.Sequence, a.Target = r.sequence, r.target
	return []Datagram{{To: r.addr, Message: a}}
}

// relayProbe probes a member for another member.
func (l *List) relayProbe(now time.Time, from mesh.Addr, m Message) []Datagram {
	l.sequence++
	l.relay[l.sequence] = relayed{from: m.From, addr: from, sequence: m.Sequence, target: m.Target, at: now}
	p := l.message(now, Probe, m.Target, false)
	p.Sequence, p.Target = l.sequence, m.Target
	return []Datagram{{To: m.Addr, Message: p}}
}

// Gossip sends the queued updates to a few members at once.
func (l *List) Gossip(now time.Time) []Datagram { return l.gossip(now) }
