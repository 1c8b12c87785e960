package hosted

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// handleHeartbeat processes a heartbeat of the backend server and announces its state
// to the gate unless the heartbeat is stale.
func (n *Node) handleHeartbeat(b platform.Heartbeat) error {
	set := n.nodeSettings.Load()
	if b.Service != set.Service {
		n.log.Warn("refused heartbeat of another service", zap.String("service", string(b.Service)))
		return fmt.Errorf("this VM runs service %q, not %q", set.Service, b.Service)
	}
	if b.Addr != set.Backend {
		n.log.Warn("refused heartbeat of another address", zap.String("addr", string(b.Addr)))
		return fmt.Errorf("the backend server of this VM has address %s, not %s", set.Backend, b.Addr)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.instance
	status := n.instance.recordHeartbeat(b)
	if status == heartbeatStale {
		n.log.Info("ignored late heartbeat", zap.String("instance", string(b.Instance)),
			zap.Int64("sequence", b.Sequence), zap.Int64("born", b.Born), zap.Int64("known", previous.sequence))
		if previous.replaced == (backendStart{b.Instance, b.Born}) {
			n.requestRecheck() // shows whether the replaced instance is there again
		}
		return nil
	}
	if status == heartbeatNewStart && previous.id != "" {
		n.gate.Withdraw()
	}
	if status == heartbeatNewStart && previous.id == "" && !n.trustsFirstReport() {
		// The heartbeat may be a late one of a backend server that has left. The next one
		// shows that it lives.
		n.log.Info("waiting for a second report of the backend server", zap.String("instance", string(b.Instance)))
		n.unconfirmed = func() error { return n.announce(b.Instance, b.Slots, b.Draining, b.WarmupLeft) }
		return nil
	}
	n.unconfirmed = nil
	return n.announce(b.Instance, b.Slots, b.Draining, b.WarmupLeft)
}

// announce passes the state of the backend server to the gate. Without a configuration
// the gate cannot admit requests, so the announcement is deferred until one is applied.
// n.mu must be held.
func (n *Node) announce(id mesh.Instance, slots int, draining bool, warmup time.Duration) error {
	if n.config.Load() == nil {
		warmupEnd := time.Now().Add(warmup)
		n.pendingAnnounce = func() error { return n.announce(id, slots, draining, time.Until(warmupEnd)) }
		return nil
	}
	set := n.nodeSettings.Load()
	state := member.Ready
	if draining {
		state = member.Draining
	}
	connections := 0
	if s := n.snapshot(); s != nil {
		connections = s.Services[set.Service].Connections
	}
	return n.gate.Announce(backend.Announcement{
		Service: set.Service, Addr: set.Backend, Instance: id,
		Slots: slots, Connections: max(connections, 2*slots), State: state.String(), Warmup: warmup,
	})
}

// handleLeave records that an instance has left, and withdraws the backend server if it is
// the current one.
func (n *Node) handleLeave(id mesh.Instance, born int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leftDuringCheck != nil {
		n.leftDuringCheck[id] = struct{}{}
	}
	known := n.instance.recordLeave(id, born, time.Now())
	if known {
		n.pendingAnnounce, n.unconfirmed = nil, nil
		n.gate.Withdraw()
	}
	n.log.Info("backend server left", zap.String("instance", string(id)), zap.Int64("born", born), zap.Bool("known", known))
}

const (
	// defaultSlots is assumed for a backend server that was found by its health check,
	// until its first heartbeat reports the number.
	defaultSlots       = 8
	defaultHealthPath  = "/healthz" // until a configuration sets the path
	healthCheckDelay   = 100 * time.Millisecond
	healthCheckTimeout = time.Second
	// predecessorTimeout bounds the wait for the first attempt to join, which shows the
	// state that the predecessor of this process has left.
	predecessorTimeout = 2 * time.Second
)

// trustsFirstReport reports whether the first heartbeat or health check after the start
// may be believed. A backend server that was leaving when the predecessor of this
// process ended gets no work because of a late heartbeat or a wrong health check.
// Before the first attempt to join, the state that the predecessor left is not known.
func (n *Node) trustsFirstReport() bool {
	if n.nodeSettings.Load().FirstStart {
		return true
	}
	select {
	case <-n.peer.JoinAttempted():
	default:
		if time.Since(n.started) < predecessorTimeout {
			return false
		}
	}
	m, ok := n.peer.Predecessor()
	return !ok || m.Endpoint != member.Draining && m.Endpoint != member.NoEndpoint
}

// findBackend checks the health of a backend server that was running before this node,
// so that it gets work before its next heartbeat, and checks again whenever its address
// seems to have another instance.
func (n *Node) findBackend(ctx context.Context) error {
	if wait.For(ctx, healthCheckDelay) != nil {
		return nil
	}
	if !n.nodeSettings.Load().FirstStart {
		timeout := time.NewTimer(predecessorTimeout)
		defer timeout.Stop()
		select {
		case <-ctx.Done():
			return nil
		case <-timeout.C:
		case <-n.peer.JoinAttempted():
		}
	}
	if n.gate.Status().State == member.NoEndpoint && n.trustsFirstReport() {
		n.checkHealth(ctx)
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.recheck:
			n.checkHealth(ctx)
		}
	}
}

// checkHealth runs a health check and announces the instance if it is not the current
// one. The current instance stays as it is: the request that triggered the check was
// meant for an earlier instance.
func (n *Node) checkHealth(ctx context.Context) {
	set := n.nodeSettings.Load()
	path := defaultHealthPath
	if c := n.config.Load(); c != nil && c.HealthPaths[set.Service] != "" {
		path = c.HealthPaths[set.Service]
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	n.mu.Lock()
	asked := n.instance.id
	n.leftDuringCheck = make(map[mesh.Instance]struct{})
	n.mu.Unlock()
	id, err := platform.CheckHealth(ctx, set.Backend, path)
	n.mu.Lock()
	defer n.mu.Unlock()
	_, left := n.leftDuringCheck[id]
	n.leftDuringCheck = nil
	if err != nil {
		n.log.Info("health check of the backend server failed; waiting for its heartbeat", zap.Error(err))
		return
	}
	before := n.instance.id
	if left || before != asked && before != id {
		// The instance may have answered before it left or was replaced.
		n.log.Info("ignored the answer to a health check that a later report overtook",
			zap.String("instance", string(id)), zap.String("known", string(before)), zap.Bool("left", left))
		return
	}
	if f := n.unconfirmed; f != nil && id == before {
		n.unconfirmed = nil
		if err := f(); err != nil {
			n.log.Error("failed to announce the backend server", zap.Error(err))
		}
		return
	}
	if !n.instance.recordHealthCheck(id) {
		return
	}
	if before != "" {
		n.gate.Withdraw()
	}
	n.log.Info("backend server found by its health check", zap.String("instance", string(id)), zap.String("before", string(before)))
	if err := n.announce(id, defaultSlots, false, 0); err != nil {
		n.log.Error("failed to announce the backend server", zap.Error(err))
	}
}

// responseRefusal returns the refusal that replaces a response of the backend server. A
// response that shows another instance at the address triggers a health check.
func (n *Node) responseRefusal(r *http.Response) *fault.Error {
	if r.StatusCode == http.StatusMisdirectedRequest {
		n.requestRecheck()
	}
	return platform.ResponseRefusal(r)
}

// requestRecheck requests a health check, unless one is already requested.
func (n *Node) requestRecheck() {
	select {
	case n.recheck <- struct{}{}:
	default:
	}
}
