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
	r              *Relay
	source         string
	client, target *net.TCPConn
	closed         chan struct{}
	once           sync.Once
}

// reset closes both connections with a reset.
func (l *link) reset() {
	l.once.Do(func() {
		close(l.closed)
		for _, c := range []*net.TCPConn{l.client, l.target} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

func refuse(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// forward serves one accepted connection until it ends. The connection to the
// target is made before any byte is read, so that a target that refuses
// connections makes the relay reset them with no byte passed on.
func (r *Relay) forward(ctx context.Context, client *net.TCPConn) {
	source := r.cfg.Source(client.RemoteAddr())
	if f, _ := r.faults(source); f.Cut {
		refuse(client)
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	t, err := d.DialContext(ctx, "tcp", r.Target())
	if err != nil {
		refuse(client)
		return
	}
	l := &link{r: r, source: source, client: client, target: t.(*net.TCPConn), closed: make(chan struct{})}
	if !r.add(ctx, l) {
		l.reset()
		return
	}
	r.connections.Add(1)
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(Forward, l.client, l.target) })
	wg.Go(func() { l.pump(Backward, l.target, l.client) })
	wg.Wait()
	l.finish() // a reset would discard bytes that were not delivered yet
	r.mu.Lock()
	delete(r.links, l)
	r.mu.Unlock()
}

// add registers l unless the relay stops or cuts its source.
func (r *Relay) add(ctx context.Context, l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ctx.Err() != nil || r.plan.of(l.source).Cut {
		return false
	}
	r.links[l] = true
	return true
}

// chunk is what one read returned.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

const (
	chunkSize = 32 << 10
	// queueLen bounds the bytes in flight of one direction, queueLen*chunkSize
	// at most, so that a delay does not limit the rate.
	queueLen = 64
)

// pump passes on one direction of l until it ends.
func (l *link) pump(dir Direction, src, dst *net.TCPConn) {
	queue := make(chan chunk, queueLen)
	var wg sync.WaitGroup
	wg.Go(func() { l.read(src, queue) })
	l.write(dir, dst, queue)
	wg.Wait()
}

func (l *link) read(src *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	buf := make([]byte, chunkSize)
	var last time.Time
	for {
		n, err := src.Read(buf)
		f, _ := l.r.faults(l.source)
		due := time.Now().Add(l.r.delay(f))
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
		if !ok || !l.waitDue(c.due) {
			return
		}
		f, ok := l.waitOpen(dir)
		if !ok {
			return
		}
		if dir == Backward && f.Truncate > 0 && sent+int64(len(c.data)) >= f.Truncate {
			_, _ = dst.Write(c.data[:max(0, f.Truncate-sent)])
			l.finish()
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

// finish closes both connections so that bytes already sent are delivered.
func (l *link) finish() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}

func (l *link) waitDue(t time.Time) bool {
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

// waitOpen waits until dir is not frozen and returns the current faults.
func (l *link) waitOpen(dir Direction) (Faults, bool) {
	for {
		f, changed := l.r.faults(l.source)
		if !f.Freeze.covers(dir) {
			return f, true
		}
		select {
		case <-changed:
		case <-l.closed:
			return f, false
		}
	}
}
