package rollout

import "time"

const (
	// allowedShare is the part of the permitted share that is granted. Requests that
	// several nodes count late, or that never reach a gate's count, take the rest.
	allowedShare = 0.9
	// allowedSlack is the part of the permitted slack that is granted. Two deciders of a
	// partitioned mesh may each grant it.
	allowedSlack = 0.45
	// grantAhead is the time for which a limited gate is granted requests in advance. It
	// covers the interval of reports and a lost one.
	grantAhead = 700 * time.Millisecond
	// rateFactor is the rate of a limited gate in relation to the mean of the old gates.
	rateFactor = 2
	// minRate is the least rate of a limited gate in requests per second.
	minRate = 4
	// rateWindow is the time over which the rate of the service is measured.
	rateWindow = 1500 * time.Millisecond
)

// totals returns the requests of the service as far as known.
func (d *Decider) totals() Totals {
	t := d.gone
	for _, g := range d.gates {
		n := g.report.Sent()
		t.Sent += n
		if g.target(d.conf.Order.Target) {
			t.Exposed += n
		}
	}
	return t.atLeast(d.reported)
}

// allowed returns the requests that the target version may have got by now in all.
func (d *Decider) allowed() float64 {
	return allowedShare*d.conf.Bounds.Share*float64(d.totals().Sent) + allowedSlack*d.conf.Bounds.Slack
}

// available returns the requests that may be granted beyond those already granted.
func (d *Decider) available() float64 {
	var held, sent uint64
	for _, g := range d.gates {
		if g.target(d.conf.Order.Target) {
			held += g.committed
			sent += g.report.Sent()
		}
	}
	// Requests of gates that have gone count in the totals only.
	return d.allowed() - float64(held) - float64(sub(d.totals().Exposed, sent))
}

// commit updates the requests that g may have sent when its next report arrives.
func (g *gate) commit(r *Report) {
	if r.Closed {
		g.committed = r.Sent()
		return
	}
	g.committed = max(g.committed, r.Cap, r.Sent())
}

// grant returns the directive of a limited open gate.
func (d *Decider) grant(g *gate) Directive {
	rate := max(rateFactor*d.oldRate(), minRate)
	want := float64(g.report.Sent()) + rate*grantAhead.Seconds()
	more := min(want-float64(g.committed), d.available())
	if more >= 1 {
		g.committed += uint64(more)
	}
	return Directive{Open: true, Cap: g.committed, Rate: rate}
}

// rateSample is the number of requests that the service got until a time.
type rateSample struct {
	at   time.Time
	sent uint64
}

// recordRate records the requests of the service so far.
func (d *Decider) recordRate(now time.Time) {
	d.rates = append(d.rates, rateSample{now, d.totals().Sent})
	for len(d.rates) > 2 && now.Sub(d.rates[1].at) >= rateWindow {
		d.rates = d.rates[1:]
	}
}

// serviceRate returns the requests per second of the service.
func (d *Decider) serviceRate() float64 {
	if len(d.rates) < 2 {
		return 0
	}
	first, last := d.rates[0], d.rates[len(d.rates)-1]
	if dt := last.at.Sub(first.at).Seconds(); dt > 0 {
		return float64(sub(last.sent, first.sent)) / dt
	}
	return 0
}

// oldRate returns the mean requests per second of a gate that serves as usual.
func (d *Decider) oldRate() float64 {
	n := 0
	for _, g := range d.gates {
		if !g.target(d.conf.Order.Target) && g.report.Healthy && !g.report.Closed {
			n++
		}
	}
	return d.serviceRate() / float64(max(n, 1))
}
