package hosted

import (
	"errors"
	"fmt"
	"net"

	"go.uber.org/zap"
)

// listen opens the listeners of the settings, and then the metrics listener. If the
// metrics address is in use, the node serves requests without metrics: the platform
// assigns all other ports anew each day and does not know this one.
func (n *Node) listen(metrics string) error {
	set := n.nodeSettings.Load()
	n.listeners = make(map[string]net.Listener)
	var errs []error
	for name, addr := range map[string]string{
		"caller": set.Caller, "ready": set.Ready, "announce": set.Announce, "peer": set.Peer,
	} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			errs = append(errs, fmt.Errorf("listen on %s: %w", name, err))
			continue
		}
		n.listeners[name] = l
	}
	var err error
	if n.packetConn, err = net.ListenPacket("udp", set.Peer); err != nil {
		errs = append(errs, fmt.Errorf("listen on peer datagrams: %w", err))
	}
	if err := errors.Join(errs...); err != nil {
		n.close()
		return err
	}
	n.limitListeners()
	if metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", metrics)
	if err != nil {
		n.log.Error("failed to listen on the metrics address; metrics are not served", zap.Error(err))
		return nil
	}
	n.listeners["metrics"] = n.limitOther("metrics", l)
	return nil
}

func (n *Node) close() {
	for _, l := range n.listeners {
		l.Close()
	}
	if n.packetConn != nil {
		n.packetConn.Close()
	}
}
