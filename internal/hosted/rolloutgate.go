package hosted

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/rollout"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"

	"github.com/cespare/xxhash/v2"
)

const (
	// agentInterval is the time between two checks of what a roll-out requires of the gate.
	agentInterval = 50 * time.Millisecond
	// reportTimeout bounds the wait for the answer to a report.
	reportTimeout = 450 * time.Millisecond
	// maxReportFailures is the number of consecutive reports without an answer after which
	// the next decider is asked. One may be lost, and a change costs time.
	maxReportFailures = 2
	// deciderCooldown is the time for which a decider that did not answer is not asked.
	deciderCooldown = 2 * time.Second
	// searchInterval is the time between two reports to another decider while the one that
	// is asked has no quorum. If all gates did so often, several deciders would have one.
	searchInterval = 3 * time.Second
	// maxHold bounds the time for which a new backend server waits for the orders if
	// neither those nor the usual version of its service can be learned.
	maxHold = 3 * time.Second
	// firstAnswerTime is the time for which a gate of the old version that starts under an
	// order waits for its first directive, if the order is older than runningOrder: the old
	// gates may have to be closed already.
	firstAnswerTime = 600 * time.Millisecond
	runningOrder    = 3 * time.Second
	// completedHold is the time for which gates of the old version stay closed after a
	// roll-out was completed. Their servers are stopped at once; one that is there
	// later was started for another reason.
	completedHold = 30 * time.Second
)

// gateAgent makes the gate of this node follow the roll-outs of its service.
type gateAgent struct {
	r       *rollouts
	started int64 // start of this process, which tells its reports from those of an earlier one
	wakeUp  chan struct{}

	mu           sync.Mutex
	instance     mesh.Instance
	born         int64
	serverSince  time.Time // when the backend server was first heard of, zero before
	released     bool      // the orders as of the start of the backend server are known, or it may open without
	unjudged     bool      // it started under an order, with a version that is neither the target nor the base
	softVersion  mesh.SoftwareVersion
	versionKnown bool
	base         mesh.SoftwareVersion
	baseKnown    bool
	banned       map[mesh.SoftwareVersion]bool // targets of orders that did not complete

	order       knownOrder // in force
	hasOrder    bool
	adopted     time.Time     // when the order came into force here
	established bool          // the target was the base when the order arrived
	phase       rollout.Phase // last known one of order
	phaseAt     time.Time
	stored      bool // the decider has stored the final phase as of storedEra
	storedEra   platform.Era
	totals      rollout.Totals
	directive   rollout.Directive
	heard       time.Time // time of the report that directive answers
	control     backend.Control

	decider     mesh.NodeID // asked last
	quorum      bool        // its last answer had a quorum
	failures    int         // consecutive ones
	cooldown    map[mesh.NodeID]time.Time
	searchAfter time.Time // when another decider may be tried for lack of a quorum
	searched    int       // number of such tries
}

func newGateAgent(r *rollouts) *gateAgent {
	a := &gateAgent{
		r: r, started: time.Now().UnixNano(), wakeUp: make(chan struct{}, 1), control: backend.Control{Closed: true},
		banned: make(map[mesh.SoftwareVersion]bool), cooldown: make(map[mesh.NodeID]time.Time),
	}
	r.gate.SetControl(a.control) // until the backend server may open
	return a
}

// wake makes the agent check the orders now.
func (a *gateAgent) wake() {
	select {
	case a.wakeUp <- struct{}{}:
	default:
	}
}

// serverSeen records a report of the backend server before it is announced. The version is
// not known if the report was a health check.
func (a *gateAgent) serverSeen(id mesh.Instance, born int64, v mesh.SoftwareVersion, known bool) {
	a.mu.Lock()
	same := id == a.instance && (born == a.born || born == 0 || a.born == 0)
	if !same {
		a.instance, a.born, a.serverSince = id, born, time.Now()
		a.released, a.unjudged, a.versionKnown = false, false, false
	}
	if known {
		a.softVersion, a.versionKnown = v, true
		a.born = max(a.born, born)
	}
	a.mu.Unlock()
	a.apply()
}

// version returns the version of the backend server, or false if it is not known.
func (a *gateAgent) version() (mesh.SoftwareVersion, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.softVersion, a.versionKnown
}

// held reports whether the backend server waits for the orders, or may do so soon.
func (a *gateAgent) held() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.released && (!a.serverSince.IsZero() || time.Since(time.Unix(0, a.started)) < maxHold)
}

// learn records the usual version of the service.
func (a *gateAgent) learn(base mesh.SoftwareVersion, known bool) {
	a.mu.Lock()
	if known {
		a.base, a.baseKnown = base, true
	}
	a.mu.Unlock()
	a.apply()
}

