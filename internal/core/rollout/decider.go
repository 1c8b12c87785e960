package rollout

import (
	"maps"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// freshness is the age up to which a report describes its gate.
	freshness = DirectiveLifetime
	// takeoverDelay is the time after which no gate follows the directives of an earlier
	// decider any more, unless it has reported to this one.
	takeoverDelay = DirectiveLifetime + 100*time.Millisecond
)

// Config describes an order to a Decider.
type Config struct {
	Order  Order
	Began  time.Time // when the order was written, as far as known
	Bounds Bounds
}

// Change is a change of the phase, with the figures that led to it.
type Change struct {
	From, To Phase
	Reason   string
	Figures  Figures
	Totals   Totals
	Target   int // fresh healthy gates of the target version
	Old      int // and of other versions
}

// Decider decides on one order. It is not safe for concurrent use.
type Decider struct {
	conf     Config
	started  time.Time // of this decider
	phase    Phase
	since    time.Time // begin of the phase
	verified bool      // the verdict allowed all endpoints to open

	gates    map[mesh.NodeID]*gate
	members  []mesh.NodeID // alive nodes with a backend server of the service
	gone     Totals        // of gates that were replaced
	reported Totals        // that gates learned from an earlier decider
	rates    []rateSample
	furthest Phase // of an earlier decider
	planned  int   // endpoints that serve in phase Canary or Wide

	quorumAt     time.Time // last time with a quorum
	acted        bool      // there was a quorum once
	manyFailures time.Time // time since which the target version has many bad responses
	changes      []Change
}

// gate is what the decider knows about one gate.
type gate struct {
	report    Report
	at        time.Time
	baseline  map[string]Counts // counts when the comparison began
	committed uint64            // requests that it may have sent by its next report

	open       bool // chosen to serve in Canary or Wide
	openedAt   time.Time
	sentBefore uint64 // requests sent before openedAt
	idle       bool   // it gets few requests, so that another one is open too
}

func (g *gate) target(v mesh.SoftwareVersion) bool { return g.report.Version == v }

// New returns a Decider in phase Waiting.
func New(c Config, now time.Time) *Decider {
	return &Decider{conf: c, started: now, phase: Waiting, since: now, quorumAt: now, gates: make(map[mesh.NodeID]*gate)}
}

// Phase returns the current phase.
func (d *Decider) Phase() Phase { return d.phase }

// Order returns the order.
func (d *Decider) Order() Order { return d.conf.Order }

// Deadline returns the time at which the roll-out must have ended.
func (d *Decider) Deadline() time.Time { return d.conf.Began.Add(d.conf.Order.Duration) }

// SetMembers sets the alive nodes with a backend server of the service.
func (d *Decider) SetMembers(ids []mesh.NodeID) { d.members = ids }

// Adopt makes p, a final phase that is known from the store, the phase.
func (d *Decider) Adopt(now time.Time, p Phase) { d.finish(now, p, "decided before") }

// finish enters the final phase p.
func (d *Decider) finish(now time.Time, p Phase, reason string) {
	if p.Final() && !d.phase.Final() {
		d.enter(now, p, reason, Figures{})
	}
}

// Changes returns the changes of the phase since the last call.
func (d *Decider) Changes() []Change {
	c := d.changes
	d.changes = nil
	return c
}

// Acts reports whether the decider has had a quorum, or knows the final phase. The status
// is for others to write until then.
func (d *Decider) Acts() bool { return d.acted || d.phase.Final() }

