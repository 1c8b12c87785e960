package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxDatagram is the largest datagram forwarded, in bytes.
const maxDatagram = 64 << 10

// flowTimeout is how long a client's socket is kept without a response.
const flowTimeout = time.Minute

// flow is the socket that carries the datagrams of one client to the target.
type flow struct {
	source string
	conn   *net.UDPConn
}

func (r *Relay) readDatagrams(ctx context.Context, g *errgroup.Group) error {
	buf := make([]byte, maxDatagram)
	for {
		n, client, err := r.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("relay read: %w", err)
		}
		f, err := r.flow(ctx, g, client)
		if err != nil {
			return err
		}
		if f != nil {
			r.pass(f, Forward, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = f.conn.Write(b) })
		}
	}
}

// flow returns the flow of client and creates it if needed, or nil if the
// relay stops or has no target.
func (r *Relay) flow(ctx context.Context, g *errgroup.Group, client *net.UDPAddr) (*flow, error) {
	key := client.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[key]; f != nil {
		return f, nil
	}
	if ctx.Err() != nil || r.target == nil {
		return nil, nil
	}
	c, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, fmt.Errorf("relay dial: %w", err)
	}
	f := &flow{source: r.cfg.Source(client), conn: c}
	r.flows[key] = f
	g.Go(func() error {
		r.readResponses(ctx, f, client)
		r.mu.Lock()
		if r.flows[key] == f {
			delete(r.flows, key)
		}
		r.mu.Unlock()
		_ = c.Close()
		return nil
	})
	return f, nil
}

func (r *Relay) readResponses(ctx context.Context, f *flow, client *net.UDPAddr) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		_ = f.conn.SetReadDeadline(time.Now().Add(flowTimeout))
		n, err := f.conn.Read(buf)
		var ne net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &ne) && ne.Timeout() {
			return
		}
		if err != nil {
			continue // the target's port is closed; datagrams are lost meanwhile
		}
		r.pass(f, Backward, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = r.udp.WriteToUDP(b, client) })
	}
}

// pass sends b under the faults of f.
func (r *Relay) pass(f *flow, dir Direction, b []byte, send func([]byte)) {
	r.datagrams.Add(1)
	fs, _ := r.faults(f.source)
	if fs.Cut || fs.Freeze.covers(dir) || fs.Loss > 0 && r.draw() < fs.Loss {
		r.lost.Add(1)
		return
	}
	d := r.delay(fs)
	if fs.Reorder > 0 && r.draw() < fs.Reorder {
		d += time.Duration(fs.ReorderDelay)
	}
	if d <= 0 {
		send(b)
		return
	}
	time.AfterFunc(d, func() { send(b) })
}
