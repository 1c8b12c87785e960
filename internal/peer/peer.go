package peer

import (
	"context"
	"crypto/subtle"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// queueLength limits the queued pushes and the queued hints.
const queueLength = 64

// Peer handles the communication of a node with the other nodes of its mesh.
type Peer struct {
	cfg      Config
	log      *zap.Logger
	stats    *stats
	codec    codec
	signer   signer
	hopToken []byte // expected in mesh.HopHeader of forwarded requests
	client   *http.Client

	mu                  sync.Mutex // guards list
	list                *member.List
	memberCache         memberCache
	notifiedChangeCount uint64        // ChangeCount at the last call of OnMembers
	wakeTick            chan struct{} // the next tick may be due earlier
	membersChanged      chan struct{} // the members changed

	stateMu         sync.Mutex // guards state
	state           *version.State
	snapshot        atomic.Pointer[config.Snapshot]
	externalVersion atomic.Uint64 // version set by SetVersion

	tickDue     atomic.Pointer[time.Time] // time of the next tick of the member list, nil before the first tick
	readinessMu sync.Mutex                // guards readiness
	readiness   version.Readiness

	ledger quota.Ledger // of the rate limits that this node owns

	hints          chan hint      // peers that reported a newer version
	pushQueue      chan pushJob   // versions to push
	readHeadNow    chan struct{}  // read the platform's head now
	unknownSenders chan mesh.Addr // senders of datagrams that are not known members
	syncNow        chan struct{}  // exchange views with a member now

	syncSlots     chan struct{}
	joinAttempted chan struct{} // closed after the first attempt to join
}

// memberCache holds the members as of a change count of the list.
type memberCache struct {
	changeCount uint64
	members     []member.Member
}

// New returns a Peer that is not yet running.
func New(c Config) (*Peer, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	p := &Peer{
		cfg:            c,
		log:            c.Log,
		stats:          newStats(c.Metrics),
		codec:          codec{deriveKey(c.Key, "datagram")},
		signer:         signer{deriveKey(c.Key, "request")},
		hopToken:       []byte(HopToken(c.Key)),
		wakeTick:       make(chan struct{}, 1),
		membersChanged: make(chan struct{}, 1),
		state:          version.New(),
		hints:          make(chan hint, queueLength),
		pushQueue:      make(chan pushJob, queueLength),
		readHeadNow:    make(chan struct{}, 1),
		syncNow:        make(chan struct{}, 1),
		unknownSenders: make(chan mesh.Addr, 1),
		syncSlots:      make(chan struct{}, maxConcurrentSyncs),
		joinAttempted:  make(chan struct{}),
	}
	p.list = member.New(member.Config{
		Self:              c.Self,
		Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		BudgetBytes:       updateBudgetBytes,
		DeadProbeInterval: c.DeadProbeInterval,
		UpdateSize:        encodedSize,
	}, time.Now())
	p.client = p.newClient()
	p.registerGauges()
	signal(p.membersChanged) // the first call of OnMembers lists only this node
	return p, nil
}

func (p *Peer) registerGauges() {
	r := p.cfg.Metrics
	r.Gauge("config_version", func() any { return p.Version() })
	r.Gauge("peer_ready", func() any { return p.Ready() })
	r.Gauge("membership", func() any {
		p.mu.Lock()
		defer p.mu.Unlock()
		c := p.list.Counts()
		return map[string]int64{
			"members": int64(p.list.Size()), "pending": int64(p.list.Pending()), "probes": c.Probes, "failed": c.Failed, "suspicions": c.Suspicions,
			"deaths": c.Deaths, "refutations": c.Refutations, "pauses": c.Pauses, "replaced": c.Replaced,
		}
	})
}

// task is one of the long-running functions of a Peer.
type task struct {
	name string
	run  func(context.Context) error
}

// Run runs the Peer until ctx is done or one of its tasks fails, and closes its
// sockets.
func (p *Peer) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	srv := p.newServer()
	tasks := []task{
		{"serve", func(context.Context) error { return p.serve(srv) }},
		{"close", func(ctx context.Context) error { return p.closeSockets(ctx, srv) }},
		{"receive", p.receive},
		{"tick", p.tick},
		{"notify", p.notify},
		{"join", p.join},
	}
	if !p.cfg.ExternalConfig {
		tasks = append(tasks, []task{
			{"read head", p.pollHead},
			{"catch up", p.catchUp},
			{"spread", p.runPushes},
			{"sweep ledger", p.sweepLedger},
		}...)
	}
	type end struct {
		name string
		err  error
	}
	ends := make(chan end)
	for _, t := range tasks {
		go func() { ends <- end{t.name, t.run(ctx)} }()
	}
	var first error
	for range tasks {
		e := <-ends
		if e.err != nil && first == nil && ctx.Err() == nil {
			first = fmt.Errorf("peer: %s: %w", e.name, e.err)
		}
		cancel()
	}
	p.client.CloseIdleConnections()
	return first
}

// Snapshot returns the current configuration, or nil if there is none.
func (p *Peer) Snapshot() *config.Snapshot { return p.snapshot.Load() }

// Version returns the version of the current configuration, 0 without one.
func (p *Peer) Version() mesh.Version {
	if s := p.snapshot.Load(); s != nil {
		return s.Version
	}
	return 0
}

