package rollout

import (
	"cmp"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// storeReserve is the time before the deadline at which the status should be written:
	// the store may be slow.
	storeReserve = 2 * time.Second
	// lastReserve is the time before the deadline at which the status is written whether or
	// not every old gate has reported that nothing runs there.
	lastReserve = 1200 * time.Millisecond
	// closingTime is the time that the last requests of the old version may take.
	closingTime = 1500 * time.Millisecond
	// switchingTime is the time in which nodes learn that they should choose the target
	// version, while the old gates still accept what arrives.
	switchingTime = 600 * time.Millisecond
	// minCanary, minWide and minClosing are the least times of their phases.
	minCanary  = 1800 * time.Millisecond
	minWide    = 1200 * time.Millisecond
	minClosing = 700 * time.Millisecond
	// minCanaryAge is the age of a backend server up to which a version that is bad from
	// 3 s after its start may look good.
	minCanaryAge = 4 * time.Second
	// minEvidence is the number of requests of the target version from which a phase ends
	// early. Each route that is used must have minCanaryRoute of them in phase Canary, and
	// minWideRoute in phase Wide.
	minEvidence    = 60
	minCanaryRoute = 6
	minWideRoute   = 12
	// canaryShare is the share of endpoints that serve in phase Canary, in relation to the
	// old ones.
	canaryShare = 0.1
	// twoCanaries is the number of old endpoints from which there are at least two
	// canaries: one endpoint may be faulty for other reasons.
	twoCanaries = 6
	// minCapacity is the part of the old slots that the target version needs before the old
	// gates close, and maxLoad the part of its slots that the requests of all versions may
	// then take. With fullCapacity, the load is not considered.
	minCapacity  = 0.6
	maxLoad      = 0.8
	fullCapacity = 0.9
	// canaryPart and widePart are the parts of the available requests that the phases are
	// planned to use.
	canaryPart = 0.25
	widePart   = 0.7
	// idleTime is the time after which an endpoint that gets less than idleShare of the
	// requests of an old one does not count as one that is tried.
	idleTime  = 900 * time.Millisecond
	idleShare = 0.3
	// manyFailures is the number of bad responses after which the verdict is lenient from
	// manyFailuresTime on: soon after the 50th, a bad version must get no more requests.
	manyFailures     = 35
	manyFailuresTime = 2 * time.Second
)

// advance moves to the next phase when it is due. There is a quorum.
func (d *Decider) advance(now time.Time) {
	target, old := d.serving(now)
	left := d.Deadline().Sub(now)
	switch d.phase {
	case Waiting:
		d.advanceWaiting(now, left, target, old)
	case Canary:
		d.replaceIdle(now, target)
		if d.canaryDone(now, left, target) {
			d.planned = max(d.planned, d.affordable(len(old), widePart, minWide))
			d.openMore(now, target, d.planned)
			d.enter(now, Wide, "canaries are good", d.verdict(now, strictDeviations))
		}
	case Wide:
		d.replaceIdle(now, target)
		d.advanceWide(now, left, target, old)
	case Switching:
		if now.Sub(d.since) >= switchingTime {
			d.enter(now, Closing, "", d.verdict(now, strictDeviations))
		}
	case Closing:
		d.advanceClosing(now, left)
	}
}

// latestSwitch is the time left at which the old gates must begin to close.
const latestSwitch = storeReserve + closingTime + switchingTime

func (d *Decider) advanceWaiting(now time.Time, left time.Duration, target, old []*gate) {
	switch {
	case left <= storeReserve && len(old) > 0:
		d.enter(now, RolledBack, "no time left", Figures{})
		return
	case now.Sub(d.started) < takeoverDelay:
		return
	case len(old) == 0 && len(warm(target)) > 0 && d.totals().Sent == d.totals().Exposed:
		d.enter(now, Switching, "no other version serves", Figures{})
		return
	case len(old) == 0 && left <= 0:
		d.enter(now, Completed, "no other version is left", Figures{})
		return
	}
	if (d.verified || d.furthest != "") && hasCapacity(target, old) && left > lastReserve+minClosing {
		if f := d.verdict(now, lenientDeviations); f.Bad {
			d.enter(now, RolledBack, "the target version is bad", f)
			return
		}
		d.enter(now, Switching, "verified before", Figures{})
		return
	}
	n := d.canaryCount(len(old))
	if left <= latestSwitch || len(warm(target)) < min(n, max(len(target), 1)) {
		return
	}
	d.planned = n
	d.openMore(now, target, n)
	d.enter(now, Canary, "warm endpoints", Figures{})
}

