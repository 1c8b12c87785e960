package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxKeyBytes bounds the size of a key file.
const maxKeyBytes = 4 << 10

// explainArgs holds the arguments of explain.
type explainArgs struct {
	method, host, path string
	account, service   string
	keyFile            string
	deadline           time.Duration
}

func explainCommand(app *kingpin.Application) command {
	opts := clientOptions{tokenOptional: true}
	var args explainArgs
	c := opts.registerFlags(app.Command("explain", `Shows where a request would be sent now and why, or why it would be refused, without sending it.

For a hosted node, --node is the address of its metrics, and no token is needed. The exit
code is 1 if the request would be refused.`))
	c.Arg("method", "HTTP method.").Required().StringVar(&args.method)
	c.Arg("host", "Host of the request.").Required().StringVar(&args.host)
	c.Arg("path", "Path of the request.").Required().StringVar(&args.path)
	c.Flag("account", "Client account that sends the request, in place of its key.").StringVar(&args.account)
	c.Flag("key-file", "File with the API key of the request; - reads standard input. Only its digest is sent.").StringVar(&args.keyFile)
	c.Flag("service", "Service, for a route that is divided among several.").StringVar(&args.service)
	c.Flag("deadline", "Time that the caller gives the request; without it there is no Retry-After.").DurationVar(&args.deadline)
	return command{c, opts.withClient(func(ctx context.Context, cl *client.Client) error {
		in, err := args.request(os.Stdin)
		if err != nil {
			return err
		}
		x, err := cl.Explain(ctx, in)
		if err != nil {
			return err
		}
		if err := opts.print(x, func() string { return explainText(&x) }); err != nil || x.Kind == "" {
			return err
		}
		return fault.New(fault.Kind(x.Kind), "the request would be refused: "+x.Reason)
	})}
}

// request returns the call for a. No error contains the key, nor the name of its file, which
// may be the key by mistake.
func (a *explainArgs) request(stdin io.Reader) (client.ExplainRequest, error) {
	in := client.ExplainRequest{
		Method: a.method, Host: a.host, Path: a.path,
		Account: mesh.ClientAccount(a.account), Service: mesh.Service(a.service), Deadline: client.Duration(a.deadline),
	}
	switch {
	case a.deadline < 0:
		return in, fault.New(fault.Settings, "--deadline is negative")
	case a.keyFile == "":
		return in, nil
	case a.account != "":
		return in, fault.New(fault.Settings, "give --account or --key-file, not both")
	}
	key, err := readKey(a.keyFile, stdin)
	if err != nil {
		return in, fault.Newf(fault.Settings, "--key-file: %w", err)
	}
	digest := mesh.DigestOf(key)
	in.KeyDigest = &digest
	return in, nil
}

