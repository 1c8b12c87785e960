package hosted

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/wait"
)

const (
	// callerDrainTime is the time in which callers notice that the node is not ready and
	// switch to other nodes: two checks, one second apart, and some slack.
	callerDrainTime = 2500 * time.Millisecond
	// gateServeTime is the time for which other nodes still choose the gate as usual.
	gateServeTime = 1200 * time.Millisecond
	// restartRetryAfter is the time after which a refused caller may find the node again:
	// the end of requests in flight and a restart of the process.
	restartRetryAfter = time.Second
	// stopReserve is the part of the grace time that is reserved for leaving the mesh
	// and for the end of the process.
	stopReserve = 800 * time.Millisecond
	// sendMargin is the time before the end of the node at which the last byte of a body
	// is passed on, so that it still reaches its receiver.
	sendMargin = 300 * time.Millisecond
	// leaveTimeout bounds the notification of the other nodes and the store.
	leaveTimeout = 250 * time.Millisecond
)

// stop ends the node without interrupting a request: callers are still served while
// they switch to other nodes, and requests that would outlast the node are refused from
// the start, so that those in flight end within the grace time.
func (n *Node) stop() error {
	n.stopping.Store(true)
	n.source.notifyWaiters() // nodes that follow this one switch to another watcher
	set := n.nodeSettings.Load()
	n.log.Info("node stops", zap.Duration("grace", set.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), set.Grace-stopReserve)
	defer cancel()
	deadline, _ := ctx.Deadline()
	for _, p := range []*hop.Pacer{n.pacer, n.requestPacer} {
		p.StopAt(deadline.Add(-sendMargin))
	}
	n.caller.PrepareStop(deadline)
	n.gate.StopAt(deadline)
	drainTime, serveTime := min(callerDrainTime, set.Grace/2), min(gateServeTime, set.Grace/4)
	noticeCtx, cancelNotices := context.WithCancel(ctx)
	defer cancelNotices()
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		n.caller.LimitPending(noticeCtx)
	}()
	errs := []error{wait.For(ctx, serveTime)}
	// The backend server may keep running. While callers switch to other nodes and
	// their last requests end, its capacity serves requests for which no other endpoint
	// is left.
	n.gate.Yield(deadline)
	errs = append(errs, wait.For(ctx, drainTime-serveTime), n.caller.StopServing(ctx, restartRetryAfter))
	cancelNotices()
	<-notified
	errs = append(errs, n.gate.Drain(ctx))
	if err := errors.Join(errs...); err != nil {
		n.metrics.InvariantBroken("stop_interrupted")
		n.log.Error("requests in flight exceeded the grace time and are interrupted", zap.Error(err))
	}
	n.leave()
	return nil
}

// leave notifies the other nodes and the store that this node leaves.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	n.mu.Lock()
	continues := n.instance.continues()
	departed := !continues && len(n.instance.departed) > 0 // maybe one that this process never knew
	n.mu.Unlock()
	if continues {
		// The gate is draining, but the backend server is not: the next process of this
		// node gives it work again.
		st := n.gate.Status()
		n.peer.SetEndpoint(st.Service, st.Slots, member.Yielding)
	}
	done := make(chan error, 1)
	go func() { done <- n.leaveStore(ctx, departed) }()
	if err := errors.Join(n.peer.Leave(ctx), <-done); err != nil {
		n.log.Info("failed to notify all nodes and the store that this node leaves; probes will detect it", zap.Error(err))
	}
}

// leaveStore removes the row of this node, unless a backend server that has departed still
// runs: the next process must not give it work again.
func (n *Node) leaveStore(ctx context.Context, departed bool) error {
	if departed {
		d := net.Dialer{Timeout: leaveTimeout / 2}
		if c, err := d.DialContext(ctx, "tcp", string(n.nodeSettings.Load().Backend)); err == nil {
			n.log.Info("kept the row of this node for its next process, since the departed backend server still runs")
			return c.Close()
		}
	}
	return n.registration.leave(ctx)
}
