package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Defaults of Config.
const (
	defaultLease        = 3 * time.Second
	defaultMaxBodyBytes = 64 << 20
	defaultMaxDeadline  = 5 * time.Minute
	defaultClaimTTL     = 24 * time.Hour
	defaultClaimBytes   = 4 << 20
	defaultDialTimeout  = time.Second
)

// Config holds the settings of a Gate. Zero fields get defaults, but Snapshot
// is required.
type Config struct {
	ID               mesh.NodeID
	Snapshot         func() *config.Snapshot // returns the current configuration, nil before the first one
	OnEndpointChange func(service mesh.Service, slots int, state member.EndpointState)

	// Claim and ReleaseClaim write and delete claim rows in the table of the
	// platform. Both are nil if no platform is configured.
	Claim        func(ctx context.Context, key, owner string, ttl time.Duration) (ClaimResult, error)
	ReleaseClaim func(ctx context.Context, key, owner string) error

	// Dialect translates headers between the mesh and the backend server. If it
	// is zero, the headers of the mesh are used unchanged.
	Dialect Dialect

	Metrics *metric.Registry
	Log     *zap.Logger

	// Demand learns what the calls of the backend server need; may be nil. It is used if
	// the configuration places by finish.
	Demand *demand.Tracker

	// Paused reports whether the process was paused so recently that a request may have
	// arrived before the end of the pause; nil if that is not detected. Such requests are
	// refused, since their deadline counts from their reading.
	Paused func() bool

	// MaxRequests returns the number of requests that run or are queued from which no further
	// one is queued, unless it displaces a less urgent one; nil or 0 for no limit.
	MaxRequests func() int

	// Pacer limits the rate of bulk responses to other VMs; nil for no limit.
	Pacer *hop.Pacer
	// RequestPacer limits the rate of large request bodies from other VMs; nil for no limit.
	RequestPacer *hop.Pacer

	Lease       time.Duration // time until an announcement expires
	MaxBody     int64         // largest request body in bytes; negative for no limit
	MaxDeadline time.Duration // longest deadline, and that of requests without one
	DialTimeout time.Duration // timeout of a connection attempt to the backend server
	ClaimTTL    time.Duration // time until a claim row expires
	ClaimBytes  int           // memory limit for claims and their stored responses
	Admission   admit.Config  // slots and ranks are set by the gate
}

func (c Config) withDefaults() Config {
	if c.OnEndpointChange == nil {
		c.OnEndpointChange = func(mesh.Service, int, member.EndpointState) {}
	}
	if c.Metrics == nil {
		c.Metrics = metric.New()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	setDefault(&c.Lease, defaultLease)
	setDefault(&c.MaxBody, defaultMaxBodyBytes)
	setDefault(&c.MaxDeadline, defaultMaxDeadline)
	setDefault(&c.DialTimeout, defaultDialTimeout)
	setDefault(&c.ClaimTTL, defaultClaimTTL)
	setDefault(&c.ClaimBytes, defaultClaimBytes)
	return c
}

func setDefault[T comparable](p *T, def T) {
	var zero T
	if *p == zero {
		*p = def
	}
}

// Dialect translates between the headers of the mesh and those that the backend
// server uses. A nil function changes nothing.
type Dialect struct {
	// Request modifies the header of a request to the backend server. Instance is
	// the announced instance at its address, "" if unknown.
	Request func(h http.Header, instance mesh.Instance)
	// Response modifies the header of a response of the backend server. What the
	// response states is not believed before its owner is known.
	Response func(*http.Response)
	// Refusal returns the refusal that replaces a modified response to the request
	// itself, or nil.
	Refusal func(*http.Response) *fault.Error
	// EchoesID means that backend servers name the request in each response.
	EchoesID bool
}

// Gate admits requests to the backend server of one node and forwards them. It is
// safe for concurrent use.
type Gate struct {
	conf           Config
	log            *zap.Logger
	metrics        *metrics
	claims         *claims
	recentAttempts *recent[attempt]
	rejections     *recent[rejection]

	mu       sync.Mutex // guards the fields below
	machine  *admit.Machine
	snapshot *config.Snapshot // configuration whose rank policies were last applied to machine
	endpoint backendServer
	held     []heldSlot         // slots of requests without a response
	active   map[*call]struct{} // calls whose handler runs
	unserved demand.Unserved
	stopping bool // Drain was called
	yielding bool // Yield was called
	rollout  rolloutState
	idle     chan struct{} // closed when stopping and nothing is in flight

	bufferedResponses int // buffered responses that are being sent after their slot was released

	bufferedBytes atomic.Int64 // bytes of response bodies held in memory
	queuedBytes   atomic.Int64 // bytes of bodies of queued requests held in memory
	notifier      notifier
}

// New returns a Gate without an endpoint.
func New(c Config) *Gate {
	c = c.withDefaults()
	g := &Gate{conf: c, log: c.Log, recentAttempts: newRecent[attempt](), rejections: newRecent[rejection](), active: make(map[*call]struct{}), idle: make(chan struct{})}
	g.machine = admit.New(c.Admission, time.Now())
	g.metrics = newMetrics(c.Metrics, g)
	g.claims = newClaims(c, g.metrics)
	g.notifier.notify = c.OnEndpointChange
	return g
}

// Run expires the lease of the backend server, probes it while it is unhealthy
// and ends queued requests whose time has passed. It returns nil when ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			g.closeIdleConns()
			return nil
		case <-ticker.C:
			now := time.Now()
			g.tick(ctx, now, now.Sub(last))
			last = now
		}
	}
}

