package caller

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/inbound"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Defaults of Config.
const (
	defaultMaxHeader     = 32 << 10
	defaultMaxBody       = 32 << 20
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultWriteTimeout  = time.Minute
	defaultDeadline      = 30 * time.Second
	defaultLinger        = 500 * time.Millisecond
)

const (
	refreshPeriod = 100 * time.Millisecond
	sweepPeriod   = 30 * time.Second
)

// Config configures a Caller. ID, Snapshot and HopToken are required; other
// zero fields get defaults.
type Config struct {
	ID           mesh.NodeID
	Zone         mesh.AvailabilityZone
	Snapshot     func() *config.Snapshot // returns the current configuration, nil if there is none yet
	HopToken     string                  // authenticates requests to gates
	Ready        func() bool             // reports whether callers may be served; nil means always
	LatencyAware bool                    // selects endpoints by their expected response time
	Service      func() mesh.Service     // service of the backend server next to this node; nil for none
	Metrics      *metric.Registry
	Log          *zap.Logger

	// KeepHeaders lists the reserved response headers that are passed to
	// callers.
	KeepHeaders []string
	// Middleware wraps the handler of callers to translate their headers; may be
	// nil.
	Middleware func(http.Handler) http.Handler
	// ConnState is called on every connection state change; may be nil. See
	// http.Server.ConnState.
	ConnState func(net.Conn, http.ConnState)
	// Refuse writes a refusal to the caller; fault.Write if nil.
	Refuse func(http.ResponseWriter, *fault.Error, mesh.RequestID)

	// APIKey returns the API key in the header of a request, "" if there is none. It is
	// needed for configurations with client accounts.
	APIKey func(http.Header) string
	// Limits returns the limits of the configuration in force; may be nil. Fields that are
	// 0 get the limits below.
	Limits func() Limits
	// ForwardIDs means that the request ids of callers are forwarded whatever their form,
	// and that a request without one is refused. Otherwise an id that is missing or not
	// valid is replaced.
	ForwardIDs bool

	MaxHeader     int           // maximum size of a request header in bytes
	MaxBody       int64         // maximum size of a request body in bytes
	HeaderTimeout time.Duration // for reading a request header
	IdleTimeout   time.Duration // of a keep-alive connection
	WriteTimeout  time.Duration // for responses without their own write deadline
	Deadline      time.Duration // default for routes without a deadline
	Linger        time.Duration // how long Drain keeps idle connections open
	SwitchTime    time.Duration // time after PrepareStop until callers use other nodes

	// Memory is for the requests in flight; nil for no bound.
	Memory *inbound.Budget
	// ZoneByteCost is the wait that 1 kB between availability zones is worth. Zero means
	// that bytes cost nothing.
	ZoneByteCost time.Duration

	Hop hop.Config // connections to gates; the Caller sets their numbers
	// MaxGateRequests returns a bound below 256 on the requests in flight to one gate, and on
	// the connections to it; nil or 0 for none.
	MaxGateRequests func() int
	// MaxIdleConns returns a bound on the idle connections to all gates, of bulk and of other
	// ranks each; nil or 0 for none.
	MaxIdleConns func() int
	Pacer        *hop.Pacer // bounds the rate of bulk responses; nil for no bound

	// Demand learns which requests are nested calls of the backend server next to this
	// node; may be nil. It is used if the configuration places by finish.
	Demand *demand.Tracker

	// RequestQuota requests this node's shares of rate limits from their owners;
	// nil if the node has no peers. See peer.Peer.RequestQuota.
	RequestQuota func(ctx context.Context, ds []quota.Demand, granted func(quota.Grant), failed func(quota.Key))

	// Shares holds this node's shares of the limits of client accounts; nil if they are not
	// enforced. RequestShares makes its owner request shares at once.
	Shares        *quota.ShareLimiter
	RequestShares func()
}

// Limits bound a request of a caller.
type Limits struct {
	MaxHeader int   // size of the header in bytes
	MaxBody   int64 // size of the body in bytes
}

// limits returns the limits in force.
func (c *Config) limits() Limits {
	l := Limits{MaxHeader: c.MaxHeader, MaxBody: c.MaxBody}
	if c.Limits == nil {
		return l
	}
	current := c.Limits()
	return Limits{MaxHeader: cmp.Or(current.MaxHeader, l.MaxHeader), MaxBody: cmp.Or(current.MaxBody, l.MaxBody)}
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaxHeader, defaultMaxHeader)
	setDefault(&c.MaxBody, defaultMaxBody)
	setDefault(&c.HeaderTimeout, defaultHeaderTimeout)
	setDefault(&c.IdleTimeout, defaultIdleTimeout)
	setDefault(&c.WriteTimeout, defaultWriteTimeout)
	setDefault(&c.Deadline, defaultDeadline)
	setDefault(&c.Linger, defaultLinger)
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.Refuse == nil {
		c.Refuse = fault.Write
	}
	if c.Metrics == nil {
		c.Metrics = metric.New()
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.APIKey == nil {
		c.APIKey = func(http.Header) string { return "" }
	}
	if c.Service == nil {
		c.Service = func() mesh.Service { return "" }
	}
	return c
}

func setDefault[T int | int64 | time.Duration](p *T, d T) {
	if *p <= 0 {
		*p = d
	}
}

