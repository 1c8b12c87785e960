package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/examples"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	phase = 1500 * time.Millisecond // length of each round of requests
	pause = 10 * time.Millisecond   // between two looks at the mesh

	host    = "solo.lending.example"
	newHost = "demak.lending.example"
)

// newAccount is the edit that the demo accepts while requests are served.
const newAccount = `account: demak
template: branch
parameters: {host: demak.lending.example, reserve_rate: 40}
`

// Config configures a demo.
type Config struct {
	Out io.Writer // receives the report
	Log *zap.Logger
}

// demo is one run.
type demo struct {
	Config
	cluster  *cluster
	operator *client.Client
	traffic  *traffic
	lost     int
}

// Run runs the demo. It returns an error if a request was lost or broken.
func Run(ctx context.Context, c Config) (err error) {
	d := &demo{Config: c}
	d.printf("Starts %d nodes in 2 availability zones, each beside a backend server, and a stand-in for the platform.\n", len(places))
	if d.cluster, err = newCluster(ctx, c.Log); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	stopped := false
	defer func() {
		if !stopped {
			err = errors.Join(err, d.cluster.stop())
		}
	}()
	d.operator = client.New(client.Config{Node: d.cluster.nodes[0].Addrs().Operator, Token: token})
	var callers []string
	for _, n := range d.cluster.nodes {
		callers = append(callers, n.Addrs().Caller)
	}
	d.traffic = newTraffic(callers)
	for _, step := range []func(context.Context) error{d.first, d.before, d.during, d.after} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopped = true
	if err := d.cluster.stop(); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	d.printf("\n5. Every node and backend server stopped gracefully.\n")
	if d.lost > 0 {
		return fmt.Errorf("%d requests were refused or broken", d.lost)
	}
	d.printf("\nNo request was refused or broken.\n")
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

// first accepts the documents of the lending office.
func (d *demo) first(ctx context.Context) error {
	if err := d.untilMembers(ctx); err != nil {
		return err
	}
	var e client.Edit
	names, err := fs.Glob(examples.Files, "lending-office/*.yaml")
	if err != nil {
		return err
	}
	for _, name := range names {
		b, err := examples.Files.ReadFile(name)
		if err != nil {
			return err
		}
		e.Files = append(e.Files, client.File{Name: name, Content: string(b)})
	}
	v, took, err := d.accept(ctx, e)
	if err != nil {
		return err
	}
	d.printf("\n1. Accepted the lending office's configuration (%d files): version %d, active on all nodes after %v.\n", len(names), v, took)
	return d.untilServed(ctx)
}

func (d *demo) before(ctx context.Context) error {
	a := d.traffic.once(ctx, kinds[1], d.traffic.nodes[0], newHost)
	d.printf("\n2. Requests before the edit, to %s; a request to %s gets %d %s.\n", host, newHost, a.status, a.kind)
	return d.round(ctx, host, nil)
}

// during accepts a new client account while requests are served.
func (d *demo) during(ctx context.Context) error {
	edit := client.Edit{Files: []client.File{{Name: "account-demak.yaml", Content: newAccount}}}
	p, err := d.operator.Plan(ctx, edit)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	d.printf("\n3. An edit adds client account demak; the plan affects %v and no other account.\n", p.Accounts)
	return d.round(ctx, host, func(ctx context.Context) error {
		v, took, err := d.accept(ctx, edit)
		if err != nil {
			return err
		}
		d.printf("   Accepted as version %d, active on all nodes after %v, under these requests:\n", v, took)
		return nil
	})
}

func (d *demo) after(ctx context.Context) error {
	a := d.traffic.once(ctx, kinds[1], d.traffic.nodes[0], newHost)
	d.printf("\n4. Requests after the edit, to %s; a request to it gets %d.\n", newHost, a.status)
	if a.err != nil {
		return fmt.Errorf("request to the new client account: %w", a.err)
	}
	if a.status != http.StatusOK {
		return fmt.Errorf("request to the new client account: status %d %s", a.status, a.kind)
	}
	return d.round(ctx, newHost, nil)
}

// round serves requests for one phase, runs act in the middle of it and prints
// the tallies.
func (d *demo) round(ctx context.Context, to string, act func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, phase)
	defer cancel()
	done := make(chan struct{})
	go func() {
		d.traffic.run(ctx, to)
		close(done)
	}()
	var err error
	if act != nil {
		time.Sleep(phase / 3)
		err = act(context.WithoutCancel(ctx))
	}
	<-done
	d.printf("%s   responses by configuration version: %v\n", d.traffic.table(), d.traffic.versions)
	d.lost += d.traffic.lost()
	return err
}

// accept accepts e and waits until every node serves it.
func (d *demo) accept(ctx context.Context, e client.Edit) (mesh.Version, time.Duration, error) {
	start := time.Now()
	a, err := d.operator.Accept(ctx, client.AcceptRequest{Change: mesh.ChangeID(uuid.NewString()), Operator: "demo", Edit: e})
	if err != nil {
		return 0, 0, fmt.Errorf("accept: %w", err)
	}
	err = d.until(ctx, "every node serves the version", func() bool {
		s, err := d.operator.Status(ctx, a.Version)
		return err == nil && s.Converged
	})
	return a.Version, time.Since(start).Round(time.Millisecond), err
}

// untilMembers waits until the nodes know each other.
func (d *demo) untilMembers(ctx context.Context) error {
	return d.until(ctx, "the nodes know each other", func() bool {
		s, err := d.operator.Status(ctx, 0)
		n := 0
		for _, z := range s.Zones {
			n += z.Members
		}
		return err == nil && s.Ready && n == len(places)
	})
}

// untilServed waits until every node reaches every service.
func (d *demo) untilServed(ctx context.Context) error {
	return d.until(ctx, "every node reaches every service", func() bool {
		for _, n := range d.traffic.nodes {
			for _, k := range kinds {
				if a := d.traffic.once(ctx, k, n, host); a.err != nil || a.status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

func (d *demo) until(ctx context.Context, what string, cond func() bool) error {
	for !cond() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until %s: %w", what, ctx.Err())
		case <-time.After(pause):
		}
	}
	return nil
}