// canaryCount returns the number of endpoints that serve in phase Canary. There are more
// if the service gets few requests, most of which the slack allows.
func (d *Decider) canaryCount(old int) int {
	n := max(1, int(canaryShare*float64(old)))
	if old >= twoCanaries {
		n = max(n, 2)
	}
	return max(n, d.affordable(old, canaryPart, minCanary))
}

// replaceIdle opens others in place of endpoints that no longer serve, or that get few
// requests: nodes prefer faster ones. What all get in sum stays limited.
func (d *Decider) replaceIdle(now time.Time, target []*gate) {
	for _, g := range target {
		open := now.Sub(g.openedAt)
		if g.open && !g.idle && open >= idleTime && float64(sub(g.report.Sent(), g.sentBefore)) < idleShare*d.oldRate()*open.Seconds() {
			g.idle = true
			d.planned++
		}
	}
	d.openMore(now, target, d.planned)
}

// affordable returns the number of endpoints that use the given part of the available
// requests within t.
func (d *Decider) affordable(old int, part float64, t time.Duration) int {
	rate := d.serviceRate()
	if rate <= 0 {
		return old
	}
	share := min(part*max(d.available(), 0)/(rate*t.Seconds()), 0.5)
	return int(float64(old) * share / (1 - share))
}

// warm returns the gates whose backend servers are at full speed.
func warm(gates []*gate) []*gate {
	return slices.DeleteFunc(slices.Clone(gates), func(g *gate) bool { return !g.report.Warm })
}

// hasCapacity reports whether the target version can serve what the old one serves.
func hasCapacity(target, old []*gate) bool {
	sum := func(gs []*gate, of func(*Report) int) float64 {
		n := 0
		for _, g := range gs {
			n += of(&g.report)
		}
		return float64(n)
	}
	slots := func(r *Report) int { return r.Slots }
	inFlight := func(r *Report) int { return r.InFlight }
	has, had := sum(warm(target), slots), sum(old, slots)
	return has >= fullCapacity*had && has > 0 ||
		has >= minCapacity*had && sum(target, inFlight)+sum(old, inFlight) <= maxLoad*has
}

// openMore opens gates until n are open, in turn from each availability zone: the load
// of a zone is served there.
func (d *Decider) openMore(now time.Time, target []*gate, n int) {
	byZone := make(map[mesh.AvailabilityZone][]*gate)
	var zones []mesh.AvailabilityZone
	for _, g := range target {
		if g.open {
			n--
			continue
		}
		if !g.report.Warm {
			continue
		}
		if byZone[g.report.Zone] == nil {
			zones = append(zones, g.report.Zone)
		}
		byZone[g.report.Zone] = append(byZone[g.report.Zone], g)
	}
	slices.Sort(zones)
	for _, z := range zones {
		slices.SortFunc(byZone[z], func(a, b *gate) int { return cmp.Compare(a.report.Node, b.report.Node) })
	}
	for i := 0; n > 0; i++ {
		found := false
		for _, z := range zones {
			if gs := byZone[z]; i < len(gs) && n > 0 {
				gs[i].open, gs[i].openedAt, gs[i].sentBefore, gs[i].idle = true, now, gs[i].report.Sent(), false
				found = true
				n--
			}
		}
		if !found {
			return
		}
	}
}

// canaryDone reports whether the phase Canary may end.
func (d *Decider) canaryDone(now time.Time, left time.Duration, target []*gate) bool {
	if left <= latestSwitch+minWide {
		return true
	}
	for _, g := range target {
		if g.open && g.report.Age < minCanaryAge {
			return false
		}
	}
	return now.Sub(d.since) >= minCanary && d.evidence(minCanaryRoute)
}

