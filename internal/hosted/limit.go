package hosted

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/intake"
	"lavenderrill.dev/lavenderrill/internal/inbound"
	"lavenderrill.dev/lavenderrill/internal/settings"
)

const (
	// meshHeaderBytes is the size of the fields that a node adds to the header of a
	// request that it forwards.
	meshHeaderBytes = 16 << 10
	// defaultHeaderBytes is the limit of a header without a configuration.
	defaultHeaderBytes = 32 << 10
	// peerHeaderRead is the size up to which the server for other nodes reads a header; the
	// listener applies the limit of the configuration.
	peerHeaderRead = 256 << 10
	// otherHeaderBytes is the limit of headers to the listeners for readiness, heartbeats
	// and metrics.
	otherHeaderBytes = 16 << 10
	// otherReadTimeout, otherWriteTimeout and otherIdleTimeout are for the same listeners.
	// Their messages are of a few kB.
	otherReadTimeout  = 5 * time.Second
	otherWriteTimeout = 10 * time.Second
	otherIdleTimeout  = time.Minute
	// peerMinIdle is the time after which an unused connection may be closed for a new one.
	// Other nodes have closed theirs by then; a request on its way to a closed connection
	// would have an unknown outcome.
	peerMinIdle = hopIdleTimeout + 5*time.Second
	// peerMinWait is the same for a connection without a request. Other nodes send one at
	// once.
	peerMinWait = time.Second
)

// intakeLimits bound what clients of the listeners can make the node hold.
type intakeLimits struct {
	headers  inbound.Budget // headers that callers are sending
	requests inbound.Budget // requests of callers in flight
	streams  inbound.Budget // HTTP/2 streams of callers
	peers    inbound.Budget // headers that other nodes are sending
}

// update applies the settings s.
func (i *intakeLimits) update(s *settings.Hosted) {
	l := intake.LimitsFor(s.Memory, s.MaxFiles)
	i.headers.SetLimit(l.HeaderMemory)
	i.requests.SetLimit(l.RequestMemory)
	i.streams.SetLimit(l.StreamMemory)
	i.peers.SetLimit(l.PeerMemory)
}

// limits returns the limits of the settings in force.
func (n *Node) limits() intake.Limits {
	s := n.nodeSettings.Load()
	return intake.LimitsFor(s.Memory, s.MaxFiles)
}

// countClosed returns a function that counts closed connections of a listener by reason.
func (n *Node) countClosed(listener string) func(inbound.Reason) {
	group := n.metrics.CounterGroup("inbound_refused")
	return func(r inbound.Reason) {
		group.Add(listener+"_"+string(r), 1)
		if ce := n.log.Check(zap.WarnLevel, "connection closed for a limit: "+string(r)); ce != nil {
			ce.Write(zap.String("listener", listener))
		}
	}
}

// limitListeners bounds the connections of the listeners. Without limits in the settings it
// only applies the timeouts of the configuration to those of callers.
func (n *Node) limitListeners() {
	n.intake.update(n.nodeSettings.Load())
	n.listeners["caller"] = inbound.NewListener(n.listeners["caller"], inbound.Config{
		Limits: n.callerConnLimits, Memory: &n.intake.headers, Streams: &n.intake.streams, OnClose: n.countClosed("caller")})
	peers := inbound.NewListener(n.listeners["peer"], inbound.Config{
		Limits: n.peerConnLimits, Hold: true, Memory: &n.intake.peers, OnClose: n.countClosed("peer")})
	n.metrics.Gauge("peer_connections", func() any { return peers.Open() })
	n.listeners["peer"] = peers
	for _, name := range []string{"ready", "announce"} {
		n.listeners[name] = n.limitOther(name, n.listeners[name])
	}
}

// callerConnLimits returns the limits of connections of callers.
func (n *Node) callerConnLimits() inbound.Limits {
	l := inbound.Limits{Conns: n.limits().CallerConns, HeaderBytes: defaultHeaderBytes, HeaderTimeout: headerTimeout}
	c := n.config.Load()
	if c == nil {
		return l
	}
	l.IdleTimeout = c.Limits.IdleTimeout
	if b := c.Limits.MaxHeaderBytes; b > 0 {
		l.HeaderBytes = b
	}
	if d := c.Limits.HeaderTimeout; d > 0 {
		l.HeaderTimeout = d
	}
	return l
}

// peerConnLimits returns the limits of connections of other nodes.
func (n *Node) peerConnLimits() inbound.Limits {
	l := n.limits()
	return inbound.Limits{
		Conns: l.PeerConns, WaitingConns: l.PeerWaitingConns, MinWait: peerMinWait, MinIdle: peerMinIdle,
		HeaderBytes: n.callerConnLimits().HeaderBytes + meshHeaderBytes, HeaderTimeout: headerTimeout,
	}
}

// keepPeerAlive reports whether a connection of another node may stay open after a response.
// Unused connections, which are not closed before peerMinIdle, leave room for those of
// GateRequests that way.
func (n *Node) keepPeerAlive() bool {
	l, ok := n.listeners["peer"].(*inbound.Listener)
	limit := n.limits().PeerKeepAlive
	return !ok || limit == 0 || l.Open() <= limit
}

// limitOther bounds the connections of the listener l for readiness, heartbeats or metrics.
func (n *Node) limitOther(name string, l net.Listener) net.Listener {
	return inbound.NewListener(l, inbound.Config{
		Limits: func() inbound.Limits {
			return inbound.Limits{Conns: n.limits().OtherConns, HeaderBytes: otherHeaderBytes, HeaderTimeout: headerTimeout}
		},
		Memory: &n.intake.headers, OnClose: n.countClosed(name),
	})
}

// otherServer returns the server of the listener l for readiness, heartbeats or metrics.
func (n *Node) otherServer(l net.Listener, h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: otherReadTimeout, WriteTimeout: otherWriteTimeout,
		IdleTimeout: otherIdleTimeout, MaxHeaderBytes: otherHeaderBytes, ErrorLog: zap.NewStdLog(n.log),
		ConnState: connState(l),
	}
}

// connState returns the function that tells l what its connections do, or nil if l has no
// limits.
func connState(l net.Listener) func(net.Conn, http.ConnState) {
	if il, ok := l.(*inbound.Listener); ok {
		return il.TrackState
	}
	return nil
}
