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

// listen opens the listeners of the settings, and then the metrics listener. If the
// metrics address is in use, the node serves requests without metrics: the platform
// assigns all other ports anew each day and does not know this one.
func (n *Node) listen(metrics string) error {
	set := n.nodeSettings.Load()
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
	if n.packetConn, err = net.ListenPacket("udp", set.Peer); err != nil {
		errs = append(errs, fmt.Errorf("listen on peer datagrams: %w", err))
	}
	if err := errors.Join(errs...); err != nil {
		n.close()
		return err
	}
	n.callerListener.Listener = n.listeners["caller"]
	if metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", metrics)
	if err != nil {
		n.log.Error("failed to listen on the metrics address; metrics are not served", zap.Error(err))
		return nil
	}
	n.listeners["metrics"] = l
	return nil
}

func (n *Node) close() {
	for _, l := range n.listeners {
		l.Close()
	}
	if n.packetConn != nil {
		n.packetConn.Close()
	}
}

// idleTimeoutListener applies an idle timeout to connections of callers. The timeout
// follows the configuration, which http.Server.IdleTimeout cannot.
type idleTimeoutListener struct {
	net.Listener
	timeout atomic.Int64 // time.Duration; 0 means no timeout
}

// Accept implements net.Listener.
func (l *idleTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleTimeoutConn{Conn: c, timeout: &l.timeout}, nil
}

// trackState records whether a connection is idle; see http.Server.ConnState.
func (l *idleTimeoutListener) trackState(c net.Conn, s http.ConnState) {
	ic, ok := c.(*idleTimeoutConn)
	if !ok {
		return
	}
	ic.idle.Store(s == http.StateIdle)
	if s == http.StateActive {
		// The server cleared its deadline while the connection was idle, which set the
		// idle timeout. An error shows in the next read.
		_ = ic.Conn.SetReadDeadline(time.Time{})
	}
}

type idleTimeoutConn struct {
	net.Conn
	timeout *atomic.Int64
	idle    atomic.Bool
}

// SetReadDeadline implements net.Conn. On an idle connection the server clears the
// deadline before it waits for the next request; the idle timeout replaces it.
func (c *idleTimeoutConn) SetReadDeadline(t time.Time) error {
	if d := time.Duration(c.timeout.Load()); t.IsZero() && d > 0 && c.idle.Load() {
		t = time.Now().Add(d)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetLinger is net.TCPConn.SetLinger, if the connection has it.
func (c *idleTimeoutConn) SetLinger(sec int) error {
	l, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(sec)
}
