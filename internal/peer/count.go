package peer

import (
	"context"
	"expvar"
	"io"
	"net"
	"sync"
)

// countedConn counts the bytes of a connection once it is known to carry
// requests between nodes rather than requests of callers that are forwarded to
// a gate.
type countedConn struct {
	net.Conn
	mu         sync.Mutex
	in, out    int64       // bytes not yet counted
	read, sent *expvar.Int // nil until startCounting
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.addBytes(int64(n), 0)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.addBytes(0, int64(n))
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that net/http keeps the fast path of
// the wrapped connection.
func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(c.Conn, r)
	c.addBytes(0, n)
	return n, err
}

func (c *countedConn) addBytes(in, out int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.in += in
	c.out += out
	c.flush()
}

// startCounting adds the bytes of c, including those already transferred, to
// read and sent.
func (c *countedConn) startCounting(read, sent *expvar.Int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.sent = read, sent
	c.flush()
}

func (c *countedConn) flush() {
	if c.read == nil {
		return
	}
	c.read.Add(c.in)
	c.sent.Add(c.out)
	c.in, c.out = 0, 0
}

// countedListener wraps each accepted connection in a countedConn.
type countedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c}, nil
}

type connKey struct{}

// withConn stores the connection of a request in the context of the request.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection that withConn stored.
func connFromContext(ctx context.Context) (*countedConn, bool) {
	c, ok := ctx.Value(connKey{}).(*countedConn)
	return c, ok
}
