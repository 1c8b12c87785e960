package hosted

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/caller"
	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/link"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/operator"
	"lavenderrill.dev/lavenderrill/internal/pause"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/task"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

const (
	// leaseHeartbeats is the number of missing heartbeats after which the backend server
	// is considered failed. A single heartbeat can be seconds late.
	leaseHeartbeats = 4
	// assumedServiceShare is the share of a route's target that its service time is
	// assumed to take until the gate has observed requests.
	assumedServiceShare = 1.0 / 3
	// maxQueueWaitShare is the maximum wait of a request at a gate, as a share of the
	// grace time. The node that sent the request may be told to stop right after, and
	// must not end while the request is queued.
	maxQueueWaitShare = 0.75
	// maxJoinBackoff bounds the wait between two attempts to join.
	maxJoinBackoff = time.Second
	// nodeReadInterval is the mean time between two reads of the node rows by each
	// watcher. Separated parts of the mesh merge soon after the store is back, at few
	// calls per node.
	nodeReadInterval = 3 * time.Second
	// peerShutdownTimeout bounds the wait for peer connections at the end. The gate is
	// drained by then, and a connection that never carried a request would delay the
	// end beyond the grace time.
	peerShutdownTimeout = 100 * time.Millisecond
	// deadProbeInterval is the time between two probes of dead members by a node, so
	// that a member which is back at its address is known again within about 2 s even
	// if the store refuses its calls.
	deadProbeInterval = 2 * time.Second
	// hopDialTimeout bounds a connection attempt to another node of the region.
	hopDialTimeout = 300 * time.Millisecond
	// hopIdleTimeout is the time for which an unused connection to a gate is kept.
	hopIdleTimeout = 30 * time.Second
	// maxConfigConnections is the maximum number of connections to one node for
	// requests for configurations.
	maxConfigConnections = 2
	// listenerShutdownTimeout bounds the wait for calls in flight when the announce,
	// ready and metrics listeners stop.
	listenerShutdownTimeout = 50 * time.Millisecond
	// pauseTickInterval is the time between two checks for a pause of the process.
	pauseTickInterval = 200 * time.Millisecond
	// headerTimeout bounds the time to read the header of a request to these listeners.
	headerTimeout = 5 * time.Second
)

// Node is a node whose settings, store and heartbeats come from a platform.
type Node struct {
	nodeSettings atomic.Pointer[settings.Hosted]
	settingsPath string
	reloadMu     sync.Mutex
	settingsTime time.Time        // modification time of the settings file when it was last read; guarded by reloadMu
	reloads      <-chan os.Signal // each signal requests that the settings are read again
	log          *zap.Logger
	metrics      *metric.Registry
	pauses       *pause.Detector
	store        *platform.Store
	skipped      skippedRows
	rows         *nodeRows
	registration *registration
	source       *source
	gate         *backend.Gate
	demand       *demand.Tracker
	caller       *caller.Caller
	peer         *peer.Peer
	quotas       *accountQuotas

	pacer           *hop.Pacer     // limits the rate of downloads that leave the VM
	requestPacer    *hop.Pacer     // limits the rate of uploads that reach the VM
	configTransport *hop.Transport // requests for configurations to other nodes
	watcherSelector watcherSelector
	rollouts        *rollouts // nil if the settings do not enable roll-outs

	config   atomic.Pointer[platform.Config]
	encoded  atomic.Pointer[encodedConfig] // config as sent to other nodes
	stopping atomic.Bool
	intake   intakeLimits
	recheck  chan struct{} // requests a health check, since the instance may be another one
	restored chan struct{} // the store was restored from a copy

	// askHealth asks the backend server at addr for its instance; platform.CheckHealth
	// but in tests.
	askHealth func(ctx context.Context, addr mesh.Addr, path string) (mesh.Instance, error)

	started      time.Time
	zoneByteCost time.Duration // see Config

	mu              sync.Mutex // guards the fields below
	instance        instanceTracker
	firstInstance   mesh.Instance              // first instance that was announced, "" before
	pendingAnnounce func() error               // announcement to make once there is a configuration, or nil
	unconfirmed     *unconfirmedStart          // start that is not announced yet, or nil
	healthy         mesh.Instance              // answered a health check, and is not announced yet for lack of a heartbeat
	leftDuringCheck map[mesh.Instance]struct{} // instances that left since the health check in flight was sent; nil if there is none

	listeners  map[string]net.Listener
	packetConn net.PacketConn
}

