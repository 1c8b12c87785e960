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
	// maxAcceptAttempts bounds the attempts of an accept or restore request whose
	// outcome is unknown. All attempts have the same change id.
	maxAcceptAttempts   = 3
	acceptRetryInterval = 500 * time.Millisecond
	statusPollInterval  = 100 * time.Millisecond
	// uncountedTimeout is the longest wait for nodes that are registered with the
	// platform and not yet members. Nodes join within a few seconds of their start;
	// the rows of nodes that ended without deregistering stay.
	uncountedTimeout = 5 * time.Second
	// uncountedPollInterval is the time between two requests for these nodes, each of
	// which reads the platform.
	uncountedPollInterval = 500 * time.Millisecond
)

// unknownOutcomeError reports that a change may or may not have been accepted.
type unknownOutcomeError struct {
	change mesh.ChangeID
	err    error
}

func (e *unknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s is unknown; repeat the command with --change %s: %v", e.change, e.change, e.err)
}

func (e *unknownOutcomeError) Unwrap() error { return e.err }

// retryUnknownOutcome calls f and repeats it while its outcome is unknown. This is
// safe because a change id takes effect once.
func retryUnknownOutcome(ctx context.Context, id mesh.ChangeID, f func(context.Context) (client.Accepted, error)) (client.Accepted, error) {
	var err error
	for range maxAcceptAttempts {
		var a client.Accepted
		a, err = f(ctx)
		var refused *client.Error
		if err == nil || (errors.As(err, &refused) && refused.Run == string(fault.NotRun)) {
			return a, err
		}
		select {
		case <-ctx.Done():
			return client.Accepted{}, &unknownOutcomeError{id, err}
		case <-time.After(acceptRetryInterval):
		}
	}
	return client.Accepted{}, &unknownOutcomeError{id, err}
}

// changeOptions holds the flags of the commands that create a version.
type changeOptions struct {
	wait   bool
	change string
}

func (o *changeOptions) registerFlags(c *kingpin.CmdClause) {
	c.Flag("wait", "Wait until every reachable node serves the version.").BoolVar(&o.wait)
	c.Flag("change", "Change id of an earlier try whose outcome is unknown.").StringVar(&o.change)
}

func (o *changeOptions) changeID() mesh.ChangeID {
	if o.change != "" {
		return mesh.ChangeID(o.change)
	}
	return newChangeID()
}

func (o *changeOptions) reportResult(ctx context.Context, opts *clientOptions, cl *client.Client, a client.Accepted) error {
	if !o.wait {
		return opts.print(a, func() string { return fmt.Sprintf("accepted as version %d (change %s)\n", a.Version, a.Change) })
	}
	start := time.Now()
	s, err := waitConverged(ctx, cl, a.Version)
	if err != nil {
		return fmt.Errorf("version %d is accepted but not yet served by all nodes: %w", a.Version, err)
	}
	return opts.print(s, func() string {
		return convergenceText(a.Version, s, time.Since(start))
	})
}

// convergence is the result of waiting until a version is served.
type convergence struct {
	client.Status
	Uncounted []mesh.NodeID `json:"uncounted,omitempty"` // registered with the platform but not members
}

// convergenceText returns the text for a version that all members serve, with the
// nodes that are not counted.
func convergenceText(v mesh.Version, c convergence, elapsed time.Duration) string {
	text := fmt.Sprintf("accepted as version %d, served by all %d nodes after %v\n", v, memberCount(c.Status), elapsed.Round(time.Millisecond))
	if n := len(c.Uncounted); n > 0 {
		text += fmt.Sprintf("not counted: %d nodes that are registered with the platform and cannot be reached: %v\n", n, c.Uncounted)
	}
	return text
}

// waitConverged waits until all members serve v, and at most uncountedTimeout until
// all registered nodes are members. It reports progress on standard error.
func waitConverged(ctx context.Context, cl *client.Client, v mesh.Version) (convergence, error) {
	start := time.Now()
	for {
		s, err := waitMembersConverged(ctx, cl, v)
		if err != nil {
			return convergence{Status: s}, err
		}
		ids, err := cl.Uncounted(ctx)
		if err != nil {
			fmt.Fprintf(os.Stderr, "failed to list the registered nodes; only members are counted: %v\n", err)
			return convergence{Status: s}, nil
		}
		if len(ids) == 0 || time.Since(start) >= uncountedTimeout {
			return convergence{s, ids}, nil
		}
		select {
		case <-ctx.Done():
			return convergence{s, ids}, ctx.Err()
		case <-time.After(uncountedPollInterval):
		}
	}
}

// waitMembersConverged polls the status until all members serve v.
func waitMembersConverged(ctx context.Context, cl *client.Client, v mesh.Version) (client.Status, error) {
	last := -1
	for {
		s, err := cl.Status(ctx, v)
		if err == nil && s.Converged {
			return s, nil
		}
		if n := currentCount(s); err == nil && n != last {
			fmt.Fprintf(os.Stderr, "version %d: %d of %d nodes\n", v, n, memberCount(s))
			last = n
		}
		select {
		case <-ctx.Done():
			return s, errors.Join(ctx.Err(), err)
		case <-time.After(statusPollInterval):
		}
	}
}

func memberCount(s client.Status) int {
	n := 0
	for _, z := range s.Zones {
		n += z.Members
	}
	return n
}

func currentCount(s client.Status) int {
	n := 0
	for _, z := range s.Zones {
		n += z.Current
	}
	return n
}
