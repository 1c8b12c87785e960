package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// tickPeriod is the interval of lease checks, and the time limit of a probe.
	tickPeriod = 100 * time.Millisecond
	// pauseThreshold is the interval between two ticks above which this process
	// is considered to have been paused.
	pauseThreshold = time.Second
	// failureLimit is the number of consecutive connection failures after which
	// an endpoint is unhealthy.
	failureLimit = 3
	// minProbeDelay and maxProbeDelay are the limits of the exponential backoff
	// between probes of an unhealthy endpoint.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 8 * time.Second
	// backendIdleTimeout is the idle timeout of connections to the backend
	// server.
	backendIdleTimeout = 4 * time.Second
)

// backendServer is the gate's record of the backend server: its last
// announcement, its lease and the observed connection failures.
type backendServer struct {
	service        mesh.Service
	addr           mesh.Addr
	instance       mesh.Instance // "" if unknown
	slots          int
	connections    int
	announcedState member.EndpointState // last state that the backend server announced
	health, load   string               // paths of its health and load endpoints, for operators

	warmUntil    time.Time // end of the warm-up after its start
	leaseEnd     time.Time
	leaseExpired bool
	failures     int  // consecutive connection failures
	failed       bool // failureLimit was reached, and no probe has succeeded since
	probing      bool
	probeAt      time.Time
	probeDelay   time.Duration
	pools        *hop.Pools
}

// ownState returns the state of the endpoint apart from roll-outs. g.mu must be held.
func (g *Gate) ownState() member.EndpointState {
	e := &g.endpoint
	switch {
	case e.announcedState == member.NoEndpoint:
		return member.NoEndpoint
	case g.stopping:
		return member.Draining
	case e.leaseExpired, e.failed:
		return member.Unhealthy
	case g.yielding && e.announcedState == member.Ready:
		return member.Yielding
	case e.announcedState == member.Ready && time.Now().Before(e.warmUntil):
		return member.Warming
	}
	return e.announcedState
}

// applyAnnouncement stores a valid announcement and renews the lease. A new
// service, address or instance replaces the endpoint.
func (g *Gate) applyAnnouncement(a Announcement, state member.EndpointState) {
	now := time.Now()
	g.mu.Lock()
	e := &g.endpoint
	prev := g.endpointState()
	replaced := a.Addr != e.addr || a.Service != e.service || a.Instance != e.instance
	if replaced {
		g.closeIdleConnsLocked()
		g.releaseHeld(now, true)
		g.rollout.serverReplaced(now, e.instance)
		*e = backendServer{service: a.Service, addr: a.Addr, instance: a.Instance}
		g.machine.Restart(now) // a new process needs the ramp again
		g.log.Info("backend server announced", zap.String("service", string(a.Service)), zap.String("addr", string(a.Addr)))
	}
	if a.Slots != e.slots || a.Connections != e.connections {
		g.closeIdleConnsLocked()
		e.connections, e.pools = a.Connections, g.newPools(a)
	}
	e.slots, e.announcedState, e.health, e.load = a.Slots, state, a.Health, a.Load
	e.leaseEnd, e.leaseExpired, e.warmUntil = now.Add(g.conf.Lease), false, now.Add(a.Warmup)
	g.applySnapshot(now)
	g.wakeDecided(g.machine.SetSlots(now, a.Slots))
	g.applyStateChange(now, prev)
	if a.Inherited && replaced {
		g.startBelow(now)
	}
	g.mu.Unlock()
	g.notifyEndpoint()
}

