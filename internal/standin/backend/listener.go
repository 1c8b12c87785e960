package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitListener limits the number of open connections to maxConns and closes
// those above the limit. It accepts one connection at a time, each of which
// takes acceptTime.
type limitListener struct {
	net.Listener
	maxConns   int64
	acceptTime time.Duration
	openConns  atomic.Int64
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.acceptTime)
		if l.openConns.Add(1) <= l.maxConns {
			return &limitConn{Conn: c, listener: l}, nil
		}
		l.openConns.Add(-1)
		_ = c.Close()
	}
}

type limitConn struct {
	net.Conn
	listener *limitListener
	once     sync.Once
}

func (c *limitConn) Close() error {
	c.once.Do(func() { c.listener.openConns.Add(-1) })
	return c.Conn.Close()
}
