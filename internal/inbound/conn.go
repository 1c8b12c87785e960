package inbound

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/intake"
)

const (
	// headerMargin is added to the limit of a header: net/http reads up to 4 KiB beyond
	// the end of one, and headers little above the limit get a refusal with a kind.
	headerMargin = 8 << 10
	// timeoutMargin is added to the timeouts of the configuration, so that a client that
	// uses all of them is not cut off for the time on the way.
	timeoutMargin = 500 * time.Millisecond
	// refusalTimeout bounds the time for a refusal to reach a client that goes on sending.
	refusalTimeout = 100 * time.Millisecond
	// maxDiscarded bounds the bytes that are read after a refusal.
	maxDiscarded = 256 << 10
	// maxCancellations is the number of requests in a row that a client may cancel on a
	// connection. Each costs the node about 0.3 ms of a core and the client nothing.
	maxCancellations = 50

	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\n" +
		"Connection: close\r\n\r\n431 Request Header Fields Too Large"
)

// http2Preface begins the preface of an HTTP/2 connection and no HTTP/1 request.
var http2Preface = []byte("PRI * HTTP/2")

// Conn is a connection with the limits of its Listener.
type Conn struct {
	net.Conn
	l *Listener

	state     atomic.Uint32 // intake.State
	changed   atomic.Int64  // time of the last change of state in Unix nanoseconds
	reserved  atomic.Int64  // memory of the header that is being received
	closed    atomic.Bool
	firstByte atomic.Bool // of the current header has arrived

	requests atomic.Uint64 // headers that have arrived
	http2    atomic.Bool   // the connection is known to carry HTTP/2

	cancellations atomic.Int64 // requests in a row that the client has canceled
	streams       streams

	// Used by Read only.
	size, lines int    // of the header that is being received
	header      uint64 // value of requests when it began
	preface     int    // leading bytes of the connection that are those of http2Preface
	http1       bool   // the connection begins with something else
	frames      frameScanner
}

func (c *Conn) loadState() intake.State { return intake.State(c.state.Load()) }

func (c *Conn) setState(s intake.State) {
	old := intake.State(c.state.Swap(uint32(s)))
	if old == intake.Waiting && s != intake.Waiting {
		c.l.waiting.Add(-1)
	}
	c.changed.Store(time.Now().UnixNano())
}

// startRequest records that the header has arrived.
func (c *Conn) startRequest() {
	idle := c.loadState() == intake.Idle
	c.setState(intake.Active)
	c.requests.Add(1)
	c.release()
	if idle {
		// The server cleared its deadline while the connection was idle, which set the
		// idle timeout. An error shows in the next read.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// startIdle records that no request is in flight.
func (c *Conn) startIdle() {
	c.firstByte.Store(false)
	c.setState(intake.Idle)
	if d := c.l.cfg.Limits().IdleTimeout; d > 0 && c.http2.Load() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(d + timeoutMargin)) // the server sets none for HTTP/2
	}
}

// release gives the memory of the header back.
func (c *Conn) release() { c.l.cfg.Memory.Release(c.reserved.Swap(0)) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.closed.Load() { // as a victim: nothing that arrives now may run
		return 0, net.ErrClosed
	}
	if c.loadState() != intake.Active {
		if e := c.receiveHeader(p[:n]); e != nil {
			return 0, e
		}
	}
	if !c.http1 && c.preface > 0 {
		if e := c.admitStreams(p[:n]); e != nil {
			return 0, e
		}
	}
	return n, err
}

// receiveHeader applies the limits to a header of which b has arrived.
func (c *Conn) receiveHeader(b []byte) error {
	if n := c.requests.Load(); n != c.header {
		c.header, c.size, c.lines = n, 0, 0
	}
	limits, http2 := c.l.cfg.Limits(), c.isHTTP2(b)
	if !http2 && limits.HeaderTimeout > 0 && c.loadState() == intake.Idle && !c.firstByte.Swap(true) {
		_ = c.Conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + timeoutMargin))
	}
	c.size += len(b)
	if http2 {
		return c.reserve(intake.BlockCost(c.size))
	}
	c.lines += bytes.Count(b, []byte{'\n'})
	if limits.HeaderBytes > 0 && c.size > limits.HeaderBytes+headerMargin {
		c.l.cfg.OnClose(HeaderTooLarge)
		c.refuse(tooLargeResponse)
		return io.EOF
	}
	return c.reserve(intake.HeaderCost(c.size, c.lines))
}

// isHTTP2 reports whether the connection, of which b are the next bytes, carries HTTP/2.
func (c *Conn) isHTTP2(b []byte) bool {
	if !c.http1 && c.preface < len(http2Preface) {
		m := min(len(b), len(http2Preface)-c.preface)
		c.http1 = !bytes.Equal(b[:m], http2Preface[c.preface:c.preface+m])
		c.preface += m
		c.http2.Store(!c.http1 && c.preface == len(http2Preface))
	}
	return c.http2.Load()
}

// reserve makes total the memory of the header.
func (c *Conn) reserve(total int64) error {
	more := total - c.reserved.Load()
	if more <= 0 {
		return nil
	}
	for !c.l.cfg.Memory.Reserve(more) {
		if !c.l.freeMemory(c) {
			c.l.cfg.OnClose(HeaderMemory)
			return io.EOF // the server closes the connection without a response
		}
	}
	c.reserved.Add(more)
	if c.closed.Load() {
		c.release()
	}
	return nil
}

// refuse writes a response and reads for a short time what the client still sends, since
// closing a connection with unread data would drop the response.
func (c *Conn) refuse(response string) {
	end := time.Now().Add(refusalTimeout)
	if c.SetDeadline(end) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, response); err != nil {
		return
	}
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok && w.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxDiscarded)
	}
}

// SetReadDeadline implements net.Conn. The server sets deadlines of its own settings, which
// the limits in force replace while no request is in flight.
func (c *Conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.IsZero() && t.Before(now) { // ends a read
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.l.cfg.Limits()
	switch c.loadState() {
	case intake.Waiting:
		if limits.HeaderTimeout > 0 && !t.IsZero() {
			t = time.Unix(0, c.changed.Load()).Add(limits.HeaderTimeout + timeoutMargin)
		}
	case intake.Idle:
		if c.firstByte.Load() && limits.HeaderTimeout > 0 {
			return nil // the header has its deadline since its first byte
		}
		if limits.IdleTimeout > 0 {
			t = now.Add(limits.IdleTimeout + timeoutMargin)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// CountRequest records the end of a request, and reports whether the client has canceled
// more than maxCancellations in a row.
func (c *Conn) CountRequest(canceled bool) bool {
	if !canceled {
		c.cancellations.Store(0)
		return false
	}
	return c.cancellations.Add(1) > maxCancellations
}

// SetLinger is net.TCPConn.SetLinger, if the connection has it.
func (c *Conn) SetLinger(sec int) error {
	l, ok := c.Conn.(interface{ SetLinger(sec int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(sec)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	first := c.forgetLocked()
	c.l.mu.Unlock()
	if !first {
		return os.ErrClosed
	}
	return c.Conn.Close()
}

// forgetLocked ends the accounting of c, and reports whether it is the first call. The
// caller closes c.Conn after it has unlocked c.l.mu: closing waits until the reads in
// progress have returned, and with the lock held, every connection of the listener waited
// with it.
func (c *Conn) forgetLocked() bool {
	if c.closed.Swap(true) {
		return false
	}
	delete(c.l.conns, c)
	c.setState(intake.Active) // it waits no longer
	c.release()
	return true
}
