package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// receive reads datagrams until the socket is closed.
func (p *Peer) receive(ctx context.Context) error {
	b := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := p.cfg.Packet.ReadFrom(b)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// Linux reports an earlier datagram that could not be delivered as
			// an error of the socket, which remains usable.
			p.stats.refused.Add("read", 1)
			if err := wait.For(ctx, time.Millisecond); err != nil {
				return err
			}
			continue
		}
		p.handleDatagram(time.Now(), mesh.Addr(from.String()), b[:n])
	}
}

// handleDatagram processes one received datagram.
func (p *Peer) handleDatagram(now time.Time, from mesh.Addr, b []byte) {
	m, err := p.codec.decode(now, b)
	if err != nil {
		p.stats.refused.Add(datagramReason(err), 1)
		return
	}
	p.stats.bytesReceived.Add(m.Kind.String(), int64(len(b)))
	p.stats.received.Add(m.Kind.String(), 1)
	p.mu.Lock()
	next := p.list.NextTick()
	out := p.list.Receive(now, from, m)
	sooner := p.list.NextTick().Before(next)
	changed := p.list.ChangeCount() != p.notifiedChangeCount
	sender, known := p.list.Lookup(m.From)
	p.mu.Unlock()
	p.sendDatagrams(out)
	if sooner {
		signal(p.wakeTick)
	}
	if changed {
		signal(p.membersChanged)
	}
	if !known {
		// A node that starts while the platform does not answer finds the mesh
		// through the members that remember its address and probe it.
		select {
		case p.unknownSenders <- from:
		default: // another one is queued
		}
	}
	if known {
		p.observeVersion(now, sender, m.Version)
	}
}

func datagramReason(err error) string {
	switch {
	case errors.Is(err, errWrongTag):
		return "tag"
	case errors.Is(err, errOutsideWindow):
		return "time"
	}
	return "malformed"
}

// tick calls Tick of the member list when it is due.
func (p *Peer) tick(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.wakeTick:
		case <-t.C:
			p.tickOnce(time.Now())
		}
		p.mu.Lock()
		next := p.list.NextTick()
		p.mu.Unlock()
		p.tickDue.Store(&next)
		t.Reset(time.Until(next))
	}
}

func (p *Peer) tickOnce(now time.Time) {
	p.mu.Lock()
	pauses := p.list.Counts().Pauses
	out := p.list.Tick(now)
	paused := p.list.Counts().Pauses != pauses
	changed := p.list.ChangeCount() != p.notifiedChangeCount
	p.mu.Unlock()
	p.sendDatagrams(out)
	if changed {
		signal(p.membersChanged)
	}
	if paused {
		p.log.Warn("process was paused; checking for newer versions")
		p.readinessMu.Lock()
		p.readiness.ObservePause(now)
		p.readinessMu.Unlock()
		signal(p.readHeadNow)
		signal(p.syncNow)
	}
}

// sendDatagrams sends ds. A datagram that cannot be sent counts as lost.
func (p *Peer) sendDatagrams(ds []member.Datagram) {
	for _, d := range ds {
		b, err := p.codec.encode(time.Now(), d.Message)
		if err != nil {
			p.log.Error("cannot encode datagram", zap.Error(err))
			continue
		}
		to, err := netip.ParseAddrPort(string(d.To))
		if err != nil {
			p.stats.refused.Add("address", 1)
			continue
		}
		if _, err := p.cfg.Packet.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
			p.stats.refused.Add("write", 1)
			continue
		}
		p.stats.bytesSent.Add(d.Message.Kind.String(), int64(len(b)))
		p.stats.sent.Add(d.Message.Kind.String(), 1)
	}
}
