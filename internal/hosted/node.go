package hosted

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/caller"
	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/task"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// leaseHeartbeats is the number of heartbeats that may be missing before the
	// backend server counts as failed. Single ones are seconds late.
	leaseHeartbeats = 4
	// assumedService is the share of a route's target that its work is assumed to
	// take until the gate has seen some.
	assumedService = 1.0 / 3
	// queueShare is the share of the grace time that a request waits at a gate at
	// most. The node that sent it may be told to stop right after, and must not end
	// while the request still waits.
	queueShare = 0.75
	// joinLimit bounds the wait between two attempts to join.
	joinLimit = time.Second
	// mergePeriod is the mean time between two reads of the node rows by each of
	// the watchers: what was apart is together again soon
	// after the store is back, at few calls a node.
	mergePeriod = 3 * time.Second
	// peerShutdown bounds the wait for peer connections at the end. The gate is
	// drained by then; a connection that never carried a request would be waited
	// for beyond the grace time.
	peerShutdown = 100 * time.Millisecond
	// deadPeriod is the time between two probes by a node of one that is gone, so
	// that one which is back at its address is known again within about 2 s even
	// if the store turns it away.
	deadPeriod = 2 * time.Second
	// hopDialTimeout bounds a connection attempt to another node of the region.
	hopDialTimeout = 300 * time.Millisecond
	// hopIdle is the time for which an unused connection to a gate is kept.
	hopIdle = 30 * time.Second
	// shareConnections is the most connections to one node for configurations.
	shareConnections = 2
	// listenerFinish is the time in which calls of the small listeners may end.
	listenerFinish = 50 * time.Millisecond
	// headerTimeout bounds the header of a request to the small listeners.
	headerTimeout = 5 * time.Second
)

// Node is one node on a platform.
type Node struct {
	set     atomic.Pointer[settings.Hosted]
	path    string // of the settings file
	log     *zap.Logger
	metrics *metric.Registry
	store   *platform.Store
	source  *source
	gate    *backend.Gate
	caller  *caller.Caller
	peer    *peer.Peer

	pacer     *hop.Pacer     // of downloads that leave the VM
	peers     *hop.Transport // requests for configurations
	upstreams upstreams

	config   atomic.Pointer[platform.Config]
	held     atomic.Pointer[held] // config for other nodes
	stopping atomic.Bool
	idle     idleListener
	recheck  chan struct{} // the backend server may be another instance

	mu       sync.Mutex // guards the fields below
	instance instance
	awaiting func() error // announces the backend server once there is a configuration

	listeners map[string]net.Listener
	packet    net.PacketConn
}

// New reads the settings file at path, opens the listeners and builds the node.
// A metrics address of "" serves no metrics.
func New(path, metrics string, log *zap.Logger) (*Node, error) {
	set, err := platform.ReadSettings(path)
	if err != nil {
		return nil, fault.Newf(fault.Settings, "%s: %w", path, err)
	}
	n := &Node{
		path: path, log: log.With(zap.String("node", string(set.ID))), metrics: metric.New(),
		recheck: make(chan struct{}, 1),
	}
	n.set.Store(&set)
	limitProcess(&set)
	if err := n.listen(metrics); err != nil {
		return nil, err
	}
	n.store = platform.NewStore(set.Store, callTimeout, n.metrics.CounterGroup("store_calls").Add)
	n.upstreams.self, n.upstreams.zone = set.ID, set.Zone
	n.peers = hop.New(hop.Config{MaxConnsPerHost: shareConnections, DialTimeout: hopDialTimeout, IdleTimeout: hopIdle})
	n.source = newSource(sourceConfig{
		read: n.store.ReadConfig, watch: n.store.WatchConfig, peers: n.fromPeers, upstream: n.fromWatcher,
		apply: n.apply, rollout: set.Rollout, log: n.log,
		watcher: func() bool { return !n.stopping.Load() && n.peer.Watcher() },
	})
	n.pacer = hop.NewPacer(set.Link)
	n.gate = n.newGate()
	if n.peer, err = n.newPeer(); err != nil {
		n.close()
		return nil, err
	}
	n.caller = n.newCaller()
	return n, nil
}

func (n *Node) snapshot() *config.Snapshot {
	if c := n.config.Load(); c != nil {
		return c.Snapshot
	}
	return nil
}

// apply puts c into force.
func (n *Node) apply(c *platform.Config) {
	n.config.Store(c)
	n.held.Store(newHeld(c))
	n.idle.limit.Store(int64(c.Limits.IdleTimeout))
	n.caller.Apply(c.Snapshot)
	n.peer.SetVersion(c.Snapshot.Version)
	n.shareBudget(n.peer.Members())
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.awaiting; f != nil {
		n.awaiting = nil
		if err := f(); err != nil {
			n.log.Error("backend server cannot be announced", zap.Error(err))
		}
	}
}

func (n *Node) newGate() *backend.Gate {
	set := n.set.Load()
	return backend.New(backend.Config{
		ID:       set.ID,
		Snapshot: n.snapshot,
		// The gate is built before the peer, so the peer is looked up late.
		OnEndpointChange: func(s mesh.Service, slots int, e member.EndpointState) { n.peer.SetEndpoint(s, slots, e) },
		Dialect:          backend.Dialect{Request: platform.TranslateRequest, Response: n.response},
		Lease:            leaseHeartbeats * set.Heartbeat,
		Pacer:            n.pacer,
		MaxBody:          -1, // the caller listener applies the limit
		Admission: admit.Config{FixedLimit: true, Ramp: -1, Reserve: true, TargetAware: true, InitialServiceShare: assumedService,
			MaxWait: time.Duration(queueShare * float64(set.Grace))},
		Metrics: n.metrics,
		Log:     n.log,
	})
}