// apply applies what the roll-outs require now.
func (a *gateAgent) apply() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.adoptOrder()
	if !a.released && !a.serverSince.IsZero() {
		a.release(now)
	}
	c := a.required(now)
	if c == a.control {
		return
	}
	if c.Closed != a.control.Closed {
		key := "gate_opened"
		if c.Closed {
			key = "gate_closed"
		}
		a.r.counters(key, 1)
		a.r.log.Info("gate changed by a roll-out", zap.Bool("closed", c.Closed), zap.String("version", string(a.softVersion)),
			zap.String("phase", string(a.phase)), zap.Uint64("order", uint64(a.order.ID)))
	}
	a.control = c
	a.r.gate.SetControl(c)
}

// adoptOrder makes the last order of the service the one in force. a.mu must be held.
func (a *gateAgent) adoptOrder() {
	o, ok := a.r.orders.of(a.r.service())
	sameService := a.hasOrder && o.Service == a.order.Service
	switch {
	case !ok && !a.hasOrder:
		return
	case sameService && o.Same(a.order.Order):
		a.order = o
		return
	}
	if sameService && a.order.Target != "" && a.phase != rollout.Completed && !a.established {
		a.banned[a.order.Target] = true
	}
	delete(a.banned, o.Target)
	a.order, a.hasOrder, a.adopted, a.unjudged = o, ok, time.Now(), a.unjudged && o.Target != a.softVersion
	a.quorum, a.searchAfter = false, time.Now().Add(searchInterval/2)
	a.established = a.baseKnown && a.base == o.Target
	a.stored = false
	a.phase, a.phaseAt, a.totals, a.directive, a.heard = "", time.Time{}, rollout.Totals{}, rollout.Directive{}, time.Time{}
	if !a.inForce() {
		a.r.gate.StopCounting()
		return
	}
	a.r.gate.StartCounting()
}

// inForce reports whether there is an order. a.mu must be held.
func (a *gateAgent) inForce() bool { return a.hasOrder && a.order.Target != "" }

// release decides whether the backend server, which is new, may be opened as far as the
// orders as of its start matter. a.mu must be held.
func (a *gateAgent) release(now time.Time) {
	asOf := a.r.orders.knownAsOf()
	reason := ""
	switch {
	case !asOf.Before(a.serverSince):
		reason = "orders_known"
	case a.baseKnown && a.versionKnown && a.softVersion == a.base:
		reason = "usual_version"
	case a.r.firstStart && !a.baseKnown && !asOf.IsZero():
		reason = "start_of_the_mesh"
	case !a.baseKnown && now.Sub(a.serverSince) > maxHold:
		reason = "nothing_known"
	default:
		return
	}
	a.released = true
	a.unjudged = a.inForce() && a.versionKnown && a.baseKnown && a.softVersion != a.base && a.softVersion != a.order.Target
	a.r.counters("released_"+reason, 1)
	a.r.log.Info("backend server may open", zap.String("reason", reason), zap.Duration("waited", now.Sub(a.serverSince)),
		zap.String("version", string(a.softVersion)), zap.String("base", string(a.base)), zap.Bool("order", a.inForce()))
}

// required returns what the roll-outs require of the gate. a.mu must be held.
func (a *gateAgent) required(now time.Time) backend.Control {
	open, closed := backend.Control{}, backend.Control{Closed: true}
	switch {
	case !a.released, a.unjudged, a.versionKnown && a.banned[a.softVersion]:
		return closed
	case !a.inForce():
		return open
	case !a.versionKnown:
		return closed // until its first heartbeat
	case a.softVersion == a.order.Target:
		return a.requiredOfTarget(now)
	case a.phase == rollout.Completed && now.Sub(a.phaseAt) < completedHold:
		return closed
	case a.heard.IsZero() && now.Sub(a.adopted) < firstAnswerTime && a.adopted.Sub(a.order.seen) > runningOrder:
		return closed
	case a.phase.Final(), now.Sub(a.heard) > rollout.DirectiveLifetime:
		return open
	}
	return controlOf(a.directive)
}

// requiredOfTarget is required for a backend server of the target version.
func (a *gateAgent) requiredOfTarget(now time.Time) backend.Control {
	switch {
	case a.established, a.phase == rollout.Completed:
		return backend.Control{}
	case a.phase == rollout.RolledBack, now.Sub(a.heard) > rollout.DirectiveLifetime:
		return backend.Control{Closed: true}
	}
	return controlOf(a.directive)
}

func controlOf(d rollout.Directive) backend.Control {
	c := backend.Control{Closed: !d.Open, Last: d.Last}
	if d.Open && !d.Unlimited {
		c.Limited, c.Cap, c.Rate = true, d.Cap, d.Rate
	}
	return c
}

