package backend

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/wait"
)

// Server is the stand-in.
type Server struct {
	cfg      Config
	requests net.Listener
	control  net.Listener
	journal  *journal

	announcer *http.Client
	caller    *http.Client
	slots     chan struct{}
	immutable contents

	waiting, running, inFlight, shed atomic.Int64

	stateChanged chan struct{}

	mu      sync.Mutex
	rnd     *rand.Rand
	current Behavior
	state   State
	readyAt time.Time
}

// New opens the listeners of a server. Run must be called to serve them and to
// close them.
func New(cfg Config) (*Server, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("backend stand-in: %w", err)
	}
	j, err := openJournal(cfg.Journal)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for requests: %w", err)
	}
	c, err := net.Listen("tcp", cfg.Control)
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("listen for control: %w", err)
	}
	return &Server{
		cfg:          cfg,
		requests:     &limitListener{Listener: l, max: int64(cfg.Connections), cost: cfg.AcceptTime},
		control:      c,
		journal:      j,
		announcer:    &http.Client{Transport: &http.Transport{}},
		caller:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}},
		slots:        make(chan struct{}, cfg.Slots),
		stateChanged: make(chan struct{}, 1),
		rnd:          rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		current:      cfg.Behavior,
		state:        Starting,
	}, nil
}

// Addr returns the address of the request listener.
func (s *Server) Addr() string { return s.requests.Addr().String() }

// ControlAddr returns the address of the control listener.
func (s *Server) ControlAddr() string { return s.control.Addr().String() }

// Executions returns the journal.
func (s *Server) Executions() []Execution { return s.journal.list(0) }

// Status returns the state and counters of s.
func (s *Server) Status() Status {
	return Status{
		State:    s.State(),
		Behavior: s.behavior(),
		Running:  s.running.Load(),
		InFlight: s.inFlight.Load(),
		Runs:     s.journal.count(),
		Shed:     s.shed.Load(),
	}
}

// State returns the state that s announces.
func (s *Server) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// SetBehavior replaces the behaviour of s.
func (s *Server) SetBehavior(b Behavior) error {
	if err := b.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = b
	return nil
}

func (s *Server) behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *Server) setState(st State) {
	s.mu.Lock()
	s.state = st
	if st == Ready {
		s.readyAt = time.Now()
	}
	s.mu.Unlock()
	select {
	case s.stateChanged <- struct{}{}:
	default:
	}
}

func (s *Server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}

// sample returns a service time, which is longer during the warm-up.
func (s *Server) sample(t ServiceTime) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := t.Sample(s.rnd)
	if s.cfg.WarmUp <= 0 || s.state == Draining {
		return d
	}
	left := 1.0
	if s.state == Ready {
		left = max(0, 1-float64(time.Since(s.readyAt))/float64(s.cfg.WarmUp))
	}
	return time.Duration(float64(d) * (1 + (warmUpFactor-1)*left))
}

// acquire takes a slot. It returns false if the queue is full or ctx ends.
func (s *Server) acquire(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.cfg.Queue) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) release() {
	s.running.Add(-1)
	<-s.slots
}

// Run serves until ctx ends, then drains: it announces that it is draining,
// lets requests in flight finish, withdraws its announcement and closes its
// listeners.
func (s *Server) Run(ctx context.Context) error {
	requests := &http.Server{Handler: s.handler()}
	control := &http.Server{Handler: s.controlHandler()}
	announceCtx, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { return serveUntilClosed(requests, s.requests) })
	g.Go(func() error { return serveUntilClosed(control, s.control) })
	announcing := make(chan struct{})
	go func() {
		defer close(announcing)
		s.announceLoop(announceCtx)
	}()
	if wait.For(ctx, s.cfg.ColdStart) == nil {
		s.setState(Ready)
		<-ctx.Done()
	}
	stopAnnouncing()
	<-announcing
	s.drain(context.WithoutCancel(ctx), requests)
	_ = control.Close()
	err := g.Wait()
	s.announcer.CloseIdleConnections()
	s.caller.CloseIdleConnections()
	return errors.Join(err, s.journal.close())
}

func serveUntilClosed(srv *http.Server, l net.Listener) error {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// quiet is how long no request must be in flight before a draining server
// stops, because requests may be on their way when the node learns of it.
const quiet = 100 * time.Millisecond

func (s *Server) drain(ctx context.Context, requests *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.DrainTimeout)
	defer cancel()
	s.setState(Draining)
	if err := s.announce(ctx); err != nil {
		s.cfg.Log.Warn("announcement of draining failed", zap.String("node", s.cfg.NodeAddr), zap.Error(err))
	}
	renewCtx, stopRenewing := context.WithCancel(ctx)
	renewing := make(chan struct{})
	go func() {
		defer close(renewing)
		s.announceLoop(renewCtx)
	}()
	idle := time.Now()
	for wait.For(ctx, quiet/10) == nil {
		if s.inFlight.Load() > 0 {
			idle = time.Now()
		}
		if time.Since(idle) >= quiet {
			break
		}
	}
	stopRenewing()
	<-renewing
	if err := s.withdraw(context.WithoutCancel(ctx)); err != nil {
		s.cfg.Log.Warn("withdrawal failed", zap.String("node", s.cfg.NodeAddr), zap.Error(err))
	}
	if err := requests.Shutdown(ctx); err != nil {
		s.cfg.Log.Error("requests were still in flight at the end of the drain", zap.Error(err))
		_ = requests.Close()
	}
}
