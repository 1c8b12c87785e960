package hosted

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// moveTime is the time in which callers notice that the node is not ready
	// and move to other nodes: two checks, one second apart, and some slack.
	moveTime = 2500 * time.Millisecond
	// gateTime is the time for which the gate goes on taking requests like any
	// other.
	gateTime = 1200 * time.Millisecond
	// restartTime is the time after which a refused caller may find the node
	// again: the end of what is in flight and a start of the process.
	restartTime = time.Second
	// stopSlack is the part of the grace time that is left for leaving the mesh
	// and for the end of the process.
	stopSlack = 800 * time.Millisecond
	// leaveTime bounds the farewell to the other nodes and the store.
	leaveTime = 250 * time.Millisecond
)

// stop ends the node without cutting a request: callers go on being served while
// they move to other nodes, the gate takes nothing new, and requests in flight
// end within the grace time.
func (n *Node) stop() error {
	n.stopping.Store(true)
	n.pacer.RemoveLimit()
	n.source.wake() // nodes that follow this one turn to another watcher
	set := n.set.Load()
	n.log.Info("node stops", zap.Duration("grace", set.Grace))
	ctx, cancel := context.WithTimeout(context.Background(), set.Grace-stopSlack)
	defer cancel()
	end, _ := ctx.Deadline()
	n.caller.PrepareStop(end)
	move, gate := min(moveTime, set.Grace/2), min(gateTime, set.Grace/4)
	errs := []error{wait.For(ctx, gate)}
	// The backend server may go on running. Its capacity is used while callers
	// move and their last requests end, by requests that end in time.
	n.gate.Yield(end)
	errs = append(errs, wait.For(ctx, move-gate), n.caller.StopServing(ctx, restartTime), n.gate.Drain(ctx))
	if err := errors.Join(errs...); err != nil {
		n.metrics.InvariantBroken("stop_interrupted")
		n.log.Error("requests in flight outlast the grace time and are interrupted", zap.Error(err))
	}
	n.leave()
	return nil
}

// leave tells the other nodes and the store that this node is gone.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.store.RemoveNode(ctx, mesh.Addr(n.set.Load().Peer)) }()
	if err := errors.Join(n.peer.Leave(ctx), <-done); err != nil {
		n.log.Info("not all learn that this node leaves; they find out by themselves", zap.Error(err))
	}
}
