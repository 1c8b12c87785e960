package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/caller"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/dynamo"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/internal/operator"
	"lavenderrill.dev/lavenderrill/internal/peer"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/task"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = time.Minute
	// leaveTimeout bounds the time in which the node notifies the other nodes of its
	// stop and deletes its row from the table.
	leaveTimeout = 2 * time.Second
)

// Node is one node of the mesh.
type Node struct {
	nodeSettings settings.Node
	id           mesh.NodeID
	log          *zap.Logger
	metrics      *metric.Registry
	sockets      *listeners
	platform     *dynamo.Client
	peer         *peer.Peer
	gate         *backend.Gate
	caller       *caller.Caller
	operator     *operator.Server
	stopping     atomic.Bool
}

// New checks s, opens the listeners and builds the components of a node. The
// caller must call Run, which closes the listeners.
func New(s settings.Node, log *zap.Logger) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	sockets, err := listen(s)
	if err != nil {
		return nil, err
	}
	n := &Node{
		nodeSettings: s,
		id:           mesh.NodeID(s.ID),
		log:          log.With(zap.String("node", s.ID)),
		metrics:      metric.New(),
		sockets:      sockets,
	}
	if err := n.build(); err != nil {
		sockets.close()
		return nil, err
	}
	return n, nil
}

// Addrs returns the addresses on which the node listens.
func (n *Node) Addrs() Addrs { return n.sockets.addrs(string(n.id)) }

// Ready reports whether the node serves callers with the newest known version.
func (n *Node) Ready() bool { return n.peer.Ready() && !n.stopping.Load() }

func (n *Node) build() error {
	n.platform = dynamo.New(dynamo.Config{
		Table:     n.nodeSettings.Table,
		Bucket:    n.nodeSettings.Bucket,
		Region:    n.nodeSettings.Region,
		TableURL:  n.nodeSettings.TableURL,
		ObjectURL: n.nodeSettings.ObjectURL,
		AccessKey: n.nodeSettings.AccessKey,
		SecretKey: n.nodeSettings.SecretKey,
		Timeout:   n.nodeSettings.PlatformTimeout,
		Metrics:   n.metrics,
	})
	n.gate = n.newGate()
	var err error
	if n.peer, err = n.newPeer(); err != nil {
		return fmt.Errorf("build peer: %w", err)
	}
	n.caller = caller.New(caller.Config{
		ID:           n.id,
		Zone:         mesh.AvailabilityZone(n.nodeSettings.Zone),
		Snapshot:     n.peer.Snapshot,
		HopToken:     peer.HopToken([]byte(n.nodeSettings.Key)),
		RequestQuota: n.peer.RequestQuota,
		Ready:        n.Ready,
		Metrics:      n.metrics,
		Log:          n.log,
	})
	n.operator = n.newOperator()
	return nil
}

func (n *Node) newGate() *backend.Gate {
	return backend.New(backend.Config{
		ID: n.id,
		// The gate is built before the peer, so these functions read n.peer when
		// they are called.
		Snapshot:         func() *config.Snapshot { return n.peer.Snapshot() },
		OnEndpointChange: func(s mesh.Service, slots int, e member.EndpointState) { n.peer.SetEndpoint(s, slots, e) },
		Claim: func(ctx context.Context, key, owner string, ttl time.Duration) (backend.ClaimResult, error) {
			r, err := n.platform.Claim(ctx, key, owner, ttl)
			return backend.ClaimResult{Acquired: r.Granted, Owner: r.Owner}, err
		},
		ReleaseClaim: n.platform.ReleaseClaim,
		Metrics:      n.metrics,
		Log:          n.log,
	})
}

func (n *Node) newPeer() (*peer.Peer, error) {
	join := make([]mesh.Addr, 0, len(n.nodeSettings.Join))
	for _, a := range n.nodeSettings.Join {
		join = append(join, mesh.Addr(a))
	}
	return peer.New(peer.Config{
		Self:     member.Member{ID: n.id, Zone: mesh.AvailabilityZone(n.nodeSettings.Zone), Addr: n.advertisedAddr()},
		Key:      []byte(n.nodeSettings.Key),
		Join:     join,
		Listener: n.sockets.peer,
		Packet:   n.sockets.packet,
		Gate:     n.gate.HopHandler(),
		Platform: n.source(),
		OnSnapshot: func(s *config.Snapshot) {
			n.caller.Apply(s)
			n.platform.SetClaimRate(claimShare(s, n.peer.Members()))
		},
		OnMembers: func(ms []member.Member) {
			n.caller.SetMembers(ms)
			n.platform.SetClaimRate(claimShare(n.peer.Snapshot(), ms))
		},
		Metrics: n.metrics,
		Log:     n.log,
	})
}

func (n *Node) advertisedAddr() mesh.Addr {
	if n.nodeSettings.Advertise != "" {
		return mesh.Addr(n.nodeSettings.Advertise)
	}
	return mesh.Addr(n.sockets.peer.Addr().String())
}

// Run serves until ctx is done, then stops gracefully: requests in flight can finish
// within the drain time. It ends early if a component ends, and returns the errors of
// all components.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info("node started", zap.Any("listen", n.Addrs()), zap.String("zone", n.nodeSettings.Zone))
	err := task.Run(ctx, n.components(), n.stop)
	n.log.Info("node stopped", zap.Error(err))
	return err
}

func (n *Node) components() []task.Component {
	backendServer := newHTTPServer(n.gate.AnnouncementHandler())
	operatorServer := newHTTPServer(n.operator.Handler())
	return []task.Component{
		{Name: "peer", Run: n.peer.Run},
		{Name: "gate", Run: n.gate.Run},
		{Name: "caller", Run: n.caller.Run},
		{Name: "caller listener", Run: func(context.Context) error { return task.IgnoreServerClosed(n.caller.Server().Serve(n.sockets.caller)) }},
		{Name: "backend listener", Run: func(ctx context.Context) error {
			return task.Serve(ctx, backendServer, n.sockets.backend, leaveTimeout)
		}},
		{Name: "operator listener", Run: func(ctx context.Context) error {
			return task.Serve(ctx, operatorServer, n.sockets.operator, leaveTimeout)
		}},
		{Name: "registration", Run: n.register},
	}
}

// stop drains the caller listener and the gate, then leaves the mesh. The gate
// keeps refusing requests of nodes that do not know of the stop yet.
func (n *Node) stop() error {
	n.stopping.Store(true)
	n.log.Info("node stops", zap.Duration("drain", n.nodeSettings.Drain))
	ctx, cancel := context.WithTimeout(context.Background(), n.nodeSettings.Drain)
	defer cancel()
	drained := make(chan error)
	go func() { drained <- n.gate.Drain(ctx) }()
	err := errors.Join(n.caller.Drain(ctx), <-drained)
	if err != nil {
		n.metrics.InvariantBroken("stop_interrupted")
		n.log.Error("requests in flight exceeded the drain time and are interrupted", zap.Error(err))
	}
	return errors.Join(err, n.leave())
}

func (n *Node) leave() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	err := n.peer.Leave(ctx)
	if deleteErr := n.platform.DeleteNode(ctx, n.id); deleteErr != nil {
		n.log.Info("failed to delete the row of this node; it stays in the table", zap.Error(deleteErr))
	}
	return err
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout}
}