// evidence reports whether the target version got enough requests, in all and on each
// route that is used.
func (d *Decider) evidence(perRoute uint64) bool {
	target, old := d.window()
	var all uint64
	for r, c := range sumRoutes(old) {
		n := sumRoutes(target)[r].ran()
		all += n
		if n < perRoute && c.ran() > 0 {
			return false
		}
	}
	return all >= minEvidence
}

func sumRoutes(es []endpointCounts) map[string]Counts {
	out := make(map[string]Counts)
	for _, e := range es {
		for r, c := range e.routes {
			out[r] = out[r].plus(c)
		}
	}
	return out
}

func (d *Decider) advanceWide(now time.Time, left time.Duration, target, old []*gate) {
	if now.Sub(d.since) < minWide || left > latestSwitch && !d.evidence(minWideRoute) {
		return
	}
	f := d.verdict(now, lenientDeviations)
	switch {
	case f.Bad && left <= latestSwitch:
		d.enter(now, RolledBack, "the target version seems bad, and a decision is due", f)
	case f.Bad:
	case hasCapacity(target, old):
		d.enter(now, Switching, "the target version is good", f)
	case left <= storeReserve:
		d.enter(now, RolledBack, "too few endpoints of the target version", f)
	}
}

func (d *Decider) advanceClosing(now time.Time, left time.Duration) {
	if now.Sub(d.since) < minClosing {
		return
	}
	quiet, known := d.quietGates(now)
	if !known && left > storeReserve || !quiet && left > lastReserve {
		return
	}
	reason := "nothing runs at the old version"
	if !quiet || !known {
		reason = "the deadline is near"
	}
	d.enter(now, Completed, reason, d.verdict(now, strictDeviations))
}

// quietGates reports whether nothing runs at the old gates that report, and whether all
// alive members report.
func (d *Decider) quietGates(now time.Time) (quiet, known bool) {
	quiet, known = true, true
	for _, id := range d.members {
		g := d.gates[id]
		if g == nil || now.Sub(g.at) > freshness {
			known = false
			continue
		}
		if !g.target(d.conf.Order.Target) && (!g.report.Closed || g.report.InFlight > 0 || !g.at.After(d.since)) {
			quiet = false
		}
	}
	return quiet, known
}

// window returns the counts of all gates since the comparison began.
func (d *Decider) window() (target, old []endpointCounts) {
	return d.counts(func(g *gate) map[string]Counts {
		out := make(map[string]Counts, len(g.report.Routes))
		for r, c := range g.report.Routes {
			out[r] = c.minus(g.baseline[r])
		}
		return out
	})
}

func (d *Decider) counts(of func(*gate) map[string]Counts) (target, old []endpointCounts) {
	for _, g := range d.gates {
		e := endpointCounts{routes: of(g), crashed: g.report.Crashed || !g.report.Healthy}
		if g.target(d.conf.Order.Target) {
			target = append(target, e)
		} else {
			old = append(old, e)
		}
	}
	return target, old
}

// verdict compares the versions, both since the comparison began and since the order: a
// decider that has taken over knows earlier failures from the latter only.
func (d *Decider) verdict(now time.Time, deviations float64) Figures {
	target, old := d.window()
	if d.hasManyFailures(now, target) {
		deviations = min(deviations, lenientDeviations)
	}
	f := compare(target, old, deviations)
	if f.Bad {
		return f
	}
	target, old = d.counts(func(g *gate) map[string]Counts { return g.report.Routes })
	if all := compare(target, old, max(deviations, strictDeviations)); all.Bad {
		return all
	}
	return f
}

// hasManyFailures reports whether the target version has had many bad responses for some
// time.
func (d *Decider) hasManyFailures(now time.Time, target []endpointCounts) bool {
	bad := 0.0
	for _, e := range target {
		b, _ := e.failures("")
		bad += b
	}
	switch {
	case bad < manyFailures:
		d.manyFailures = time.Time{}
	case d.manyFailures.IsZero():
		d.manyFailures = now
	default:
		return now.Sub(d.manyFailures) >= manyFailuresTime
	}
	return false
}
