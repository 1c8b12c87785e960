package inbound

import (
	"iter"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/intake"
)

// Reason says why a connection was closed.
type Reason string

// Reasons of Config.OnClose.
const (
	TooManyConns   Reason = "connections"   // an older one, for a new one
	NoRoom         Reason = "no_room"       // a new one, since requests are in flight on all others
	HeaderTooLarge Reason = "header_size"   // a header above the limit in force
	HeaderMemory   Reason = "header_memory" // the largest header, for lack of memory
)

// Limits bound the connections of a listener. A field that is 0 is no bound.
type Limits struct {
	Conns         int
	WaitingConns  int           // connections that have not carried a request
	MinWait       time.Duration // connections without a request are not closed for new ones before
	MinIdle       time.Duration // idle connections are not closed for new ones before
	HeaderBytes   int           // size of a header, as received
	HeaderTimeout time.Duration // time to receive a header from its first byte, or on a new connection from its start
	IdleTimeout   time.Duration // of a connection that has carried a request
}

// Config configures a Listener.
type Config struct {
	Limits func() Limits // in force
	// Hold leaves new connections for which there is no room to the kernel until there is.
	// The others are closed, and their clients cannot tell whether a request has run.
	Hold    bool
	Memory  *Budget      // for headers that are being received; nil for no bound
	Streams *Budget      // for HTTP/2 streams; nil for no bound. See Conn.StartStream
	OnClose func(Reason) // may be nil
}

// Listener is a net.Listener with limits. TrackState must be the ConnState of its server.
type Listener struct {
	net.Listener
	cfg Config

	mu      sync.Mutex
	conns   map[*Conn]struct{}
	served  int          // connections that the server has not finished with, closed ones included
	waiting atomic.Int64 // connections in state intake.Waiting
	closed  atomic.Bool

	lostChecked atomic.Int64 // time of the last forgetLostStreams in Unix nanoseconds
}

// NewListener returns l with the limits of c.
func NewListener(l net.Listener, c Config) *Listener {
	if c.OnClose == nil {
		c.OnClose = func(Reason) {}
	}
	return &Listener{Listener: l, cfg: c, conns: make(map[*Conn]struct{})}
}

// holdInterval is the time between two checks for room; see Config.Hold.
const holdInterval = 5 * time.Millisecond

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		for (l.isBehind() || l.cfg.Hold && !l.makeRoom()) && !l.closed.Load() {
			time.Sleep(holdInterval)
		}
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.cfg.Hold || l.makeRoom() {
			return l.add(nc), nil
		}
		l.cfg.OnClose(NoRoom)
		nc.Close()
	}
}

// closedShare is the share of Limits.Conns that may be closed connections which the server
// has not finished with.
const closedShare = 0.25

// isBehind reports whether the server has not finished with too many closed connections.
// Each keeps its goroutines and buffers until they have run; on a busy processor several
// times Limits.Conns accumulated.
func (l *Listener) isBehind() bool {
	n := l.cfg.Limits().Conns
	if n <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served-len(l.conns) >= max(int(closedShare*float64(n)), 1)
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closed.Store(true)
	return l.Listener.Close()
}

func (l *Listener) add(nc net.Conn) *Conn {
	c := &Conn{Conn: nc, l: l}
	c.changed.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	l.served++
	l.waiting.Add(1)
	return c
}

// makeRoom reports whether there is room for a new connection, and closes an old one for it
// if need be.
func (l *Listener) makeRoom() bool {
	victim, ok := l.chooseVictim()
	if victim != nil {
		l.cfg.OnClose(TooManyConns)
		_ = victim.Conn.Close() // an error means that the client has closed it
	}
	return ok
}

// chooseVictim reports whether there is room for a new connection, if need be by closing
// the connection that it returns, which it has removed from l.conns.
func (l *Listener) chooseVictim() (*Conn, bool) {
	limits := l.cfg.Limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	if (limits.Conns <= 0 || len(l.conns) < limits.Conns) && (limits.WaitingConns <= 0 || l.waiting.Load() < int64(limits.WaitingConns)) {
		return nil, true
	}
	victim, ok := intake.Oldest(l.states(), time.Now(), limits.MinWait, limits.MinIdle)
	if !ok {
		return nil, false
	}
	victim.forgetLocked()
	return victim, true
}

// states returns the connections. l.mu must be held.
func (l *Listener) states() iter.Seq2[*Conn, intake.Conn] {
	return func(yield func(*Conn, intake.Conn) bool) {
		for c := range l.conns {
			if !yield(c, intake.Conn{State: c.loadState(), Since: time.Unix(0, c.changed.Load()), Memory: c.reserved.Load()}) {
				return
			}
		}
	}
}

// freeMemory closes the connection whose header takes most memory. It returns false if that
// is c, or if there is none.
func (l *Listener) freeMemory(c *Conn) bool {
	victim := l.forgetLargest(c)
	if victim == nil {
		return false
	}
	l.cfg.OnClose(HeaderMemory)
	_ = victim.Conn.Close() // an error means that the client has closed it
	return true
}

// forgetLargest removes the connection whose header takes most memory, unless that is c.
func (l *Listener) forgetLargest(c *Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	victim, ok := intake.Largest(l.states())
	if !ok || victim == c {
		return nil
	}
	victim.forgetLocked()
	return victim
}

// TrackState records what a connection does; see http.Server.ConnState.
func (l *Listener) TrackState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.startRequest()
	case http.StateIdle:
		c.startIdle()
	case http.StateClosed, http.StateHijacked:
		c.streams.forgetLost(l.cfg.Streams, time.Now())
		l.mu.Lock()
		defer l.mu.Unlock()
		l.served--
	}
}
