package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"
)

// maxDatagramBytes is the largest datagram forwarded.
const maxDatagramBytes = 64 << 10

// flowIdleTimeout is the time without a response after which the socket of a
// client is closed.
const flowIdleTimeout = time.Minute

// flow is the socket that carries the datagrams of one client to the target.
type flow struct {
	source string
	conn   *net.UDPConn
}

func (r *Relay) readDatagrams(ctx context.Context, g *errgroup.Group) error {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, client, err := r.udpConn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("relay read: %w", err)
		}
		f, err := r.flowFor(ctx, g, client)
		if err != nil {
			return err
		}
		if f != nil {
			r.forwardDatagram(f, Forward, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = f.conn.Write(b) })
		}
	}
}

// flowFor returns the flow of client and creates it if needed. It returns nil if
// the relay is stopping or has no target.
func (r *Relay) flowFor(ctx context.Context, g *errgroup.Group, client *net.UDPAddr) (*flow, error) {
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
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		_ = f.conn.SetReadDeadline(time.Now().Add(flowIdleTimeout))
		n, err := f.conn.Read(buf)
		var ne net.Error
		if errors.Is(err, net.ErrClosed) || errors.As(err, &ne) && ne.Timeout() {
			return
		}
		if err != nil {
			continue // the port of the target is closed; its datagrams are lost
		}
		r.forwardDatagram(f, Backward, append([]byte(nil), buf[:n]...), func(b []byte) { _, _ = r.udpConn.WriteToUDP(b, client) })
	}
}

// forwardDatagram sends data, or drops or delays it according to the faults of
// the source of f.
func (r *Relay) forwardDatagram(f *flow, dir Direction, data []byte, send func([]byte)) {
	r.datagrams.Add(1)
	faults, _ := r.sourceFaults(f.source)
	if faults.Cut || faults.Freeze.includes(dir) || faults.Loss > 0 && r.randFloat() < faults.Loss {
		r.lost.Add(1)
		return
	}
	d := r.randomDelay(faults)
	if faults.Reorder > 0 && r.randFloat() < faults.Reorder {
		d += time.Duration(faults.ReorderDelay)
	}
	if d <= 0 {
		send(data)
		return
	}
	time.AfterFunc(d, func() { send(data) })
}
