package trial

import (
	"context"
	"errors"
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 20 * time.Millisecond

// Operator returns a client of the operator API of n.
func (n *Node) Operator() *client.Client {
	return client.New(client.Config{Node: n.Addrs().Operator, Token: Token, Timeout: 5 * time.Second})
}

// RunningNodes returns the nodes whose process is running.
func (m *Mesh) RunningNodes() []*Node {
	var ns []*Node
	for _, n := range m.Nodes {
		if p := n.Process(); p != nil && !p.Ended() {
			ns = append(ns, n)
		}
	}
	return ns
}

// Poll calls f until it returns nil. If ctx ends first, the error includes the
// last error of f.
func Poll(ctx context.Context, f func(context.Context) error) error {
	for {
		err := f(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last error: %w", ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}

// WaitVersion waits until every running node is ready and serves version v or
// newer.
func (m *Mesh) WaitVersion(ctx context.Context, v mesh.Version) error {
	return Poll(ctx, func(ctx context.Context) error {
		var errs []error
		for _, n := range m.RunningNodes() {
			st, err := n.Operator().Status(ctx, 0)
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", n.Name, err))
			} else if st.Version < v || !st.Ready {
				errs = append(errs, fmt.Errorf("%s: version %d, ready %t", n.Name, st.Version, st.Ready))
			}
		}
		return errors.Join(errs...)
	})
}

// WaitEndpoints waits until every running node reports exactly count endpoints
// that are alive and in state ready.
func (m *Mesh) WaitEndpoints(ctx context.Context, count int) error {
	return Poll(ctx, func(ctx context.Context) error {
		var errs []error
		for _, n := range m.RunningNodes() {
			st, err := n.Operator().Status(ctx, 0)
			if err != nil {
				errs = append(errs, fmt.Errorf("%s: %w", n.Name, err))
				continue
			}
			ready := 0
			for _, e := range st.Endpoints {
				if e.State == "ready" && e.Status == "alive" {
					ready++
				}
			}
			if ready != count {
				errs = append(errs, fmt.Errorf("%s sees %d ready endpoints, want %d", n.Name, ready, count))
			}
		}
		return errors.Join(errs...)
	})
}

// CheckInvariants returns an error if a running node has counted a violation of
// an invariant.
func (m *Mesh) CheckInvariants(ctx context.Context) error {
	var errs []error
	for _, n := range m.RunningNodes() {
		vars, err := n.Vars(ctx)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", n.Name, err))
			continue
		}
		broken, _ := vars["invariant_broken"].(map[string]any)
		for name, count := range broken {
			if count != 0.0 {
				errs = append(errs, fmt.Errorf("%s: invariant_broken %s = %v", n.Name, name, count))
			}
		}
	}
	return errors.Join(errs...)
}
