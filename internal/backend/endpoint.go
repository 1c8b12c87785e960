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
	// tickPeriod is the period of lease checks.
	tickPeriod = 100 * time.Millisecond
	// pauseGap is the time between two ticks from which on this process is
	// taken to have been paused.
	pauseGap = time.Second
	// failureLimit is the number of consecutive connection failures that makes
	// an endpoint unhealthy.
	failureLimit = 3
	// firstProbe and lastProbe bound the growing delay between two probes of an
	// unhealthy endpoint.
	firstProbe = 500 * time.Millisecond
	lastProbe  = 8 * time.Second
	// backendIdle is the idle time-out of connections to the backend server.
	backendIdle = 4 * time.Second
)

// backendServer is the backend server as the gate knows it.
type backendServer struct {
	service      mesh.Service
	addr         mesh.Addr
	instance     mesh.Instance // "" if it is not known
	slots        int
	connections  int
	announced    member.EndpointState // as the backend server says
	health, load string               // paths of its health and load endpoints, for operators

	warm       time.Time // until then it is slow after its start
	expires    time.Time // end of the lease
	lapsed     bool      // the lease ended
	failures   int       // consecutive connection failures
	failed     bool      // failureLimit was reached
	probing    bool
	probeAt    time.Time
	probeDelay time.Duration
	pools      *hop.Pools
}

// endpointState returns the state that other nodes are to see.
func (g *Gate) endpointState() member.EndpointState {
	e := &g.endpoint
	switch {
	case e.announced == member.NoEndpoint:
		return member.NoEndpoint
	case g.stopping:
		return member.Draining
	case e.lapsed, e.failed:
		return member.Unhealthy
	case !g.until.IsZero() && e.announced == member.Ready:
		return member.Yielding
	case e.announced == member.Ready && time.Now().Before(e.warm):
		return member.Warming
	}
	return e.announced
}

// announce applies an announcement.
func (g *Gate) announce(a Announcement, state member.EndpointState) {
	now := time.Now()
	g.mu.Lock()
	e := &g.endpoint
	was := g.endpointState()
	if a.Addr != e.addr || a.Service != e.service || a.Instance != e.instance {
		g.closePools()
		*e = backendServer{service: a.Service, addr: a.Addr, instance: a.Instance}
		g.machine.Restart(now) // another process, which starts cold
		g.log.Info("backend server announced", zap.String("service", string(a.Service)), zap.String("addr", string(a.Addr)))
	}
	if a.Slots != e.slots || a.Connections != e.connections {
		g.closePools()
		e.connections, e.pools = a.Connections, g.newPools(a)
	}
	e.slots, e.announced, e.health, e.load = a.Slots, state, a.Health, a.Load
	e.expires, e.lapsed, e.warm = now.Add(g.conf.Lease), false, now.Add(a.Warmup)
	g.applySnapshot(now)
	g.decide(g.machine.SetSlots(now, a.Slots))
	g.follow(now, was)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// withdraw removes the endpoint.
func (g *Gate) withdraw() {
	g.mu.Lock()
	was := g.endpointState()
	g.closePools()
	g.endpoint = backendServer{service: g.endpoint.service}
	g.follow(time.Now(), was)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// follow brings admission in line with a change of the endpoint state.
func (g *Gate) follow(now time.Time, was member.EndpointState) {
	is := g.endpointState()
	if is == was {
		return
	}
	switch {
	case is == member.Ready && was == member.Warming, is == member.Warming && was == member.Ready:
	case is == member.Ready, is == member.Warming:
		g.machine.Restart(now)
	case is == member.Yielding:
	default:
		g.drainLocked(now)
	}
}

// tick expires the lease and starts a probe when one is due. Gap is the time
// since the last tick: the lease is extended by it if this process was paused,
// since renewals could not be read in that time.
func (g *Gate) tick(ctx context.Context, now time.Time, gap time.Duration) {
	g.mu.Lock()
	e := &g.endpoint
	was := g.endpointState()
	if gap > pauseGap {
		e.expires = e.expires.Add(gap)
	}
	if e.announced != member.NoEndpoint && !e.lapsed && now.After(e.expires) {
		e.lapsed = true
		g.figures.leases.Add(1)
	}
	g.decide(g.machine.Tick(now))
	g.follow(now, was)
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

// probe connects to an endpoint that failed and makes it available again if the
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
	was := g.endpointState()
	e.probing = false
	if e.addr == addr {
		e.probeDelay = min(max(2*e.probeDelay, firstProbe), lastProbe)
		e.probeAt = now.Add(e.probeDelay)
		if err == nil {
			e.failed, e.failures = false, 0
		}
	}
	g.follow(now, was)
	g.mu.Unlock()
	g.notifyEndpoint()
}

// connectionFailed counts a connection to addr that could not be made. One that
// broke before its answer does not count: a backend server that loses some answers
// still gives the others, and taking it out costs callers more.
func (g *Gate) connectionFailed(addr mesh.Addr) {
	now := time.Now()
	g.mu.Lock()
	e := &g.endpoint
	if e.addr == addr {
		was := g.endpointState()
		e.failures++
		if e.failures >= failureLimit && !e.failed {
			e.failed = true
			e.probeAt = now.Add(max(e.probeDelay, firstProbe))
		}
		g.follow(now, was)
	}
	g.mu.Unlock()
	g.notifyEndpoint()
}

// answered records that the backend server answered.
func (g *Gate) answered(addr mesh.Addr) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := &g.endpoint; e.addr == addr && !e.failed {
		e.failures, e.probeDelay = 0, 0
	}
}

// newPools returns connection pools for a. Both together stay within the
// connections that the backend server takes, if it takes two per slot or more;
// bulk ranks get half of the connections at most.
func (g *Gate) newPools(a Announcement) *hop.Pools {
	bulk := max(1, min(a.Slots, a.Connections/2))
	other := max(1, min(a.Slots, a.Connections-bulk))
	conf := func(n int) hop.Config {
		return hop.Config{MaxConnsPerHost: n, DialTimeout: g.conf.DialTimeout, IdleTimeout: backendIdle}
	}
	return hop.NewPools(conf(bulk), conf(other))
}

func (g *Gate) closePools() {
	if p := g.endpoint.pools; p != nil {
		p.CloseIdle()
	}
}

func (g *Gate) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closePools()
}

// notifier passes the endpoint state on, in order and without repetition.
type notifier struct {
	mu      sync.Mutex
	notify  func(mesh.Service, int, member.EndpointState)
	service mesh.Service
	slots   int
	state   member.EndpointState
}

// notifyEndpoint passes the current endpoint state on if it changed. The gate's
// lock must not be held.
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
		g.figures.endpoint.Add(state.String(), 1)
		g.log.Info("endpoint state changed", zap.Stringer("from", t.state), zap.Stringer("to", state))
	}
	t.service, t.slots, t.state = service, slots, state
	t.notify(service, slots, state)
}
