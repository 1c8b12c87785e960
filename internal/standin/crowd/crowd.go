package crowd

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	dialTimeout = time.Second
	// redialInterval is the time between the end of a connection and the next one of the
	// same client, so that a server that closes connections at once is not only busy
	// with accepting new ones.
	redialInterval = 20 * time.Millisecond
)

// Client describes the clients of one kind. A client whose connection the server closes
// opens the next one.
type Client struct {
	Head   string // sent first on each connection
	Repeat string // sent again and again after Head; nothing if empty
	// Next returns the data of step i in place of Repeat, for what differs from step to
	// step. It returns nil after the last step.
	Next func(i int) []byte
	// Limit is the number of bytes of a connection after which the client waits; 0 for
	// none.
	Limit int
	// Deaf clients never read. The others read and drop what the server sends.
	Deaf bool
}

// Run keeps n clients of kind k connected to addr for the given time. It returns the
// number of connections that were opened. All of them are closed when it returns.
func (k Client) Run(addr string, n int, length time.Duration) int {
	var opened atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(length)
	for range n {
		clients.Go(func() {
			for time.Now().Before(end) {
				if c, err := net.DialTimeout("tcp", addr, dialTimeout); err == nil {
					opened.Add(1)
					k.use(c, end)
				}
				time.Sleep(min(redialInterval, time.Until(end)))
			}
		})
	}
	clients.Wait()
	return int(opened.Load())
}

// use sends the data of k on c until the server closes it or the end.
func (k Client) use(c net.Conn, end time.Time) {
	defer c.Close()
	_ = c.SetDeadline(end)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		if k.Deaf {
			return
		}
		_, _ = io.Copy(io.Discard, c) // ends with the connection
	}()
	if err := k.send(c); err == nil && k.Deaf {
		time.Sleep(time.Until(end))
	}
	if k.Deaf {
		return
	}
	<-closed
}

// send writes the data of k until an error or Limit.
func (k Client) send(c net.Conn) error {
	sent, err := io.WriteString(c, k.Head)
	if err != nil {
		return err
	}
	for i := 0; k.Limit == 0 || sent < k.Limit; i++ {
		b := []byte(k.Repeat)
		if k.Next != nil {
			b = k.Next(i)
		}
		if len(b) == 0 {
			return nil
		}
		if k.Limit > 0 {
			b = b[:min(len(b), k.Limit-sent)]
		}
		m, err := c.Write(b)
		sent += m
		if err != nil {
			return errors.Join(err, c.Close())
		}
	}
	return nil
}