// Caller serves callers and forwards their requests to gates.
type Caller struct {
	cfg    Config
	picker *route.Picker
	zones  *zones
	counts *counts
	serve  endpoint.Endpoint
	server *http.Server

	pools   gatePools      // requests to gates, in the order of queues
	notices *hop.Transport // end notices to gates
	queues  *connQueues

	budgets        retry.Budgets
	throttles      retry.Throttle
	callerTimeouts callerTimeouts
	limits         quota.Limiter
	quotaWake      chan struct{} // signaled when a rate limit is used for the first time

	table   atomic.Pointer[route.Table]
	tableMu sync.Mutex // held while a table is built

	draining           atomic.Bool
	stopBy             atomic.Pointer[time.Time] // end of the process; set by PrepareStop
	switchedAt         atomic.Pointer[time.Time] // when callers use other nodes; set by PrepareStop
	shutdownRetryAfter atomic.Int64              // time.Duration, 0 until StopServing is called
	pending            pendingAttempts
	active             atomic.Int64 // requests in flight
	conns              atomic.Int64 // open connections of callers
}

// New returns a Caller for cfg. It has no endpoints until SetMembers is called.
func New(cfg Config) *Caller {
	c := &Caller{cfg: cfg.withDefaults(), quotaWake: make(chan struct{}, 1)}
	c.queues = newConnQueues(c.cfg.MaxGateRequests)
	c.pools.conf = c.cfg.Hop
	// A notice must not wait for the requests that it is about.
	notices := c.cfg.Hop
	notices.MaxConnsPerHost, notices.MaxIdleConnsPerHost = hop.NoLimit, 1
	c.notices = hop.New(notices)
	c.picker = route.NewPicker(route.PickerConfig{Zone: c.cfg.Zone})
	c.counts = newCounts(c.cfg.Metrics)
	c.zones = newZones(&c.cfg, c.picker)
	c.cfg.Metrics.Gauge("caller_ejections", func() any { return c.picker.Ejections() })
	c.cfg.Metrics.Gauge("caller_awaiting_connection", func() any { return c.pools.waiting() })
	c.cfg.Metrics.Gauge("caller_connection_queue", func() any { return c.queues.waiting() })
	c.cfg.Metrics.Gauge("caller_active", func() any { return c.active.Load() })
	c.limits.SetNodes(1)
	c.serve = c.chain()
	c.server = c.newServer()
	return c
}

// SetMembers replaces the members that endpoints are selected from; ms includes
// this node. Endpoints that remain keep their statistics. The rates of client
// accounts are divided by the number of live members.
func (c *Caller) SetMembers(ms []member.Member) {
	c.picker.Update(ms, time.Now())
	c.zones.setMembers(ms)
	alive := 0
	for i := range ms {
		if ms[i].Status == member.Alive {
			alive++
		}
	}
	c.limits.SetNodes(alive)
}

// SetRetryBudget sets the limit on retries per service and rank.
func (c *Caller) SetRetryBudget(l retry.BudgetLimit) { c.budgets.SetLimit(l) }

// Run keeps the routing table and the shares of rate limits up to date until
// ctx ends. It returns nil.
func (c *Caller) Run(ctx context.Context) error {
	refresh := time.NewTicker(refreshPeriod)
	defer refresh.Stop()
	quotaDone := make(chan struct{})
	go func() {
		c.quotaLoop(ctx)
		close(quotaDone)
	}()
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	decide := time.NewTicker(zonePeriod)
	defer decide.Stop()
	for {
		select {
		case <-ctx.Done():
			<-quotaDone
			return nil
		case <-refresh.C:
			c.currentTable()
		case now := <-decide.C:
			if c.placesByFinish() {
				c.zones.update(now)
			}
		case now := <-sweep.C:
			c.limits.Sweep(now)
			c.queues.sweep()
		}
	}
}

// Apply makes s the configuration that requests are routed by, unless a higher
// version is in use. The owner calls it before it reports that the node serves
// s.
func (c *Caller) Apply(s *config.Snapshot) {
	c.tableMu.Lock()
	defer c.tableMu.Unlock()
	if t := c.table.Load(); t == nil || t.Snapshot().Version < s.Version {
		c.checkResources(s)
		c.callerTimeouts.retain(s)
		c.table.Store(route.NewTable(s))
	}
}

// checkResources counts the routes of s whose service, rank or client account
// is not in s. Compilation refuses such routes. In a configuration without
// accounts, routes have none.
func (c *Caller) checkResources(s *config.Snapshot) {
	for i := range s.Routes {
		r := &s.Routes[i]
		_, service := s.Services[r.Service]
		_, rank := s.RouteRank(r)
		_, account := slices.BinarySearch(s.Accounts, r.Account)
		if !service || !rank || !account && (r.Account != "" || len(s.Accounts) > 0) {
			c.cfg.Metrics.InvariantBroken("route_resource")
		}
	}
}

// currentTable returns the table of the current snapshot, or nil without one.
func (c *Caller) currentTable() *route.Table {
	s := c.cfg.Snapshot()
	if t := c.table.Load(); s == nil || t != nil && t.Snapshot().Version >= s.Version {
		return t
	}
	c.Apply(s)
	return c.table.Load()
}