// run keeps the gate as required and reports to the decider until ctx ends.
func (a *gateAgent) run(ctx context.Context) error {
	ticker := time.NewTicker(agentInterval)
	defer ticker.Stop()
	reports := make(chan struct{}, 1) // holds a value while a report is in flight
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			reports <- struct{}{} // wait for the report in flight
			return nil
		case <-ticker.C:
		case <-a.wakeUp:
		}
		a.apply()
		if time.Since(last) < rollout.ReportInterval {
			continue
		}
		rep, ok := a.report()
		if !ok {
			continue
		}
		select {
		case reports <- struct{}{}:
		default:
			continue
		}
		last = time.Now()
		go func() {
			defer func() { <-reports }()
			a.send(ctx, rep)
		}()
	}
}

// report returns the report of now, or false if none is due. With a final phase, reports
// are due until it is stored, and again after the store was restored from a copy: the node
// that has written the status may be gone.
func (a *gateAgent) report() (rollout.Report, bool) {
	o := a.r.gate.Observe()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.inForce() || a.phase.Final() && a.stored && a.storedEra >= a.r.era() || !a.versionKnown || o.Service != a.order.Service {
		return rollout.Report{}, false
	}
	outside := a.unjudged || a.banned[a.softVersion]
	return rollout.Report{
		Node: a.r.self, Start: a.started, Zone: a.r.zone, Version: a.softVersion, Order: a.order.Order, OrderAge: time.Since(a.order.seen),
		Slots: o.Slots, Healthy: o.Healthy && !outside, Warm: o.Warm && !outside, Age: o.Age, Crashed: o.Crashed, Closed: o.Closed,
		InFlight: o.InFlight, Cap: a.directive.Cap, Routes: o.Routes, Phase: a.phase, Totals: a.totals,
	}, true
}

// send sends a report to the decider and applies its directive.
func (a *gateAgent) send(ctx context.Context, rep rollout.Report) {
	m, ok := a.chooseDecider(rep.Order.Service)
	if !ok {
		a.r.counters("reports_without_decider", 1)
		return
	}
	sent := time.Now()
	d, err := a.exchange(ctx, m, rep)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	if err != nil {
		a.failures++
		if a.failures >= maxReportFailures || errors.Is(err, errRefused) {
			a.cooldown[m.ID] = time.Now().Add(deciderCooldown)
			a.decider, a.quorum, a.failures = "", false, 0
		}
		a.r.counters("reports_failed", 1)
		a.r.log.Info("report to the decider of a roll-out failed", zap.String("decider", string(m.ID)), zap.Error(err))
	} else if a.failures, a.quorum = 0, d.Quorum; rep.Order.Same(a.order.Order) {
		a.directive, a.heard, a.totals = d, sent, d.Totals
		a.stored, a.storedEra = d.Stored, platform.Era(d.Era)
		if d.Phase != a.phase && !a.phase.Final() {
			a.phase, a.phaseAt = d.Phase, time.Now()
		}
		a.r.counters("reports", 1)
	}
	a.mu.Unlock()
	a.apply()
}

// exchange sends a report to m, which may be this node.
func (a *gateAgent) exchange(ctx context.Context, m member.Member, rep rollout.Report) (rollout.Directive, error) {
	if m.ID == a.r.self {
		return a.r.deciders.record(rep), nil
	}
	b, err := json.Marshal(rep)
	if err != nil {
		return rollout.Directive{}, fmt.Errorf("encode report: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if b, err = a.r.exchange(ctx, m.Addr, wantRollout, nil, b); err != nil {
		return rollout.Directive{}, err
	}
	var d rollout.Directive
	if err := json.Unmarshal(b, &d); err != nil {
		return d, fmt.Errorf("decode directive: %w", err)
	}
	return d, nil
}

// chooseDecider returns the decider to report to: the one that answered last if it has a
// quorum, or else the first one by hash of the service among the watchers. Gates that have
// scattered come together again at the latter. If it has no quorum, another one may.
func (a *gateAgent) chooseDecider(s mesh.Service) (member.Member, bool) {
	ws := a.r.watchers()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	weight := func(m member.Member) uint64 { return xxhash.Sum64String(string(s) + "\x00" + string(m.ID)) }
	slices.SortFunc(ws, func(x, y member.Member) int { return cmp.Compare(weight(x), weight(y)) })
	if i := slices.IndexFunc(ws, func(m member.Member) bool { return m.ID == a.decider }); i >= 0 && a.quorum {
		a.searchAfter = now.Add(searchInterval)
		return ws[i], true
	}
	usable := slices.DeleteFunc(ws, func(m member.Member) bool { return now.Before(a.cooldown[m.ID]) })
	if len(usable) == 0 {
		clear(a.cooldown) // all were asked in vain
		return member.Member{}, false
	}
	m := usable[0]
	if now.After(a.searchAfter) {
		a.searchAfter = now.Add(searchInterval)
		a.searched++
		m = usable[a.searched%len(usable)]
	}
	if m.ID != a.decider {
		a.decider, a.failures = m.ID, 0
	}
	return m, true
}