// endMargin is the time between the end of a request and that of a node on its path
// that the response needs.
const endMargin = bodyGrace

// StopAt announces that the node ends at end. Requests that cannot end before it, or
// are not expected to, are refused from now on, queued ones included.
func (g *Gate) StopAt(end time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wakeDecided(g.machine.StopAt(time.Now(), end.Add(-endMargin)))
}

// Yield is StopAt that also sets the endpoint state to yielding, so that other nodes
// prefer other endpoints. A node that stops while its backend server keeps running
// calls it before Drain.
func (g *Gate) Yield(end time.Time) {
	g.mu.Lock()
	g.yielding = true
	g.mu.Unlock()
	g.StopAt(end)
	g.notifyEndpoint()
}

// Drain refuses new and queued requests as draining, and waits until no request
// is in flight or ctx ends. It cannot be undone.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	g.stopping = true
	g.drainLocked(time.Now())
	idle := g.idle
	g.mu.Unlock()
	g.notifyEndpoint()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drainLocked drains the admission machine. g.mu must be held.
func (g *Gate) drainLocked(now time.Time) {
	g.wakeDecided(g.machine.Drain(now))
	g.releaseHeld(now, true)
	g.signalIdle()
}

// signalIdle closes the idle channel if the gate is stopping and nothing is in
// flight. g.mu must be held.
func (g *Gate) signalIdle() {
	if !g.stopping || g.machine.InFlight() > 0 || g.bufferedResponses > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Status is a snapshot of the state of a gate.
type Status struct {
	Service  mesh.Service
	Addr     mesh.Addr
	State    member.EndpointState
	Slots    int // announced by the backend server
	Limit    int // current concurrency limit
	InFlight int
	Queued   int
	Unserved float64 // share of recent requests that the backend server refused or failed
	Draining bool
	Health   string // path of the health endpoint
	Load     string // path of the load endpoint
	Pressure []admit.RankPressure
}

// Status returns the current status of g.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return Status{
		Service:  g.endpoint.service,
		Addr:     g.endpoint.addr,
		State:    g.endpointState(),
		Slots:    g.endpoint.slots,
		Limit:    g.machine.Limit(now),
		InFlight: g.machine.InFlight(),
		Queued:   g.machine.Queued(),
		Unserved: g.unserved.Share(now),
		Draining: g.machine.Draining(),
		Health:   g.endpoint.health,
		Load:     g.endpoint.load,
		Pressure: g.machine.Pressure(now, nil),
	}
}
