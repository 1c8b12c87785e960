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

// Server is a stand-in of a backend server.
type Server struct {
	cfg             Config
	requestListener net.Listener
	controlListener net.Listener
	journal         *journal

	announceClient *http.Client
	nestedClient   *http.Client
	slots          chan struct{}
	cache          contentCache

	waiting, running, inFlight, shed atomic.Int64

	stateChanged chan struct{}

	mu              sync.Mutex
	rng             *rand.Rand
	currentBehavior Behavior
	state           State
	readyAt         time.Time
}

// New opens the listeners of a server. Run must be called to serve them and to
// close them.
func New(cfg Config) (*Server, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
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
		cfg:             cfg,
		requestListener: &limitListener{Listener: l, maxConns: int64(cfg.Connections), acceptTime: cfg.AcceptTime},
		controlListener: c,
		journal:         j,
		announceClient:  &http.Client{Transport: &http.Transport{}},
		nestedClient:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots}},
		slots:           make(chan struct{}, cfg.Slots),
		stateChanged:    make(chan struct{}, 1),
		rng:             rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		currentBehavior: cfg.Behavior,
		state:           Starting,
	}, nil
}

// Addr returns the address of the request listener.
func (s *Server) Addr() string { return s.requestListener.Addr().String() }

// ControlAddr returns the address of the control listener.
func (s *Server) ControlAddr() string { return s.controlListener.Addr().String() }

// Executions returns all entries of the journal.
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

// SetBehavior replaces the behavior of s.
func (s *Server) SetBehavior(b Behavior) error {
	if err := b.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.currentBehavior = b
	return nil
}

func (s *Server) behavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentBehavior
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

func (s *Server) randFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// sampleServiceTime returns a random service time from t, which is longer
// during the warm-up.
func (s *Server) sampleServiceTime(t ServiceTime) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := t.Sample(s.rng)
	if s.cfg.WarmUp <= 0 || s.state == Draining {
		return d
	}
	warmUpLeft := 1.0
	if s.state == Ready {
		warmUpLeft = max(0, 1-float64(time.Since(s.readyAt))/float64(s.cfg.WarmUp))
	}
	return time.Duration(float64(d) * (1 + (warmUpFactor-1)*warmUpLeft))
}

// acquireSlot waits for a slot. It returns false if the queue is full or ctx
// ends.
func (s *Server) acquireSlot(ctx context.Context) bool {
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

func (s *Server) releaseSlot() {
	s.running.Add(-1)
	<-s.slots
}

// Run serves requests until ctx ends and then drains: it announces that it is
// draining, waits for requests in flight, withdraws its announcement and closes
// its listeners.
func (s *Server) Run(ctx context.Context) error {
	requestServer := &http.Server{Handler: s.handler()}
	controlServer := &http.Server{Handler: s.controlHandler()}
	announceCtx, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { return serveUntilClosed(requestServer, s.requestListener) })
	g.Go(func() error { return serveUntilClosed(controlServer, s.controlListener) })
	announceDone := make(chan struct{})
	go func() {
		defer close(announceDone)
		s.announceLoop(announceCtx)
	}()
	if wait.For(ctx, s.cfg.ColdStart) == nil {
		s.setState(Ready)
		<-ctx.Done()
	}
	stopAnnouncing()
	<-announceDone
	s.drain(context.WithoutCancel(ctx), requestServer)
	_ = controlServer.Close()
	err := g.Wait()
	s.announceClient.CloseIdleConnections()
	s.nestedClient.CloseIdleConnections()
	return errors.Join(err, s.journal.close())
}

func serveUntilClosed(srv *http.Server, l net.Listener) error {
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// drainQuietPeriod is the time without requests in flight after which a draining
// server stops. Requests may already be on their way when the node receives the
// announcement of draining.
const drainQuietPeriod = 100 * time.Millisecond

func (s *Server) drain(ctx context.Context, requestServer *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.DrainTimeout)
	defer cancel()
	s.setState(Draining)
	if err := s.announce(ctx); err != nil {
		s.cfg.Log.Warn("failed to announce draining", zap.String("node", s.cfg.NodeAddr), zap.Error(err))
	}
	renewCtx, stopRenewing := context.WithCancel(ctx)
	renewDone := make(chan struct{})
	go func() {
		defer close(renewDone)
		s.announceLoop(renewCtx)
	}()
	idleSince := time.Now()
	for wait.For(ctx, drainQuietPeriod/10) == nil {
		if s.inFlight.Load() > 0 {
			idleSince = time.Now()
		}
		if time.Since(idleSince) >= drainQuietPeriod {
			break
		}
	}
	stopRenewing()
	<-renewDone
	if err := s.withdraw(context.WithoutCancel(ctx)); err != nil {
		s.cfg.Log.Warn("failed to withdraw announcement", zap.String("node", s.cfg.NodeAddr), zap.Error(err))
	}
	if err := requestServer.Shutdown(ctx); err != nil {
		s.cfg.Log.Error("drain timeout expired with requests in flight", zap.Error(err))
		_ = requestServer.Close()
	}
}