// readKey returns the key in the named file without the space around it.
func readKey(name string, stdin io.Reader) ([]byte, error) {
	r := stdin
	if name != "-" && name != stdinPath {
		f, err := os.Open(name)
		if err != nil {
			return nil, withoutPath(err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxKeyBytes+1))
	if err != nil {
		return nil, withoutPath(err)
	}
	key := bytes.TrimSpace(b)
	if len(key) == 0 || len(b) > maxKeyBytes {
		return nil, fmt.Errorf("file has no key, or more than %d bytes", maxKeyBytes)
	}
	return key, nil
}

func withoutPath(err error) error {
	var p *fs.PathError
	if errors.As(err, &p) {
		return p.Err
	}
	return err
}

func explainText(x *client.Explanation) string {
	var b strings.Builder
	explainRoute(&b, x)
	explainAdmission(&b, x)
	explainZones(&b, x.Zones)
	explainCandidates(&b, x)
	for _, o := range x.Outcomes {
		switch {
		case o.Kind == "":
			fmt.Fprintf(&b, "%.2f sent to %s in %s\n", o.Share, o.Endpoint, o.Zone)
		case o.RetryAfter != "":
			fmt.Fprintf(&b, "%.2f refused: %s, status %d, %s, Retry-After about %s s: %s\n", o.Share, o.Kind, o.Status, o.Run, o.RetryAfter, o.Reason)
		default:
			fmt.Fprintf(&b, "%.2f refused: %s, status %d, %s: %s\n", o.Share, o.Kind, o.Status, o.Run, o.Reason)
		}
	}
	return b.String()
}

func explainRoute(b *strings.Builder, x *client.Explanation) {
	if x.Route == "" {
		return
	}
	account := "no client account"
	if x.Account != "" {
		account = "client account " + string(x.Account)
	}
	fmt.Fprintf(b, "version %d, route %s, %s: service %s, rank %s, deadline %s\n", x.Version, x.Route, account, x.Service, x.Rank, x.Deadline)
	if len(x.Split) > 0 {
		fmt.Fprintf(b, "services of the route by weight:")
		for _, s := range x.Split {
			fmt.Fprintf(b, " %s %d", s.Service, s.Weight)
		}
		fmt.Fprintln(b)
	}
	if x.Nested {
		fmt.Fprintln(b, "counts as a nested call")
	}
	if x.RouteRate > 0 {
		fmt.Fprintf(b, "rate of the route: %g/s, not evaluated here\n", x.RouteRate)
	}
}

func explainAdmission(b *strings.Builder, x *client.Explanation) {
	if q := x.Quota; q != nil {
		fmt.Fprintf(b, "quota: %s; credit %.1f, share %.1f/s and burst %.1f of %g/s and %g", q.Decision, q.Credit, q.Share.Rate, q.Share.Burst, q.Limit.Rate, q.Limit.Burst)
		if q.Fallback {
			fmt.Fprintf(b, "; the owner does not answer, so that each of %d nodes uses its part", q.Nodes)
		}
		if q.Owner != "" {
			fmt.Fprintf(b, "; owner %s", q.Owner)
		}
		fmt.Fprintln(b)
	}
	if t := x.Throttle; t != nil {
		fmt.Fprintf(b, "throttle: refuses %.2f (%.2f under pressure; lowest pressure %.2f) of %s\n", t.Refused, t.Share, t.Pressure, t.Key)
	}
	if e := x.Early; e != nil {
		fmt.Fprintf(b, "early refusal by the gate of this node: %.2f, %s, for calls to %s\n", e.Share, e.Reason, e.Service)
	}
}

func explainZones(b *strings.Builder, z *client.Zones) {
	if z == nil {
		return
	}
	fmt.Fprintf(b, "zones: home %s", z.Home)
	for _, s := range z.Shares {
		fmt.Fprintf(b, ", %.2f to %s", s.Share, s.Zone)
	}
	fmt.Fprintf(b, "; the bytes of this request are worth a wait of %s\n", round(z.ByteCost))
	in := z.Inputs
	if in == nil {
		fmt.Fprintln(b, "  no decision yet for this service and rank: all stay at home")
		return
	}
	for _, l := range in.Loads {
		fmt.Fprintf(b, "  %s: %.1f requests for %g slots, expected end %s, reports of %s\n", l.Zone, l.Busy, l.Slots, round(l.Finish), round(l.Age))
	}
	fmt.Fprintf(b, "  latency %s, mean worth of the bytes %s, nodes that decide %d, demand of this node %.2f slots\n",
		round(in.Latency), round(in.ByteCost), in.Deciders, in.Demand)
}

func explainCandidates(b *strings.Builder, x *client.Explanation) {
	if len(x.Candidates) == 0 {
		return
	}
	var table strings.Builder
	w := tabwriter.NewWriter(&table, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "endpoint\tzone\tstate\tuse\trequests\tslots\treport\tpressure\tend\tchosen\twhy not")
	for i := range x.Candidates {
		c := &x.Candidates[i]
		report := "none"
		if c.ReportAge != nil {
			report = round(*c.ReportAge)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s, %s\t%s\t%.1f\t%d\t%s\t%.2f\t%s\t%.2f\t%s\n", c.Node, c.Zone, c.State, c.Status, c.Use,
			c.Requests, c.Slots, report, c.Pressure, round(c.Finish), c.Chosen, c.Excluded)
	}
	_ = w.Flush() // a strings.Builder does not fail
	for line := range strings.Lines(table.String()) {
		b.WriteString(strings.TrimRight(line, " \n") + "\n")
	}
	if x.Omitted > 0 {
		fmt.Fprintf(b, "%d more endpoints\n", x.Omitted)
	}
}

// round returns d with the precision that is of use to people.
func round(d client.Duration) string {
	return time.Duration(d).Round(100 * time.Microsecond).String()
}
