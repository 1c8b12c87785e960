package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// link is one forwarded connection.
type link struct {
	relay          *Relay
	source         string
	client, target *net.TCPConn
	closed         chan struct{}
	closeOnce      sync.Once
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	l.closeOnce.Do(func() {
		close(l.closed)
		for _, c := range []*net.TCPConn{l.client, l.target} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

// resetConn closes c with a TCP reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// dialTimeout limits the connection setup to the target.
const dialTimeout = 5 * time.Second

// forwardConn serves one accepted connection until it ends. It connects to the
// target before it reads any byte, so that the relay resets the connection
// without forwarding a byte if the target refuses connections.
func (r *Relay) forwardConn(ctx context.Context, client *net.TCPConn) {
	source := r.cfg.Source(client.RemoteAddr())
	if f, _ := r.sourceFaults(source); f.Cut {
		resetConn(client)
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	target, err := d.DialContext(ctx, "tcp", r.Target())
	if err != nil {
		resetConn(client)
		return
	}
	l := &link{relay: r, source: source, client: client, target: target.(*net.TCPConn), closed: make(chan struct{})}
	if !r.registerLink(ctx, l) {
		l.reset()
		return
	}
	r.connections.Add(1)
	var wg sync.WaitGroup
	wg.Go(func() { l.copyDirection(Forward, l.client, l.target) })
	wg.Go(func() { l.copyDirection(Backward, l.target, l.client) })
	wg.Wait()
	l.closeGracefully() // a reset would discard bytes that are not delivered yet
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// registerLink registers l unless the relay is stopping or the source of l is
// cut.
func (r *Relay) registerLink(ctx context.Context, l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || r.plan.forSource(l.source).Cut {
		return false
	}
	r.links[l] = true
	return true
}

// chunk holds the result of one read and the time at which to forward it.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	chunkBytes = 32 << 10
	// maxQueuedChunks limits the bytes in flight in one direction to
	// maxQueuedChunks*chunkBytes. It is high enough that a delay does not limit
	// the throughput.
	maxQueuedChunks = 64
)

// copyDirection forwards one direction of l until it ends.
func (l *link) copyDirection(dir Direction, src, dst *net.TCPConn) {
	queue := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { l.read(src, queue) })
	l.write(dir, dst, queue)
	wg.Wait()
}

func (l *link) read(src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	buf := make([]byte, chunkBytes)
	var last time.Time
	for {
		n, err := src.Read(buf)
		f, _ := l.relay.sourceFaults(l.source)
		due := time.Now().Add(l.relay.randomDelay(f))
		if due.Before(last) {
			due = last
		}
		last = due
		select {
		case queue <- chunk{append([]byte(nil), buf[:n]...), due, err}:
		case <-l.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (l *link) write(dir Direction, dst *net.TCPConn, queue <-chan chunk) {
	var sent int64
	for {
		var c chunk
		var ok bool
		select {
		case c, ok = <-queue:
		case <-l.closed:
			return
		}
		if !ok || !l.sleepUntil(c.due) {
			return
		}
		f, ok := l.waitUnfrozen(dir)
		if !ok {
			return
		}
		if dir == Backward && f.Truncate > 0 && sent+int64(len(c.data)) >= f.Truncate {
			_, _ = dst.Write(c.data[:max(0, f.Truncate-sent)])
			l.closeGracefully()
			return
		}
		if _, err := dst.Write(c.data); err != nil {
			l.reset()
			return
		}
		sent += int64(len(c.data))
		if errors.Is(c.err, io.EOF) {
			_ = dst.CloseWrite()
			return
		}
		if c.err != nil {
			l.reset()
			return
		}
	}
}

// closeGracefully closes both connections without a reset, so that bytes
// already sent are delivered.
func (l *link) closeGracefully() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

// sleepUntil waits until t. It returns false if l is closed before.
func (l *link) sleepUntil(t time.Time) bool {
	d := time.Until(t)
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// waitUnfrozen waits until dir is not frozen and returns the current faults. It
// returns false if l is closed before.
func (l *link) waitUnfrozen(dir Direction) (Faults, bool) {
	for {
		f, changed := l.relay.sourceFaults(l.source)
		if !f.Freeze.includes(dir) {
			return f, true
		}
		select {
		case <-changed:
		case <-l.closed:
			return f, false
		}
	}
}
