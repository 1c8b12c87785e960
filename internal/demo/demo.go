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
	roundDuration = 1500 * time.Millisecond // length of each round of requests
	pollInterval  = 10 * time.Millisecond   // between two checks of a condition

	host    = "solo.lending.example"
	newHost = "demak.lending.example"
)

// newAccountDocument is the edit that the demo accepts while requests are served.
const newAccountDocument = `account: demak
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
	failed   int
}

// Run runs the demo. It returns an error if a request was refused or broken.
func Run(ctx context.Context, c Config) (err error) {
	d := &demo{Config: c}
	d.printf("Starts %d nodes in 2 availability zones, each beside a backend server, and a stand-in for the platform.\n", len(vms))
	if d.cluster, err = newCluster(ctx, c.Log); err != nil {
		return fmt.Errorf("start mesh: %w", err)
	}
	stopped := false
	defer func() {
		if !stopped {
			err = errors.Join(err, d.cluster.stop())
		}
	}()
	d.operator = client.New(client.Config{Node: d.cluster.nodes[0].Addrs().Operator, Token: operatorToken})
	var callerAddrs []string
	for _, n := range d.cluster.nodes {
		callerAddrs = append(callerAddrs, n.Addrs().Caller)
	}
	d.traffic = newTraffic(callerAddrs)
	for _, step := range []func(context.Context) error{d.acceptInitialConfiguration, d.sendBeforeEdit, d.acceptDuringTraffic, d.sendAfterEdit} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stopped = true
	if err := d.cluster.stop(); err != nil {
		return fmt.Errorf("stop mesh: %w", err)
	}
	d.printf("\n5. Every node and backend server stopped gracefully.\n")
	if d.failed > 0 {
		return fmt.Errorf("%d requests were refused or broken", d.failed)
	}
	d.printf("\nNo request was refused or broken.\n")
	return nil
}

func (d *demo) printf(format string, args ...any) { _, _ = fmt.Fprintf(d.Out, format, args...) }

// acceptInitialConfiguration accepts the documents of the lending office.
func (d *demo) acceptInitialConfiguration(ctx context.Context) error {
	if err := d.waitForMembers(ctx); err != nil {
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
	return d.waitForServices(ctx)
}

func (d *demo) sendBeforeEdit(ctx context.Context) error {
	o := d.traffic.sendOne(ctx, requestKinds[1], d.traffic.nodes[0], newHost)
	d.printf("\n2. Requests before the edit, to %s; a request to %s gets %d %s.\n", host, newHost, o.status, o.refusalKind)
	return d.round(ctx, host, nil)
}

// acceptDuringTraffic accepts a new client account while requests are served.
func (d *demo) acceptDuringTraffic(ctx context.Context) error {
	edit := client.Edit{Files: []client.File{{Name: "account-demak.yaml", Content: newAccountDocument}}}
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

func (d *demo) sendAfterEdit(ctx context.Context) error {
	o := d.traffic.sendOne(ctx, requestKinds[1], d.traffic.nodes[0], newHost)
	d.printf("\n4. Requests after the edit, to %s; a request to it gets %d.\n", newHost, o.status)
	if o.err != nil {
		return fmt.Errorf("request to the new client account: %w", o.err)
	}
	if o.status != http.StatusOK {
		return fmt.Errorf("request to the new client account: status %d %s", o.status, o.refusalKind)
	}
	return d.round(ctx, newHost, nil)
}

// round sends requests for roundDuration, runs action during this time and prints
// the tallies.
func (d *demo) round(ctx context.Context, toHost string, action func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, roundDuration)
	defer cancel()
	done := make(chan struct{})
	go func() {
		d.traffic.run(ctx, toHost)
		close(done)
	}()
	var err error
	if action != nil {
		time.Sleep(roundDuration / 3)
		err = action(context.WithoutCancel(ctx))
	}
	<-done
	d.printf("%s   responses by configuration version: %v\n", d.traffic.table(), d.traffic.versions)
	d.failed += d.traffic.failed()
	return err
}

// accept accepts e and waits until every node serves it.
func (d *demo) accept(ctx context.Context, e client.Edit) (mesh.Version, time.Duration, error) {
	start := time.Now()
	a, err := d.operator.Accept(ctx, client.AcceptRequest{Change: mesh.ChangeID(uuid.NewString()), Operator: "demo", Edit: e})
	if err != nil {
		return 0, 0, fmt.Errorf("accept: %w", err)
	}
	err = d.waitUntil(ctx, "every node serves the version", func() bool {
		s, err := d.operator.Status(ctx, a.Version)
		return err == nil && s.Converged
	})
	return a.Version, time.Since(start).Round(time.Millisecond), err
}

// waitForMembers waits until all nodes are members of the mesh.
func (d *demo) waitForMembers(ctx context.Context) error {
	return d.waitUntil(ctx, "all nodes are members", func() bool {
		s, err := d.operator.Status(ctx, 0)
		n := 0
		for _, z := range s.Zones {
			n += z.Members
		}
		return err == nil && s.Ready && n == len(vms)
	})
}

// waitForServices waits until every node reaches every service.
func (d *demo) waitForServices(ctx context.Context) error {
	return d.waitUntil(ctx, "every node reaches every service", func() bool {
		for _, n := range d.traffic.nodes {
			for _, k := range requestKinds {
				if o := d.traffic.sendOne(ctx, k, n, host); o.err != nil || o.status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

func (d *demo) waitUntil(ctx context.Context, condition string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait until %s: %w", condition, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}
