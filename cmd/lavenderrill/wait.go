package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// acceptAttempts bounds how often a lost response of accept is asked for
	// again with the same change id.
	acceptAttempts = 3
	acceptPause    = 500 * time.Millisecond
	waitPause      = 100 * time.Millisecond
	// uncountedWait is the longest wait for nodes that are registered with the
	// platform and not yet members. Nodes join within a few seconds of their start;
	// the rows of nodes that are gone without a farewell stay.
	uncountedWait = 5 * time.Second
	// uncountedPause is the time between two questions for them: each reads the
	// platform.
	uncountedPause = 500 * time.Millisecond
)

// unresolvedError says that a change may or may not have been accepted.
type unresolvedError struct {
	change mesh.ChangeID
	err    error
}

func (e *unresolvedError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown; repeat the command with --change %s: %v", e.change, e.change, e.err)
}

func (e *unresolvedError) Unwrap() error { return e.err }

// resolve calls f and repeats it while its outcome is unknown. This is safe
// because a change id takes effect once.
func resolve(ctx context.Context, id mesh.ChangeID, f func(context.Context) (client.Accepted, error)) (client.Accepted, error) {
	var err error
	for range acceptAttempts {
		var a client.Accepted
		a, err = f(ctx)
		var refused *client.Error
		if err == nil || (errors.As(err, &refused) && refused.Run == string(fault.NotRun)) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return client.Accepted{}, &unresolvedError{id, err}
		case <-time.After(acceptPause):
		}
	}
	return client.Accepted{}, &unresolvedError{id, err}
}

// waiter holds the flags of the commands that make a version.
type waiter struct {
	wait   bool
	change string
}

func (w *waiter) flags(c *kingpin.CmdClause) {
	c.Flag("wait", "Wait until every reachable node serves the version.").BoolVar(&w.wait)
	c.Flag("change", "Change id of an earlier try whose outcome is unknown.").StringVar(&w.change)
}

func (w *waiter) changeID() mesh.ChangeID {
	if w.change != "" {
		return mesh.ChangeID(w.change)
	}
	return newChangeID()
}

func (w *waiter) finish(ctx context.Context, r *remote, cl *client.Client, a client.Accepted) error {
	if !w.wait {
		return r.print(a, func() string { return fmt.Sprintf("accepted as version %d (change %s)\n", a.Version, a.Change) })
	}
	start := time.Now()
	s, err := waitConverged(ctx, cl, a.Version)
	if err != nil {
		return fmt.Errorf("version %d is accepted, but not yet served everywhere: %w", a.Version, err)
	}
	return r.print(s, func() string {
		return servedBy(a.Version, s, time.Since(start))
	})
}

// convergence is the outcome of a wait for a version.
type convergence struct {
	client.Status
	Uncounted []mesh.NodeID `json:"uncounted,omitempty"` // registered with the platform, and no members
}

// servedBy tells which nodes serve v, and which are not counted.
func servedBy(v mesh.Version, c convergence, took time.Duration) string {
	t := fmt.Sprintf("accepted as version %d, served by all %d nodes after %v\n", v, members(c.Status), took.Round(time.Millisecond))
	if n := len(c.Uncounted); n > 0 {
		t += fmt.Sprintf("not counted: %d nodes that are registered with the platform and cannot be reached: %v\n", n, c.Uncounted)
	}
	return t
}

// waitConverged waits until all members serve v, and for a while until all registered
// nodes are members. Progress goes to standard error.
func waitConverged(ctx context.Context, cl *client.Client, v mesh.Version) (convergence, error) {
	begin := time.Now()
	for {
		s, err := waitMembers(ctx, cl, v)
		if err != nil {
			return convergence{Status: s}, err
		}
		ids, err := cl.Uncounted(ctx)
		if err != nil {
			fmt.Fprintf(os.Stderr, "the registered nodes are not known, members only are counted: %v\n", err)
			return convergence{Status: s}, nil
		}
		if len(ids) == 0 || time.Since(begin) >= uncountedWait {
			return convergence{s, ids}, nil
		}
		select {
		case <-ctx.Done():
			return convergence{s, ids}, ctx.Err()
		case <-time.After(uncountedPause):
		}
	}
}

// waitMembers asks for the status until all members serve v.
func waitMembers(ctx context.Context, cl *client.Client, v mesh.Version) (client.Status, error) {
	last := -1
	for {
		s, err := cl.Status(ctx, v)
		if err == nil && s.Converged {
			return s, nil
		}
		if n := current(s); err == nil && n != last {
			fmt.Fprintf(os.Stderr, "version %d: %d of %d nodes\n", v, n, members(s))
			last = n
		}
		select {
		case <-ctx.Done():
			return s, errors.Join(ctx.Err(), err)
		case <-time.After(waitPause):
		}
	}
}

func members(s client.Status) int {
	n := 0
	for _, z := range s.Zones {
		n += z.Members
	}
	return n
}

func current(s client.Status) int {
	n := 0
	for _, z := range s.Zones {
		n += z.Current
	}
	return n
}
