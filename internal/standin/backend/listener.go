package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitListener accepts up to max connections at a time and closes those above
// it. Each accepted connection takes the time cost, one after the other.
type limitListener struct {
	net.Listener
	max  int64
	cost time.Duration
	open atomic.Int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.cost)
		if l.open.Add(1) <= l.max {
			return &limitConn{Conn: c, l: l}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

type limitConn struct {
	net.Conn
	l    *limitListener
	once sync.Once
}

func (c *limitConn) Close() error {
	c.once.Do(func() { c.l.open.Add(-1) })
	return c.Conn.Close()
}
