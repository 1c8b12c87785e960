package caller

import (
	"sync"

	"lavenderrill.dev/lavenderrill/internal/hop"
)

// maxIdleGateConns is the number of unused connections to one gate that are kept.
const maxIdleGateConns = 64

// gatePools holds the connections to gates. A gate has at most as many as requests may be in
// flight to it, connections that carry none included: a client that leaves ends its request,
// but not the dialing for it.
type gatePools struct {
	conf hop.Config

	mu    sync.Mutex
	pools *hop.Pools
	conns int // of pools, to each gate
}

// transportFor returns the transport for bulk ranks or that for the other ranks, with at most
// conns connections to a gate. If conns differs from that of the last call, the unused
// connections of the former transports are closed.
func (g *gatePools) transportFor(bulk bool, conns int) *hop.Transport {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pools == nil || g.conns != conns {
		if g.pools != nil {
			g.pools.CloseIdle()
		}
		conf := g.conf
		conf.MaxConnsPerHost, conf.MaxIdleConnsPerHost = conns, min(conns, maxIdleGateConns)
		g.pools, g.conns = hop.NewPools(conf, conf), conns
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
