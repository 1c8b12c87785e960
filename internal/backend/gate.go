package backend

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Defaults of Config.
const (
	defaultLease       = 3 * time.Second
	defaultMaxBody     = 64 << 20
	defaultMaxDeadline = 5 * time.Minute
	defaultClaimTTL    = 24 * time.Hour
	defaultClaimBytes  = 4 << 20
	defaultDialTimeout = time.Second
)

// Config holds the settings of a Gate. Zero fields get defaults, but Snapshot
// is required.
type Config struct {
	ID               mesh.NodeID
	Snapshot         func() *config.Snapshot // current configuration, nil before the first
	OnEndpointChange func(service mesh.Service, slots int, state member.EndpointState)

	// Claim and ReleaseClaim write and delete claim rows of the platform's
	// table; nil when the platform is not configured.
	Claim        func(ctx context.Context, key, owner string, ttl time.Duration) (ClaimResult, error)
	ReleaseClaim func(ctx context.Context, key, owner string) error

	// Dialect translates the hop to the backend server; the headers of the mesh
	// are used if it is zero.
	Dialect Dialect

	Metrics *metric.Registry
	Log     *zap.Logger

	// Pacer bounds the rate of bulk responses to other VMs; nil for no bound.
	Pacer *hop.Pacer

	Lease       time.Duration // life of an announcement
	MaxBody     int64         // largest request body in bytes; negative for no limit
	MaxDeadline time.Duration // longest deadline, and that of requests without one
	DialTimeout time.Duration // time-out of a connection attempt to the backend server
	ClaimTTL    time.Duration // life of a claim row
	ClaimBytes  int           // memory for stored responses of claimed requests
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
	setDefault(&c.MaxBody, defaultMaxBody)
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

// Dialect holds the functions that translate between the headers of the mesh and
// those that the backend server knows. Nil functions change nothing.
type Dialect struct {
	// Request changes the header of a request to a backend server. The instance
	// is the one that the gate holds for the address, "" if it is not known.
	Request func(h http.Header, instance mesh.Instance)
	// Response changes a response of a backend server. A refusal that it
	// returns takes the place of the response.
	Response func(*http.Response) *fault.Error
}

// Gate is the gate of one node. It is safe for concurrent use.
type Gate struct {
	conf    Config
	log     *zap.Logger
	figures *figures
	claims  *claims
	recent  *recent

	mu       sync.Mutex // guards the fields below
	machine  *admit.Machine
	snapshot *config.Snapshot // whose rank policies the machine has
	endpoint backendServer
	stopping bool          // Drain was called
	until    time.Time     // Yield was called: requests must end by then
	idle     chan struct{} // closed when nothing is in flight and draining

	delivering int // responses that are passed on without a slot

	fetched  atomic.Int64 // bytes of bodies that are held
	notifier notifier
}

// New returns a Gate without an endpoint.
func New(c Config) *Gate {
	c = c.withDefaults()
	g := &Gate{conf: c, log: c.Log, recent: newRecent(), idle: make(chan struct{})}
	g.machine = admit.New(c.Admission, time.Now())
	g.figures = newFigures(c.Metrics, g)
	g.claims = newClaims(c, g.figures)
	g.notifier.notify = c.OnEndpointChange
	return g
}

// Run expires the lease of the backend server, probes an unhealthy one and
// ends queued requests in time, until ctx ends. It then returns nil.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			g.closeIdle()
			return nil
		case <-ticker.C:
			now := time.Now()
			g.tick(ctx, now, now.Sub(last))
			last = now
		}
	}
}

// Yield makes other nodes prefer other endpoints: the endpoint yields, and
// only requests whose deadline is before until are taken. It is called before
// Drain by a node that stops while its backend server goes on.
func (g *Gate) Yield(until time.Time) {
	g.mu.Lock()
	g.until = until
	g.mu.Unlock()
	g.notifyEndpoint()
}

// Drain refuses new and queued requests as draining and waits until none is in
// flight or ctx ends. A drained gate stays so.
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

func (g *Gate) drainLocked(now time.Time) {
	g.decide(g.machine.Drain(now))
	g.checkIdle()
}

// checkIdle closes the idle channel once a stopping gate has nothing in flight.
func (g *Gate) checkIdle() {
	if !g.stopping || g.machine.InFlight() > 0 || g.delivering > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

// Status describes a gate at one moment.
type Status struct {
	Service  mesh.Service
	Addr     mesh.Addr
	State    member.EndpointState
	Slots    int // announced
	Limit    int // current concurrency limit
	InFlight int
	Queued   int
	Draining bool
	Health   string // as the backend server says
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
		Draining: g.machine.Draining(),
		Health:   g.endpoint.health,
		Load:     g.endpoint.load,
		Pressure: g.machine.Pressure(now, nil),
	}
}
