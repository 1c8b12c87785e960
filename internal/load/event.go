package load

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/relay"
	"lavenderrill.dev/lavenderrill/internal/trial"
)

// runEvent begins e at its time after start and ends it after its duration. An
// event without a duration ends with ctx.
func (c *cluster) runEvent(ctx context.Context, e Event, start time.Time) error {
	if !waitUntil(ctx, start.Add(e.At), false) {
		return nil
	}
	nodes := c.Nodes[:max(1, int(float64(len(c.Nodes))*e.Share+0.5))]
	var begin, end func(context.Context) error
	switch e.Action {
	case actionReplace, actionRestart:
		return c.restartNodes(ctx, nodes, e.Action == actionReplace)
	case actionPlatform:
		begin = func(ctx context.Context) error {
			f := inject.Faults{Outage: inject.Outage(e.Outage)}
			return c.Platform.SetFaults(ctx, f, f)
		}
		end = func(ctx context.Context) error {
			return c.Platform.SetFaults(ctx, inject.Faults{}, inject.Faults{})
		}
	case actionServers:
		changed := backend.Behavior{Shed: e.Shed, Load: e.ReportedLoad}
		normal := backend.Behavior{}
		var err error
		if normal.ServiceTime, err = backend.ParseServiceTime(c.experiment.Mesh.ServiceTime); err != nil {
			return err
		}
		changed.ServiceTime = normal.ServiceTime
		if e.ServiceTime != "" {
			if changed.ServiceTime, err = backend.ParseServiceTime(e.ServiceTime); err != nil {
				return err
			}
		}
		begin = func(ctx context.Context) error { return setBehavior(ctx, nodes, changed) }
		end = func(ctx context.Context) error { return setBehavior(ctx, nodes, normal) }
	}
	if err := begin(ctx); err != nil {
		return fmt.Errorf("%s: %w", e.Action, err)
	}
	timeout := make(<-chan time.Time)
	if e.Duration > 0 {
		timeout = time.After(e.Duration)
	}
	select {
	case <-ctx.Done():
	case <-timeout:
	}
	return end(context.WithoutCancel(ctx))
}

func setBehavior(ctx context.Context, nodes []*trial.Node, b backend.Behavior) error {
	for _, n := range nodes {
		s := n.Server()
		if s == nil || !isRunning(s.Process) {
			continue
		}
		if err := s.SetBehavior(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// restartNodes kills all given nodes and then starts them again. If withServers
// is set, it also restarts their backend servers.
func (c *cluster) restartNodes(ctx context.Context, nodes []*trial.Node, withServers bool) error {
	ctx = context.WithoutCancel(ctx)
	kill := func(n *trial.Node) error {
		if withServers {
			return n.KillWithServer()
		}
		return n.Process().Kill()
	}
	var g errgroup.Group
	for _, n := range nodes {
		g.Go(func() error { return kill(n) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	g = errgroup.Group{}
	for _, n := range nodes {
		g.Go(func() error {
			if err := n.Start(ctx); err != nil {
				return err
			}
			if withServers && n.Spec.Service != "" {
				return n.StartServer(ctx)
			}
			return nil
		})
	}
	return g.Wait()
}

// lossFaults returns relay faults that drop the given share of datagrams.
func lossFaults(loss float64) relay.Faults { return relay.Faults{Loss: loss} }
