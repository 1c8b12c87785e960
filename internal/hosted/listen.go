package hosted

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// listen opens the listeners of the settings, and then that of the metrics. A node
// whose metrics address is taken serves without it: the platform chooses all other ports
// anew each day, and does not know this one.
func (n *Node) listen(metrics string) error {
	set := n.set.Load()
	n.listeners = make(map[string]net.Listener)
	var errs []error
	for name, addr := range map[string]string{
		"caller": set.Caller, "ready": set.Ready, "announce": set.Announce, "peer": set.Peer,
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", name, err))
			continue
		}
		n.listeners[name] = l
	}
	var err error
	if n.packet, err = net.ListenPacket("udp", set.Peer); err != nil {
		errs = append(errs, fmt.Errorf("listen on peer datagrams: %w", err))
	}
	if err := errors.Join(errs...); err != nil {
		n.close()
		return err
	}
	n.idle.Listener = n.listeners["caller"]
	if metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", metrics)
	if err != nil {
		n.log.Error("metrics are not served", zap.Error(err))
		return nil
	}
	n.listeners["metrics"] = l
	return nil
}

func (n *Node) close() {
	for _, l := range n.listeners {
		l.Close()
	}
	if n.packet != nil {
		n.packet.Close()
	}
}

// idleListener limits the time for which connections of callers are idle. The
// limit follows the configuration, which http.Server.IdleTimeout cannot.
type idleListener struct {
	net.Listener
	limit atomic.Int64 // time.Duration; 0 is no limit
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: c, limit: &l.limit}, nil
}

// state follows the states of connections; see http.Server.ConnState.
func (l *idleListener) state(c net.Conn, s http.ConnState) {
	ic, ok := c.(*idleConn)
	if !ok {
		return
	}
	ic.idle.Store(s == http.StateIdle)
	if s == http.StateActive {
		// The server removed its deadline while the connection counted as idle.
		// An error shows in the next read.
		_ = ic.Conn.SetReadDeadline(time.Time{})
	}
}

type idleConn struct {
	net.Conn
	limit *atomic.Int64
	idle  atomic.Bool
}

// SetReadDeadline implements net.Conn. On an idle connection the server removes
// the deadline before it waits for the next request; the limit takes its place.
func (c *idleConn) SetReadDeadline(t time.Time) error {
	if d := time.Duration(c.limit.Load()); t.IsZero() && d > 0 && c.idle.Load() {
		t = time.Now().Add(d)
	}
	return c.Conn.SetReadDeadline(t)
}