// SetVersion announces to other nodes that this node holds version v of an
// external configuration. See Config.ExternalConfig.
func (p *Peer) SetVersion(v mesh.Version) {
	p.externalVersion.Store(uint64(v))
	p.mu.Lock()
	p.list.SetVersion(v)
	out := p.list.GossipVersion(time.Now())
	p.mu.Unlock()
	p.sendDatagrams(out)
}

// SetPreferZone sets whether gossip goes mostly to nodes of the own availability zone.
func (p *Peer) SetPreferZone(prefer bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.SetPreferZone(prefer)
}

// Watcher reports whether this node is one of the few that watch the platform
// on behalf of the mesh.
func (p *Peer) Watcher() bool { return version.IsWatcher(p.cfg.Self.ID, p.members()) }

// Watchers returns the nodes that watch the platform on behalf of the mesh.
func (p *Peer) Watchers() []member.Member { return version.Watchers(p.members()) }

// Joined reports whether another node is known.
func (p *Peer) Joined() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Size() > 1
}

// Predecessor returns the last record of an earlier process with the id of this node
// that another node has reported, or false if none has.
func (p *Peer) Predecessor() (member.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list.Predecessor()
}

// JoinAttempted returns a channel that is closed after the first attempt to
// join.
func (p *Peer) JoinAttempted() <-chan struct{} { return p.joinAttempted }

// Members returns all remembered members, this node included, sorted by id.
// The slice belongs to the caller.
func (p *Peer) Members() []member.Member { return slices.Clone(p.members()) }

// members returns the same as Members in a shared slice that must not be
// changed.
func (p *Peer) members() []member.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.list.ChangeCount(); p.memberCache.members == nil || p.memberCache.changeCount != c {
		p.memberCache = memberCache{changeCount: c, members: p.list.Members()}
	}
	return p.memberCache.members
}

// Ready reports whether this node holds the highest version known to it and
// may serve.
func (p *Peer) Ready() bool {
	now := time.Now()
	if d := p.tickDue.Load(); d != nil && now.Sub(*d) > pauseThreshold {
		// The process was paused and tick has not run since. Requests that
		// arrived during the pause may be read before it runs.
		return false
	}
	p.readinessMu.Lock()
	defer p.readinessMu.Unlock()
	return p.readiness.Ready(now, p.Version())
}

// pauseThreshold is the delay of a tick beyond which the process is considered
// to have been paused, as in the member list.
const pauseThreshold = 2 * time.Second

// SetEndpoint sets the endpoint of this node and propagates the change at once.
func (p *Peer) SetEndpoint(s mesh.Service, slots int, e member.EndpointState) {
	p.mu.Lock()
	p.list.SetEndpoint(time.Now(), s, slots, e)
	p.mu.Unlock()
	p.wakeListTasks()
}

// Leave announces that this node leaves the mesh, and returns once the
// announcement was sent to several nodes. Run must still be running.
func (p *Peer) Leave(ctx context.Context) error {
	const (
		rounds = 4
		pause  = 50 * time.Millisecond
	)
	p.mu.Lock()
	p.list.Leave(time.Now())
	p.mu.Unlock()
	for range rounds {
		p.mu.Lock()
		out := p.list.Gossip(time.Now())
		p.mu.Unlock()
		p.sendDatagrams(out)
		if err := wait.For(ctx, pause); err != nil {
			return fmt.Errorf("leave: %w", err)
		}
	}
	return nil
}

// wakeListTasks wakes the tasks that depend on the member list.
func (p *Peer) wakeListTasks() {
	signal(p.wakeTick)
	p.mu.Lock()
	changed := p.list.ChangeCount() != p.notifiedChangeCount
	p.mu.Unlock()
	if changed {
		signal(p.membersChanged)
	}
}

// notify calls OnMembers after changes of the members.
func (p *Peer) notify(ctx context.Context) error {
	const interval = 20 * time.Millisecond
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.membersChanged:
		}
		p.mu.Lock()
		p.notifiedChangeCount = p.list.ChangeCount()
		p.mu.Unlock()
		p.cfg.OnMembers(p.Members())
		if wait.For(ctx, interval) != nil {
			return nil
		}
	}
}

// validHopToken reports whether token is the hop token of this mesh.
func (p *Peer) validHopToken(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), p.hopToken) == 1
}

// dispatch passes forwarded requests to the gate and all others to rpc.
func (p *Peer) dispatch(rpc http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token := r.Header.Get(mesh.HopHeader); token != "" {
			if !p.validHopToken(token) {
				p.refuse(w, fault.New(fault.Unauthorized, "hop token is wrong"))
				return
			}
			p.cfg.Gate.ServeHTTP(w, r)
			return
		}
		rpc.ServeHTTP(w, r)
	})
}

// signal sends on c unless a signal is already pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// jitter returns a random duration between d/2 and 3d/2.
func jitter(d time.Duration) time.Duration { return d/2 + time.Duration(rand.Int64N(int64(d))) }

// backoff returns the jittered delay after n consecutive failures, which
// doubles from base up to limit.
func backoff(n int, base, limit time.Duration) time.Duration {
	const doublings = 16
	return jitter(min(base<<min(n, doublings), limit))
}