func (n *Node) newPeer() (*peer.Peer, error) {
	set := n.set.Load()
	p, err := peer.New(peer.Config{
		Self:       member.Member{ID: set.ID, Zone: set.Zone, Addr: mesh.Addr(set.Peer)},
		Key:        meshKey(set),
		Listener:   n.listeners["peer"],
		Packet:     n.packet,
		Gate:       n.peerHandler(),
		Platform:   peer.Source{Nodes: n.store.NodeAddrs},
		External:   true,
		OnVersion:  n.source.hear,
		Merge:      mergePeriod,
		DeadPeriod: deadPeriod,
		JoinLimit:  joinLimit,
		Shutdown:   peerShutdown,
		OnMembers: func(ms []member.Member) {
			n.caller.SetMembers(ms)
			n.shareBudget(ms)
		},
		Metrics: n.metrics,
		Log:     n.log,
	})
	if err != nil {
		return nil, fmt.Errorf("build peer: %w", err)
	}
	return p, nil
}

// meshKey derives the shared key of peer traffic from what all nodes of one
// deployment know. The platform sets no secret: the key keeps the traffic of
// other deployments and versions apart, and is no protection inside the network.
func meshKey(s *settings.Hosted) []byte {
	k := sha256.Sum256([]byte("lavenderrill mesh at store " + string(s.Store)))
	return k[:]
}

func (n *Node) newCaller() *caller.Caller {
	set := n.set.Load()
	pool := hop.Config{DialTimeout: hopDialTimeout, IdleTimeout: hopIdle}
	return caller.New(caller.Config{
		ID:           set.ID,
		Zone:         set.Zone,
		Service:      set.Service,
		LatencyAware: true,
		Snapshot:     n.snapshot,
		HopToken:     peer.HopToken(meshKey(set)),
		KeepHeaders:  platform.ResponseHeaders,
		Refuse:       platform.WriteRefusal,
		Entry:        platform.CallerHeaderHandler,
		Pools:        hop.NewPools(pool, pool),
		ConnState:    n.idle.state,
		Pacer:        n.pacer,
		Metrics:      n.metrics,
		Log:          n.log,
	})
}

// Ready reports whether callers are to be sent to this node.
func (n *Node) Ready() bool { return n.config.Load() != nil && !n.stopping.Load() }

// register writes the row by which other nodes find this one, until it is
// written.
func (n *Node) register(ctx context.Context) error {
	set := n.set.Load()
	for i := 0; ctx.Err() == nil; i++ {
		c, cancel := context.WithTimeout(ctx, callTimeout)
		err := n.store.PutNode(c, mesh.Addr(set.Peer), set.ID, set.Zone)
		cancel()
		if err == nil {
			n.log.Info("node registered", zap.String("peer", set.Peer))
			<-ctx.Done()
			return nil
		}
		if i == 0 {
			n.log.Warn("node cannot be registered yet", zap.Error(err))
		}
		if wait.For(ctx, backoff(i)) != nil {
			return nil
		}
	}
	return nil
}

// shareBudget divides the budget of repeated requests, which all nodes share.
func (n *Node) shareBudget(ms []member.Member) {
	s := n.snapshot()
	if s == nil {
		return
	}
	alive := 0
	for i := range ms {
		if ms[i].Status == member.Alive {
			alive++
		}
	}
	n.caller.SetRetryBudget(retryShare(n.set.Load().Retry, alive, len(s.Ranks)))
}

// Run serves until ctx is done, then stops gracefully. It returns the errors of its
// parts.
func (n *Node) Run(ctx context.Context) error {
	set := n.set.Load()
	n.log.Info("node started", zap.String("zone", string(set.Zone)), zap.String("service", string(set.Service)),
		zap.String("caller", set.Caller), zap.String("peer", set.Peer), zap.String("store", string(set.Store)))
	err := task.Run(ctx, n.parts(), n.stop)
	n.log.Info("node stopped", zap.Error(err))
	return err
}

func (n *Node) parts() []task.Part {
	ps := []task.Part{
		{Name: "peer", Run: n.peer.Run},
		{Name: "gate", Run: n.gate.Run},
		{Name: "caller", Run: n.caller.Run},
		{Name: "caller listener", Run: func(context.Context) error { return task.Served(n.caller.Server().Serve(&n.idle)) }},
		{Name: "configuration", Run: n.source.run},
		{Name: "registration", Run: n.register},
		{Name: "backend search", Run: n.findBackend},
		{Name: "settings", Run: n.watchSettings},
	}
	for name, h := range map[string]http.Handler{
		"announce": platform.HeartbeatHandler(n.beat, n.gone),
		"ready":    platform.ReadinessHandler(n.Ready),
		"metrics":  n.metrics.TextHandler(),
	} {
		l := n.listeners[name]
		if l == nil {
			continue
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(n.log)}
		ps = append(ps, task.Part{Name: name + " listener", Run: func(ctx context.Context) error {
			return task.Serve(ctx, srv, l, listenerFinish)
		}})
	}
	return ps
}