// Record records a report and returns the directive for its gate.
func (d *Decider) Record(now time.Time, r Report) Directive {
	if began := now.Add(-r.OrderAge); began.Before(d.conf.Began) {
		d.conf.Began = began
	}
	d.reported = d.reported.atLeast(r.Totals)
	d.finish(now, r.Phase, "decided by an earlier decider")
	if r.Phase == Switching || r.Phase == Closing {
		d.furthest = Switching
	}
	g := d.gates[r.Node]
	switch {
	case g == nil:
		g = &gate{}
	case g.report.Start != r.Start || g.report.Version != r.Version:
		d.retire(g)
		g = &gate{}
	}
	g.report, g.at = r, now
	g.commit(&g.report)
	d.gates[r.Node] = g
	out := d.directive(g)
	out.Phase, out.Totals, out.Quorum = d.phase, d.totals(), d.phase.Final() || d.quorum(now) > 0
	return out
}

// retire adds the requests of a gate that was replaced to those of gates that have gone.
func (d *Decider) retire(g *gate) {
	n := g.report.Sent()
	d.gone.Sent += n
	if g.target(d.conf.Order.Target) {
		d.gone.Exposed += max(n, min(g.committed, n+unreportedMax))
	}
}

// unreportedMax bounds the requests that a gate which was replaced is assumed to have sent
// after its last report.
const unreportedMax = 50

// directive returns the directive for g.
func (d *Decider) directive(g *gate) Directive {
	unlimited := Directive{Open: true, Unlimited: true}
	if !g.target(d.conf.Order.Target) {
		switch d.phase {
		case Switching:
			unlimited.Last = true
		case Closing, Completed:
			return Directive{}
		}
		return unlimited
	}
	switch d.phase {
	case Canary, Wide:
		if g.open {
			return d.grant(g)
		}
	case Switching, Closing, Completed:
		return unlimited
	}
	return Directive{}
}

// Tick advances the phase.
func (d *Decider) Tick(now time.Time) {
	if d.phase.Final() {
		return
	}
	d.recordRate(now)
	if fresh := d.quorum(now); fresh <= 0 {
		d.pause(now, len(d.members)/2+fresh > 0)
		return
	}
	d.quorumAt, d.acted = now, true
	if d.phase != Waiting {
		if f := d.verdict(now, strictDeviations); f.Bad {
			d.enter(now, RolledBack, "the target version is bad", f)
			return
		}
	}
	d.advance(now)
}

// quorum returns by how many the alive members that report to this decider exceed half of
// them. Two deciders cannot both have more than half.
func (d *Decider) quorum(now time.Time) int {
	n := 0
	for _, id := range d.members {
		if g := d.gates[id]; g != nil && now.Sub(g.at) <= freshness {
			n++
		}
	}
	return n - len(d.members)/2
}

// pause closes the target version while there is no quorum, and ends the roll-out at its
// deadline if any gate reports here.
func (d *Decider) pause(now time.Time, any bool) {
	if d.phase != Waiting && now.Sub(d.quorumAt) > freshness {
		d.enter(now, Waiting, "too few gates report", Figures{})
	}
	if any && !now.Before(d.Deadline()) {
		d.enter(now, RolledBack, "too few gates report", Figures{})
	}
}

// enter begins phase p.
func (d *Decider) enter(now time.Time, p Phase, reason string, f Figures) {
	target, old := d.serving(now)
	d.changes = append(d.changes, Change{From: d.phase, To: p, Reason: reason, Figures: f, Totals: d.totals(), Target: len(target), Old: len(old)})
	d.phase, d.since = p, now
	switch p {
	case Waiting:
		for _, g := range d.gates {
			g.open = false
		}
	case Canary:
		d.manyFailures = time.Time{}
		for _, g := range d.gates {
			g.baseline = maps.Clone(g.report.Routes)
		}
	case Switching:
		d.verified = true
	}
}

// serving returns the fresh healthy gates of the target version and of the others.
func (d *Decider) serving(now time.Time) (target, old []*gate) {
	for _, g := range d.gates {
		switch {
		case now.Sub(g.at) > freshness, !g.report.Healthy:
		case g.target(d.conf.Order.Target):
			target = append(target, g)
		default:
			old = append(old, g)
		}
	}
	return target, old
}
