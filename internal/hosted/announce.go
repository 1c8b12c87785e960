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

// beat takes in a heartbeat of the backend server.
func (n *Node) beat(b platform.Heartbeat) error {
	set := n.set.Load()
	if b.Service != set.Service {
		n.log.Warn("heartbeat of another service is refused", zap.String("service", string(b.Service)))
		return fmt.Errorf("this VM runs service %q, not %q", set.Service, b.Service)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	was := n.instance
	v := n.instance.beat(b)
	if v == stale {
		n.log.Info("late heartbeat is ignored", zap.String("instance", string(b.Instance)),
			zap.Int64("sequence", b.Sequence), zap.Int64("born", b.Born), zap.Int64("known", was.sequence))
		return nil
	}
	if v == started && was.id != "" {
		n.gate.Withdraw()
	}
	return n.announce(b.Instance, b.Slots, b.Draining, b.WarmupLeft)
}

// announce passes the state of the backend server to the gate. Without a
// configuration the gate could admit nothing, so the announcement waits for one.
// The lock must be held.
func (n *Node) announce(id mesh.Instance, slots int, draining bool, warmup time.Duration) error {
	if n.config.Load() == nil {
		until := time.Now().Add(warmup)
		n.awaiting = func() error { return n.announce(id, slots, draining, time.Until(until)) }
		return nil
	}
	set := n.set.Load()
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

// gone takes in that an instance of the backend server has left.
func (n *Node) gone(id mesh.Instance, born int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.instance.leave(id, born) {
		n.awaiting = nil
		n.gate.Withdraw()
		n.log.Info("backend server left", zap.String("instance", string(id)))
	}
}

const (
	// guessedSlots are assumed for a backend server that was found by its health
	// check, until its first heartbeat tells the number.
	guessedSlots = 8
	healthPath   = "/healthz" // before a configuration names the path
	healthWait   = 100 * time.Millisecond
	healthTime   = time.Second
)

// findBackend looks for a backend server that was running before this node, so
// that it gets work before its next heartbeat, and again whenever its address
// seems to have another instance.
func (n *Node) findBackend(ctx context.Context) error {
	if wait.For(ctx, healthWait) != nil {
		return nil
	}
	n.mu.Lock()
	known := n.instance.id != ""
	n.mu.Unlock()
	if !known {
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

// checkHealth asks the backend server for its health and announces an instance that
// is not known. The same instance changes nothing: the request that had it looked at
// was meant for the one before.
func (n *Node) checkHealth(ctx context.Context) {
	set := n.set.Load()
	path := healthPath
	if c := n.config.Load(); c != nil && c.HealthPaths[set.Service] != "" {
		path = c.HealthPaths[set.Service]
	}
	ctx, cancel := context.WithTimeout(ctx, healthTime)
	defer cancel()
	id, err := platform.CheckHealth(ctx, set.Backend, path)
	if err != nil {
		n.log.Info("no healthy backend server found; its heartbeat is awaited", zap.Error(err))
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.instance.id
	if !n.instance.found(id) {
		return
	}
	if before != "" {
		n.gate.Withdraw()
	}
	n.log.Info("backend server found by its health check", zap.String("instance", string(id)), zap.String("before", string(before)))
	if err := n.announce(id, guessedSlots, false, 0); err != nil {
		n.log.Error("backend server cannot be announced", zap.Error(err))
	}
}

// response translates a response of the backend server. One that shows another
// instance at the address has the backend server looked at again.
func (n *Node) response(r *http.Response) *fault.Error {
	e := platform.TranslateResponse(r)
	if r.StatusCode == http.StatusMisdirectedRequest {
		select {
		case n.recheck <- struct{}{}:
		default:
		}
	}
	return e
}