// withdraw removes the endpoint and keeps its service name.
func (g *Gate) withdraw() {
	g.mu.Lock()
	prev := g.endpointState()
	g.closeIdleConnsLocked()
	g.rollout.crashed = true
	g.endpoint = backendServer{service: g.endpoint.service}
	g.applyStateChange(time.Now(), prev)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// applyStateChange restarts or drains admission as the change of the endpoint
// state since prev requires. g.mu must be held.
func (g *Gate) applyStateChange(now time.Time, prev member.EndpointState) {
	current := g.endpointState()
	if current == prev {
		return
	}
	switch {
	case current == member.Ready && prev == member.Warming, current == member.Warming && prev == member.Ready:
	case current == member.Ready, current == member.Warming:
		g.machine.Restart(now)
	case current == member.Yielding && !g.rollout.control.Last:
	case current == member.Yielding:
		if g.machine.Draining() {
			g.machine.Restart(now)
		}
	default:
		g.drainLocked(now)
	}
}

// tick expires the lease and runs a probe if one is due. The gap is the time
// since the last tick. If it shows that this process was paused, the lease is
// extended by it, because no renewal could be read during the pause.
func (g *Gate) tick(ctx context.Context, now time.Time, gap time.Duration) {
	g.mu.Lock()
	e := &g.endpoint
	prev := g.endpointState()
	if gap > pauseThreshold {
		e.leaseEnd = e.leaseEnd.Add(gap)
	}
	if e.announcedState != member.NoEndpoint && !e.leaseExpired && now.After(e.leaseEnd) {
		e.leaseExpired = true
		g.metrics.leaseExpiries.Add(1)
	}
	g.releaseHeld(now, false)
	g.wakeDecided(g.machine.Tick(now))
	g.applyStateChange(now, prev)
	probe := e.failed && !e.probing && now.After(e.probeAt)
	if probe {
		e.probing = true
	}
	addr := e.addr
	g.mu.Unlock()
	g.notifyEndpoint()
	if probe {
		g.probe(ctx, addr)
	}
}

// probe tries to connect to a failed endpoint and marks it healthy again if the
// connection succeeds.
func (g *Gate) probe(ctx context.Context, addr mesh.Addr) {
	ctx, cancel := context.WithTimeout(ctx, tickPeriod)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", string(addr))
	if err == nil {
		c.Close()
	}
	now := time.Now()
	g.mu.Lock()
	e := &g.endpoint
	prev := g.endpointState()
	e.probing = false
	if e.addr == addr {
		e.probeDelay = min(max(2*e.probeDelay, minProbeDelay), maxProbeDelay)
		e.probeAt = now.Add(e.probeDelay)
		if err == nil {
			e.failed, e.failures = false, 0
		}
	}
	g.applyStateChange(now, prev)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// recordConnectionFailure counts a connection to addr that could not be
// established. A connection that breaks before the response does not count: a
// backend server that loses some responses still sends the others, and making it
// unhealthy would cost callers more.
func (g *Gate) recordConnectionFailure(addr mesh.Addr) {
	now := time.Now()
	g.mu.Lock()
	e := &g.endpoint
	if e.addr == addr {
		prev := g.endpointState()
		e.failures++
		if e.failures >= failureLimit && !e.failed {
			e.failed = true
			e.probeAt = now.Add(max(e.probeDelay, minProbeDelay))
		}
		g.applyStateChange(now, prev)
	}
	g.mu.Unlock()
	g.notifyEndpoint()
}

// recordResponse resets the failure count after a response from addr.
func (g *Gate) recordResponse(addr mesh.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := &g.endpoint; e.addr == addr && !e.failed {
		e.failures, e.probeDelay = 0, 0
	}
}

// newPools returns the connection pools for a, which stay within the announced connections
// together. Each has a connection for every slot, so that no admitted request waits for one.
// If the connections are less than two per slot, bulk and other ranks share a pool.
func (g *Gate) newPools(a Announcement) *hop.Pools {
	c := hop.Config{MaxConnsPerHost: a.Slots, DialTimeout: g.conf.DialTimeout, IdleTimeout: backendIdleTimeout}
	if a.Connections < 2*a.Slots {
		return hop.NewSharedPool(c)
	}
	return hop.NewPools(c, c)
}

func (g *Gate) closeIdleConnsLocked() {
	if p := g.endpoint.pools; p != nil {
		p.CloseIdle()
	}
}

func (g *Gate) closeIdleConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeIdleConnsLocked()
}

// notifier reports changes of the endpoint to notify, in order and without
// duplicates.
type notifier struct {
	mu      sync.Mutex
	notify  func(mesh.Service, int, member.EndpointState)
	service mesh.Service
	slots   int
	state   member.EndpointState
}

// notifyEndpoint reports the service, the slots and the state of the endpoint if
// they changed since the last call. g.mu must not be held.
func (g *Gate) notifyEndpoint() {
	t := &g.notifier
	t.mu.Lock()
	defer t.mu.Unlock()
	g.mu.Lock()
	service, slots, state := g.endpoint.service, g.endpoint.slots, g.endpointState()
	g.mu.Unlock()
	if service == t.service && slots == t.slots && state == t.state {
		return
	}
	if state != t.state {
		g.metrics.endpoint.Add(state.String(), 1)
		g.log.Info("endpoint state changed", zap.Stringer("from", t.state), zap.Stringer("to", state))
	}
	t.service, t.slots, t.state = service, slots, state
	t.notify(service, slots, state)
}
