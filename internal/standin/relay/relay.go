package relay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Config configures a Relay.
type Config struct {
	Listen string // address for TCP and UDP; 127.0.0.1:0 if empty
	Target string // address to forward to; may be set later by SetTarget
	NoTCP  bool
	NoUDP  bool
	Seed   uint64
	// Source returns the source name of a client address. If nil, the source is
	// the IP address.
	Source func(client net.Addr) string
}

// Relay forwards connections and datagrams.
type Relay struct {
	cfg     Config
	addr    string
	udpConn *net.UDPConn

	connections, datagrams, lost atomic.Int64

	mu          sync.Mutex
	rng         *rand.Rand
	target      *net.UDPAddr // nil until set
	plan        Plan
	changed     chan struct{} // closed when plan changes
	tcpListener net.Listener  // nil while cut
	links       map[*link]bool
	flows       map[string]*flow
}

const defaultListen = "127.0.0.1:0"

// New opens the listeners of a relay. Run must be called to serve them and to
// close them.
func New(cfg Config) (*Relay, error) {
	if cfg.Listen == "" {
		cfg.Listen = defaultListen
	}
	if cfg.Source == nil {
		cfg.Source = sourceIP
	}
	r := &Relay{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		changed: make(chan struct{}),
		links:   make(map[*link]bool),
		flows:   make(map[string]*flow),
	}
	if cfg.Target != "" {
		if err := r.SetTarget(cfg.Target); err != nil {
			return nil, err
		}
	}
	return r, r.listen()
}

// SetTarget changes the address to forward to and resets the connections to
// the previous one. Without a target, connections are reset and datagrams are
// dropped.
func (r *Relay) SetTarget(addr string) error {
	a, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return fmt.Errorf("relay target: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = a
	for l := range r.links {
		l.reset()
	}
	for k, f := range r.flows {
		_ = f.conn.Close()
		delete(r.flows, k)
	}
	return nil
}

// Target returns the address to forward to, or "" if none is set.
func (r *Relay) Target() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.target == nil {
		return ""
	}
	return r.target.String()
}

func sourceIP(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// maxListenAttempts limits the search for a kernel-assigned port that is free
// for both TCP and UDP.
const maxListenAttempts = 20

func (r *Relay) listen() error {
	var err error
	for range maxListenAttempts {
		if err = r.listenOnce(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("relay listen: %w", err)
}

func (r *Relay) listenOnce() error {
	r.addr = r.cfg.Listen
	if !r.cfg.NoTCP {
		l, err := net.Listen("tcp", r.addr)
		if err != nil {
			return err
		}
		r.tcpListener, r.addr = l, l.Addr().String()
	}
	if r.cfg.NoUDP {
		return nil
	}
	a, err := net.ResolveUDPAddr("udp", r.addr)
	if err == nil {
		r.udpConn, err = net.ListenUDP("udp", a)
	}
	if err != nil {
		if r.tcpListener != nil {
			_ = r.tcpListener.Close()
		}
		return err
	}
	r.addr = r.udpConn.LocalAddr().String()
	return nil
}

// Addr returns the listen address.
func (r *Relay) Addr() string { return r.addr }

// Plan returns the faults of all sources.
func (r *Relay) Plan() Plan {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan
}

// SetFaults replaces the faults of all sources by f.
func (r *Relay) SetFaults(f Faults) error { return r.SetPlan(Plan{Faults: f}) }

// SetPlan replaces all faults by p. The caller must not modify the map of p
// afterwards.
func (r *Relay) SetPlan(p Plan) error {
	if err := p.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasCut := r.plan.Faults.Cut
	r.plan = p
	close(r.changed)
	r.changed = make(chan struct{})
	for l := range r.links {
		if p.forSource(l.source).Cut {
			l.reset()
		}
	}
	if r.cfg.NoTCP || p.Faults.Cut == wasCut {
		return nil
	}
	if p.Faults.Cut {
		err := r.tcpListener.Close()
		r.tcpListener = nil
		return err
	}
	return r.relisten()
}

// relistenTimeout limits the wait for the port, which the kernel may assign to
// another socket while the relay refuses connections.
const relistenTimeout = 2 * time.Second

// relisten opens the TCP listener again on the same address. It must be called
// with mu held.
func (r *Relay) relisten() error {
	deadline := time.Now().Add(relistenTimeout)
	for {
		l, err := net.Listen("tcp", r.addr)
		if err == nil {
			r.tcpListener = l
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("relay reopen listener: %w", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sourceFaults returns the faults of source and a channel that is closed when
// they may have changed.
func (r *Relay) sourceFaults(source string) (Faults, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.plan.forSource(source), r.changed
}

// randomDelay returns the delay of f with a random jitter.
func (r *Relay) randomDelay(f Faults) time.Duration {
	d := time.Duration(f.Delay)
	if f.Jitter > 0 {
		d += time.Duration(r.randFloat() * float64(f.Jitter))
	}
	return d
}

func (r *Relay) randFloat() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}

// Run forwards until ctx ends, then closes all connections.
func (r *Relay) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	if !r.cfg.NoTCP {
		g.Go(func() error { return r.acceptLoop(ctx, g) })
	}
	if r.udpConn != nil {
		g.Go(func() error { return r.readDatagrams(ctx, g) })
	}
	g.Go(func() error {
		<-ctx.Done()
		r.closeAll()
		return nil
	})
	return g.Wait()
}

func (r *Relay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcpListener != nil {
		_ = r.tcpListener.Close()
	}
	if r.udpConn != nil {
		_ = r.udpConn.Close()
	}
	for l := range r.links {
		l.reset()
	}
	for _, f := range r.flows {
		_ = f.conn.Close()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// acceptLoop accepts connections until ctx ends. While a cut keeps the listener
// closed, it waits for the faults to change.
func (r *Relay) acceptLoop(ctx context.Context, g *errgroup.Group) error {
	for ctx.Err() == nil {
		r.mu.Lock()
		l, changed := r.tcpListener, r.changed
		r.mu.Unlock()
		if l == nil {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return fmt.Errorf("relay accept: %w", err)
		}
		g.Go(func() error {
			r.forwardConn(ctx, c.(*net.TCPConn))
			return nil
		})
	}
	return nil
}