// Config holds what a node needs beside the settings of its platform.
type Config struct {
	SettingsPath string           // path of the settings file
	MetricsAddr  string           // listen address of the metrics; none if empty
	ZoneByteCost time.Duration    // wait that 1 kB between availability zones is worth
	Reloads      <-chan os.Signal // each signal requests that the settings are read again
	Log          *zap.Logger
}

// New reads the settings file, opens the listeners and builds the node.
func New(c Config) (*Node, error) {
	settingsTime := modTime(c.SettingsPath)
	set, err := platform.ReadSettings(c.SettingsPath)
	if err != nil {
		return nil, fault.Newf(fault.Settings, "%s: %w", c.SettingsPath, err)
	}
	n := &Node{
		settingsPath: c.SettingsPath,
		settingsTime: settingsTime,
		reloads:      c.Reloads,
		log:          c.Log.With(zap.String("node", string(set.ID))),
		askHealth:    platform.CheckHealth,
		started:      time.Now(),
		pauses:       pause.New(pause.Config{}),
		metrics:      metric.New(),
		recheck:      make(chan struct{}, 1),
		restored:     make(chan struct{}, 1),
		demand:       demand.New(),
		zoneByteCost: c.ZoneByteCost,
	}
	n.nodeSettings.Store(&set)
	n.demand.OnNested = n.logNested
	limitProcess(&set)
	if err := n.listen(c.MetricsAddr); err != nil {
		return nil, err
	}
	n.store = platform.NewStore(platform.StoreConfig{
		Addr: set.Store, Timeout: callTimeout, CountCall: n.metrics.CounterGroup("store_calls").Add, OnSkip: n.logSkippedRow, OnEra: n.handleRestore,
		OnRollout: func(o platform.RolloutOrder) {
			if n.rollouts != nil {
				n.rollouts.onStoreOrder(o)
			}
		},
	})
	n.rows = newNodeRows(n.store.Nodes)
	n.registration = newRegistration(registrationConfig{
		self:       platform.NodeRow{Addr: mesh.Addr(set.Peer), ID: set.ID, Zone: set.Zone},
		firstStart: set.FirstStart, find: n.rows.find, put: n.store.PutNode, remove: n.store.RemoveNode,
		onRead: n.adoptDepartures, onKnown: n.confirmAfterRead, log: n.log,
	})
	n.watcherSelector.self, n.watcherSelector.zone = set.ID, set.Zone
	n.configTransport = hop.New(hop.Config{MaxConnsPerHost: maxConfigConnections, DialTimeout: hopDialTimeout, IdleTimeout: hopIdleTimeout})
	n.source = newSource(sourceConfig{
		read: n.store.ReadConfig, watch: n.store.WatchConfig, readPeers: n.fetchFromPeers, readUpstream: n.fetchFromWatcher,
		apply: n.apply, rollout: set.Rollout, log: n.log,
		isWatcher:     func() bool { return !n.stopping.Load() && n.peer.Watcher() },
		joinAttempted: func() <-chan struct{} { return n.peer.JoinAttempted() },
	})
	rate := link.Rate(set.LinkRate)
	n.pacer, n.requestPacer = hop.NewPacer(rate), hop.NewPacer(rate)
	n.registerLinkGauges()
	n.gate = n.newGate()
	n.rollouts = n.newNodeRollouts()
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

// apply makes c the current configuration of the node and its components.
func (n *Node) apply(c *platform.Config) {
	n.config.Store(c)
	n.encoded.Store(newEncodedConfig(c))
	n.caller.Apply(c.Snapshot)
	n.peer.SetPreferZone(c.Snapshot.Placement == config.PlaceByFinish)
	n.peer.SetVersion(c.Snapshot.Version)
	n.updateRetryBudget(n.peer.Members())
	n.mu.Lock()
	defer n.mu.Unlock()
	if f := n.pendingAnnounce; f != nil {
		n.pendingAnnounce = nil
		if err := f(); err != nil {
			n.log.Error("failed to announce the backend server", zap.Error(err))
		}
	}
}

// dialect returns the headers of the platform's backend servers.
func (n *Node) dialect() backend.Dialect {
	return backend.Dialect{Request: platform.TranslateRequest, Response: platform.TranslateResponse, Refusal: n.responseRefusal, EchoesID: true}
}

func (n *Node) newGate() *backend.Gate {
	set := n.nodeSettings.Load()
	return backend.New(backend.Config{
		ID:       set.ID,
		Snapshot: n.snapshot,
		// n.peer is read in the call: the gate is built before the peer.
		OnEndpointChange: func(s mesh.Service, slots int, e member.EndpointState) { n.peer.SetEndpoint(s, slots, e) },
		Dialect:          n.dialect(),
		Lease:            leaseHeartbeats * set.Heartbeat,
		Demand:           n.demand,
		Paused:           n.pauses.Recent,
		MaxRequests:      func() int { return n.limits().GateRequests },
		Pacer:            n.pacer,
		RequestPacer:     n.requestPacer,
		MaxBody:          -1, // the caller listener applies the limit
		Admission: admit.Config{FixedLimit: true, Ramp: -1, Reserve: true, TargetAware: true, InitialServiceShare: assumedServiceShare,
			MaxWait: time.Duration(maxQueueWaitShare * float64(set.Grace))},
		Metrics: n.metrics,
		Log:     n.log,
	})
}

func (n *Node) newPeer() (*peer.Peer, error) {
	set := n.nodeSettings.Load()
	p, err := peer.New(peer.Config{
		Self:              member.Member{ID: set.ID, Zone: set.Zone, Addr: mesh.Addr(set.Peer)},
		Key:               meshKey(set),
		Listener:          n.listeners["peer"],
		ConnState:         connState(n.listeners["peer"]),
		KeepAlive:         n.keepPeerAlive,
		MaxHeader:         peerHeaderRead,
		Packet:            n.packetConn,
		Gate:              n.peerHandler(),
		Platform:          peer.Source{Nodes: n.rows.addrs},
		ExternalConfig:    true,
		OnVersion:         n.source.recordAdvertised,
		MergeInterval:     nodeReadInterval,
		DeadProbeInterval: deadProbeInterval,
		MaxJoinDelay:      maxJoinBackoff,
		ShutdownTimeout:   peerShutdownTimeout,
		OnMembers: func(ms []member.Member) {
			n.caller.SetMembers(ms)
			n.quotas.members.Store(&ms)
			n.updateRetryBudget(ms)
		},
		Metrics: n.metrics,
		Log:     n.log,
	})
	if err != nil {
		return nil, fmt.Errorf("build peer: %w", err)
	}
	return p, nil
}

// meshKey derives the shared key of peer traffic from the store address, which all
// nodes of a deployment know. The platform provides no secret: the key separates the
// traffic of deployments and versions, and gives no protection inside the network.
func meshKey(s *settings.Hosted) []byte {
	k := sha256.Sum256([]byte("lavenderrill mesh at store " + string(s.Store)))
	return k[:]
}

// callerLimits returns the limits of requests in the configuration in force.
func (n *Node) callerLimits() caller.Limits {
	c := n.config.Load()
	if c == nil {
		return caller.Limits{}
	}
	return caller.Limits{MaxHeader: c.Limits.MaxHeaderBytes, MaxBody: c.Limits.MaxBodyBytes}
}

func (n *Node) newCaller() *caller.Caller {
	set := n.nodeSettings.Load()
	n.quotas = n.newAccountQuotas()
	return caller.New(caller.Config{
		ID:           set.ID,
		Zone:         set.Zone,
		Service:      func() mesh.Service { return n.nodeSettings.Load().Service },
		Ready:        func() bool { return !n.pauses.Recent() },
		SwitchTime:   callerDrainTime,
		Limits:       n.callerLimits,
		ForwardIDs:   true,
		LatencyAware: true,
		ZoneByteCost: n.zoneByteCost,
		Snapshot:     n.snapshot,
		HopToken:     peer.HopToken(meshKey(set)),
		Demand:       n.demand,
		APIKey:       platform.APIKey,
		KeepHeaders:  platform.ResponseHeaders,
		Refuse:       fault.WritePlain,
		Middleware:   platform.CallerHeaderHandler,
		Hop:          hop.Config{DialTimeout: hopDialTimeout, IdleTimeout: hopIdleTimeout},

		MaxGateRequests: func() int { return n.limits().GateConns },
		MaxIdleConns:    func() int { return n.limits().IdleConns },
		ConnState:       connState(n.listeners["caller"]),
		Memory:          &n.intake.requests,
		Pacer:           n.pacer,
		Metrics:         n.metrics,
		Log:             n.log,

		Shares:        n.quotas.limiter,
		RequestShares: n.quotas.requestNow,
	})
}

// logNested logs that a route was found to be one of nested calls, or no longer to be.
func (n *Node) logNested(route string, nested bool) {
	n.log.Info("learned where the requests of a route come from", zap.String("route", route), zap.Bool("nested", nested))
}

// metricsHandler returns the handler of the metrics listener, which also explains requests.
func (n *Node) metricsHandler() http.Handler {
	metrics, explain := n.metrics.TextHandler(), operator.NewExplainHandler(n.caller.Explain)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == client.ExplainPath {
			explain.ServeHTTP(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

// detectPauses detects pauses of the process until ctx ends.
func (n *Node) detectPauses(ctx context.Context) error {
	t := time.NewTicker(pauseTickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		if d := n.pauses.Tick(); d > 0 {
			n.metrics.Counter("pauses").Add(1)
			n.log.Warn("the process was paused; requests that arrived meanwhile are refused", zap.Duration("pause", d))
		}
	}
}

// Ready reports whether callers should send requests to this node.
func (n *Node) Ready() bool { return n.config.Load() != nil && !n.stopping.Load() }

// updateRetryBudget sets this node's part of the retry budget, which all alive nodes
// share.
func (n *Node) updateRetryBudget(ms []member.Member) {
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
	n.caller.SetRetryBudget(nodeRetryLimit(n.nodeSettings.Load().Retry, alive, s.BaseRanks()))
}

// Run serves until ctx is done, then stops gracefully. It returns the errors of its
// components.
func (n *Node) Run(ctx context.Context) error {
	set := n.nodeSettings.Load()
	n.log.Info("node started", zap.String("zone", string(set.Zone)), zap.String("service", string(set.Service)),
		zap.String("caller", set.Caller), zap.String("peer", set.Peer), zap.String("store", string(set.Store)))
	err := task.Run(ctx, n.components(), n.stop)
	n.log.Info("node stopped", zap.Error(err))
	return err
}

func (n *Node) components() []task.Component {
	ps := []task.Component{
		{Name: "peer", Run: n.peer.Run},
		{Name: "gate", Run: n.gate.Run},
		{Name: "caller", Run: n.caller.Run},
		{Name: "caller listener", Run: func(context.Context) error {
			return task.IgnoreServerClosed(n.caller.Server().Serve(n.listeners["caller"]))
		}},
		{Name: "configuration", Run: n.source.run},
		{Name: "registration", Run: n.registration.run},
		{Name: "backend search", Run: n.findBackend},
		{Name: "rewrite", Run: n.rewriteRows},
		{Name: "settings", Run: n.watchSettings},
		{Name: "pauses", Run: n.detectPauses},
		{Name: "account quotas", Run: n.quotas.run},
		{Name: "load reports", Run: n.exchangeReports},
	}
	ps = append(ps, n.rollouts.components()...)
	for name, h := range map[string]http.Handler{
		"announce": platform.HeartbeatHandler(n.acknowledgeHeartbeat, n.acknowledgeLeave),
		"ready":    platform.ReadinessHandler(n.Ready),
		"metrics":  n.metricsHandler(),
	} {
		l := n.listeners[name]
		if l == nil {
			continue
		}
		srv := n.otherServer(l, h)
		ps = append(ps, task.Component{Name: name + " listener", Run: func(ctx context.Context) error {
			return task.Serve(ctx, srv, l, listenerShutdownTimeout)
		}})
	}
	return ps
}
