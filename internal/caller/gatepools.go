package caller

import (
	"sync"

	"lavenderrill.dev/lavenderrill/internal/hop"
)

// maxIdleGateConns is the largest number of idle connections to one gate.
const maxIdleGateConns = 64

// gatePools holds the connections to gates. A gate has at most as many as requests may be in
// flight to it, connections that carry none included: a client that leaves ends its request,
// but not the dialing for it.
type gatePools struct {
	conf hop.Config

	mu     sync.Mutex
	pools  *hop.Pools
	limits connLimits // of pools
}

// connLimits bound the connections of a transport.
type connLimits struct {
	perGate int // to one gate
	idle    int // to all gates; no limit if 0
}

// connLimits returns the limits in force.
func (c *Caller) connLimits() connLimits {
	l := connLimits{perGate: c.queues.limit()}
	if f := c.cfg.MaxIdleConns; f != nil {
		l.idle = f()
	}
	return l
}

// transportFor returns the transport for bulk ranks or that for the other ranks, with the
// limits l. If l differs from that of the last call, the idle connections of the former
// transports are closed.
func (g *gatePools) transportFor(bulk bool, l connLimits) *hop.Transport {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pools == nil || g.limits != l {
		if g.pools != nil {
			g.pools.CloseIdle()
		}
		conf := g.conf
		conf.MaxConnsPerHost, conf.MaxIdleConnsPerHost = l.perGate, min(l.perGate, maxIdleGateConns)
		conf.MaxIdleConns = l.idle
		g.pools, g.limits = hop.NewPools(conf, conf), l
	}
	return g.pools.TransportFor(bulk)
}

// waiting returns the number of requests that wait for a connection.
func (g *gatePools) waiting() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pools == nil {
		return 0
	}
	return g.pools.Waiting()
}

// closeIdle closes the connections that carry no request.
func (g *gatePools) closeIdle() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pools != nil {
		g.pools.CloseIdle()
	}
}
