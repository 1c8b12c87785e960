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

// happen runs e at its time after start and ends it after its length. An
// event that has no length ends with ctx.
func (c *cluster) happen(ctx context.Context, e Event, start time.Time) error {
	if !waitUntil(ctx, start.Add(e.At), false) {
		return nil
	}
	nodes := c.Nodes[:max(1, int(float64(len(c.Nodes))*e.Share+0.5))]
	var begin, end func(context.Context) error
	switch e.Action {
	case doReplace, doRestart:
		return c.startAgain(ctx, nodes, e.Action == doReplace)
	case doPlatform:
		begin = func(ctx context.Context) error {
			f := inject.Faults{Outage: inject.Outage(e.Outage)}
			return c.Platform.SetFaults(ctx, f, f)
		}
		end = func(ctx context.Context) error {
			return c.Platform.SetFaults(ctx, inject.Faults{}, inject.Faults{})
		}
	case doServers:
		changed := backend.Behavior{Shed: e.Shed, Load: e.ReportedLoad}
		normal := backend.Behavior{}
		var err error
		if normal.Time, err = backend.ParseTime(c.x.Mesh.ServiceTime); err != nil {
			return err
		}
		changed.Time = normal.Time
		if e.ServiceTime != "" {
			if changed.Time, err = backend.ParseTime(e.ServiceTime); err != nil {
				return err
			}
		}
		begin = func(ctx context.Context) error { return behave(ctx, nodes, changed) }
		end = func(ctx context.Context) error { return behave(ctx, nodes, normal) }
	}
	if err := begin(ctx); err != nil {
		return fmt.Errorf("%s: %w", e.Action, err)
	}
	wait := make(<-chan time.Time)
	if e.Duration > 0 {
		wait = time.After(e.Duration)
	}
	select {
	case <-ctx.Done():
	case <-wait:
	}
	return end(context.WithoutCancel(ctx))
}

func behave(ctx context.Context, nodes []*trial.Node, b backend.Behavior) error {
	for _, n := range nodes {
		s := n.Server()
		if s == nil || !running(s.Process) {
			continue
		}
		if err := s.SetBehavior(ctx, b); err != nil {
			return err
		}
	}
	return nil
}

// startAgain kills nodes, all before the first starts again. With servers,
// their backend servers are killed and started too.
func (c *cluster) startAgain(ctx context.Context, nodes []*trial.Node, servers bool) error {
	ctx = context.WithoutCancel(ctx)
	kill := func(n *trial.Node) error {
		if servers {
			return n.KillBoth()
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
			if servers && n.Spec.Service != "" {
				return n.StartServer(ctx)
			}
			return nil
		})
	}
	return g.Wait()
}

// faults returns the faults of a network that loses a share of datagrams.
func faults(loss float64) relay.Faults { return relay.Faults{Lose: loss} }
