package node

import (
	"errors"
	"fmt"
	"net"

	"lavenderrill.dev/lavenderrill/internal/settings"
)

// maxBindAttempts bounds the search for a port that is free for both TCP and UDP.
const maxBindAttempts = 16

// listeners holds the sockets of a node.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	packet   net.PacketConn
	operator net.Listener
	backend  net.Listener
}

// Addrs holds the addresses on which a node listens.
type Addrs struct {
	ID       string `json:"id"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Operator string `json:"operator"`
	Backend  string `json:"backend"`
}

func listen(s settings.Node) (*listeners, error) {
	var l listeners
	var errs []error
	open := func(name, addr string) net.Listener {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", name, err))
		}
		return ln
	}
	l.caller = open("caller", s.Caller)
	l.operator = open("operator", s.Operator)
	l.backend = open("backend", s.Backend)
	var err error
	if l.peer, l.packet, err = listenPeer(s.Peer); err != nil {
		errs = append(errs, err)
	}
	if len(errs) > 0 {
		l.close()
		return nil, errors.Join(errs...)
	}
	return &l, nil
}

// listenPeer binds the same port number for TCP and UDP. If addr has port 0, the
// TCP port that the kernel assigns may be in use for UDP, so several are tried.
func listenPeer(addr string) (net.Listener, net.PacketConn, error) {
	var lastErr error
	for range maxBindAttempts {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, nil, fmt.Errorf("listen on peer: %w", err)
		}
		pc, err := net.ListenPacket("udp", ln.Addr().String())
		if err == nil {
			return ln, pc, nil
		}
		lastErr = err
		_ = ln.Close()
	}
	return nil, nil, fmt.Errorf("listen on peer datagrams: %w", lastErr)
}

func (l *listeners) close() {
	for _, ln := range []net.Listener{l.caller, l.peer, l.operator, l.backend} {
		if ln != nil {
			_ = ln.Close()
		}
	}
	if l.packet != nil {
		_ = l.packet.Close()
	}
}

func (l *listeners) addrs(id string) Addrs {
	return Addrs{
		ID:       id,
		Caller:   l.caller.Addr().String(),
		Peer:     l.peer.Addr().String(),
		Operator: l.operator.Addr().String(),
		Backend:  l.backend.Addr().String(),
	}
}
