package hosted

import (
	"cmp"
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
	if b.Service != n.nodeSettings.Load().Service {
		n.refreshSettings() // the VM may have a backend server of another service now
	}
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
		if previous.replaced == (platform.BackendStart{Instance: b.Instance, Born: b.Born}) {
			n.requestRecheck() // shows whether the replaced instance is there again
		}
		return nil
	}
	n.rollouts.serverSeen(b.Instance, b.Born, b.Version, true)
	announce := func() error { return n.announce(b.Instance, b.Slots, b.Draining, b.WarmupLeft) }
	switch {
	case status == heartbeatNewStart && previous.id != "" && n.unconfirmed == nil:
		n.gate.Withdraw()
	case status == heartbeatNewStart:
		n.unconfirmed = &unconfirmedStart{reports: reports{healthy: n.healthy == b.Instance}}
	}
	if n.unconfirmed == nil {
		return announce()
	}
	n.unconfirmed.heartbeats++
	n.unconfirmed.announce = announce
	return n.confirm()
}

// acknowledgeHeartbeat processes a heartbeat. It returns nil only if what that
// acknowledges outlasts this process.
func (n *Node) acknowledgeHeartbeat(ctx context.Context, b platform.Heartbeat) error {
	if err := n.handleHeartbeat(b); err != nil {
		return err
	}
	if !b.Draining {
		return nil
	}
	return n.keepDeparture(ctx, b.Instance, b.Born)
}

// acknowledgeLeave processes a leave message. It returns nil only if what that
// acknowledges outlasts this process.
func (n *Node) acknowledgeLeave(ctx context.Context, id mesh.Instance, born int64) error {
	n.handleLeave(id, born)
	return n.keepDeparture(ctx, id, born)
}

// keepDeparture waits until the departure of a start, which must have been recorded, lies
// in the store.
func (n *Node) keepDeparture(ctx context.Context, id mesh.Instance, born int64) error {
	n.mu.Lock()
	d, ok := n.instance.departure(id, born)
	n.mu.Unlock()
	if !ok {
		return fault.Newf(fault.PlatformUnavailable, "the departure of %q was displaced by later ones", id)
	}
	start := time.Now()
	err := n.registration.keep(ctx, d)
	if err != nil {
		n.log.Warn("the departure of the backend server is not acknowledged", zap.String("instance", string(id)),
			zap.Duration("waited", time.Since(start)), zap.Error(err))
	}
	return err
}

// adoptDepartures applies the departures that earlier processes have acknowledged.
func (n *Node) adoptDepartures(starts []platform.BackendStart) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(starts) > 0 {
		n.log.Info("backend servers departed before this process started", zap.Any("starts", starts))
	}
	if n.instance.adoptDepartures(starts) {
		n.pendingAnnounce, n.unconfirmed = nil, nil
		n.gate.Withdraw()
	}
}

// confirmAfterRead announces a start for which no proof was missing but the departures
// that earlier processes have acknowledged.
func (n *Node) confirmAfterRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.confirm(); err != nil {
		n.log.Error("failed to announce the backend server", zap.Error(err))
	}
	if n.instance.id == "" && n.healthy != "" {
		n.requestRecheck() // its answer suffices now
	}
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
	inherited := !set.FirstStart && warmup <= 0 && (n.firstInstance == "" || n.firstInstance == id)
	n.firstInstance = cmp.Or(n.firstInstance, id)
	return n.gate.Announce(backend.Announcement{
		Service: set.Service, Addr: set.Backend, Instance: id,
		Slots: slots, Connections: max(connections, 2*slots), State: state.String(), Warmup: warmup, Inherited: inherited,
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

// requiredProof returns what is needed before the backend server is announced that was
// running before this process. n.mu must be held.
func (n *Node) requiredProof() proof {
	k := startKnowledge{firstStart: n.nodeSettings.Load().FirstStart, waited: time.Since(n.started) >= predecessorTimeout}
	if k.firstStart {
		return k.requiredProof()
	}
	k.rowRead = n.registration.isRead()
	k.rowAttempted, k.joinAttempted = isClosed(n.registration.attempted), isClosed(n.peer.JoinAttempted())
	if m, ok := n.peer.Predecessor(); ok {
		k.predecessorLeaving = m.Endpoint == member.Draining || m.Endpoint == member.NoEndpoint
	}
	return k.requiredProof()
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// confirm announces the unconfirmed start if its reports suffice. n.mu must be held.
func (n *Node) confirm() error {
	u := n.unconfirmed
	if u == nil {
		return nil
	}
	if p := n.requiredProof(); !u.suffice(p) {
		n.log.Info("waiting for more reports of the backend server", zap.String("instance", string(n.instance.id)),
			zap.Stringer("required", p), zap.Int("heartbeats", u.heartbeats), zap.Bool("healthy", u.healthy))
		return nil
	}
	n.unconfirmed, n.healthy = nil, ""
	return u.announce()
}

// findBackend looks for a backend server that was running before this node, so that it
// gets work before its next heartbeat, and checks its health again whenever its address
// seems to have another instance.
func (n *Node) findBackend(ctx context.Context) error {
	if wait.For(ctx, healthCheckDelay) != nil {
		return nil
	}
	if !n.nodeSettings.Load().FirstStart {
		timeout := time.NewTimer(predecessorTimeout)
		defer timeout.Stop()
		for _, c := range []<-chan struct{}{n.peer.JoinAttempted(), n.registration.attempted} {
			select {
			case <-ctx.Done():
				return nil
			case <-timeout.C:
				timeout.Reset(0) // for the other channel
			case <-c:
			}
		}
	}
	n.mu.Lock()
	err := n.confirm()
	p := n.requiredProof()
	n.mu.Unlock()
	if err != nil {
		n.log.Error("failed to announce the backend server", zap.Error(err))
	}
	if n.gate.Status().State == member.NoEndpoint && (p == proofReport || p == proofHealthy) {
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
	id, err := n.askHealth(ctx, set.Backend, path)
	if id != asked {
		// The address may belong to a backend server of another service now, which the answer
		// does not tell.
		n.refreshSettings()
	}
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
	if u := n.unconfirmed; u != nil && id == before {
		u.healthy = true
		if err := n.confirm(); err != nil {
			n.log.Error("failed to announce the backend server", zap.Error(err))
		}
		return
	}
	if p := n.requiredProof(); before == "" && p != proofReport {
		n.healthy = id
		n.log.Info("health check answered; waiting for a heartbeat", zap.String("instance", string(id)), zap.Stringer("required", p))
		return
	}
	if !n.instance.recordHealthCheck(id) {
		return
	}
	if before != "" {
		n.gate.Withdraw()
	}
	n.unconfirmed, n.healthy = nil, "" // of the instance before
	n.rollouts.serverSeen(id, 0, "", false)
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
