package load

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/trial"
	"lavenderrill.dev/lavenderrill/internal/wait"
)

// Run starts the mesh of x, runs its phases and stops every process again.
// Progress messages go to progress.
func Run(ctx context.Context, x Experiment, progress func(format string, args ...any)) (r Report, err error) {
	progress("%s: start %d nodes", x.Name, x.Mesh.Nodes)
	defer func() { err = errors.Join(err, trial.RemoveBuilds()) }()
	c, err := startCluster(ctx, x)
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	r = Report{
		Name: x.Name, About: x.About, Seed: x.Seed, Nodes: x.Mesh.Nodes, Capacity: x.Mesh.capacity(), StartupTime: millis(c.started),
	}
	if x.Mesh.Loss > 0 {
		if err := c.SetRelays(faults(x.Mesh.Loss)); err != nil {
			return r, err
		}
	}
	progress("%s: all nodes ready after %v", x.Name, c.started.Round(time.Millisecond))
	if err := wait.For(ctx, x.Settle); err != nil {
		return r, err
	}
	for i, p := range x.Phases {
		progress("%s: phase %s, %v", x.Name, p.Name, p.WarmUp+p.Duration)
		pr, err := c.phase(ctx, p, fmt.Sprintf("%s-%d", x.Name, i))
		if err != nil {
			return r, err
		}
		r.Phases = append(r.Phases, pr)
	}
	return r, nil
}

// tallyKey separates the counts of a phase.
type tallyKey struct {
	rank string
	via  Via
}

// streams returns the streams of p and their tallies in the order of p.
func (c *cluster) streams(p Phase, s *sender, prefix string) ([]*stream, []*tally, error) {
	var streams []*stream
	var order []*tally
	tallies := make(map[tallyKey]*tally)
	for i, e := range p.Load {
		k := tallyKey{string(e.Rank), e.Via}
		if tallies[k] == nil {
			rank, err := c.rank(e.Rank)
			if err != nil {
				return nil, nil, err
			}
			tallies[k] = newTally(e.Rank, e.Via, rank.Target, rank.Worth, p.Duration)
			order = append(order, tallies[k])
		}
		addrs := c.callers()
		if e.Via != ViaMesh {
			addrs = c.servers(e.Service)
		}
		streams = append(streams, &stream{
			entry: e, rate: e.rate(&c.x.Mesh), sender: s, tally: tallies[k],
			prefix: fmt.Sprintf("%s-%d", prefix, i),
			host:   func(n int) string { return host(n % e.Accounts) },
			addrs:  addrs,
			seed:   c.x.Seed + uint64(i),
		})
	}
	return streams, order, nil
}

// phase runs p.
func (c *cluster) phase(ctx context.Context, p Phase, prefix string) (PhaseReport, error) {
	s := newSender()
	defer s.close()
	streams, tallies, err := c.streams(p, s, prefix)
	if err != nil {
		return PhaseReport{}, err
	}
	start := time.Now()
	var loads sync.WaitGroup
	for _, st := range streams {
		loads.Go(func() { st.run(ctx, start, p.WarmUp, p.Duration) })
	}
	if err := wait.For(ctx, p.WarmUp); err != nil {
		loads.Wait()
		return PhaseReport{}, err
	}
	r := PhaseReport{Name: p.Name}
	from := c.take(ctx)
	begin := time.Now()
	inner, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var others sync.WaitGroup
	events := make([]error, len(p.Events))
	for i, e := range p.Events {
		others.Go(func() { events[i] = c.happen(inner, e, begin) })
	}
	others.Go(func() { r.Platform = c.watchPlatform(inner) })
	if len(p.Load) > 0 && len(c.Nodes) <= gateNodes {
		others.Go(func() { r.Gates = c.watchGates(inner) })
	}
	var edits []edited
	if p.Edits != nil {
		ed := &editor{c: c, edits: *p.Edits, seed: c.x.Seed}
		others.Go(func() { edits = ed.run(ctx, p.Duration) })
	}
	if err := wait.For(ctx, time.Until(begin.Add(p.Duration))); err != nil {
		loads.Wait()
		others.Wait()
		return PhaseReport{}, err
	}
	others.Wait()
	to := c.take(ctx)
	loads.Wait()
	length := to.at.Sub(from.at)
	r.Length = millis(p.Duration)
	for _, t := range tallies {
		r.Ranks = append(r.Ranks, rankReport(t, p.Duration, c.x.Mesh.capacity()))
	}
	r.AddedLatency = addedOf(r.Ranks)
	if p.Edits != nil {
		r.Edits = editReport(edits, p.Edits.Observe)
	}
	r.NodeUsage = usage(from, to)
	r.Arrivals = to.arrivals - from.arrivals
	r.OwnCPU = (to.own - from.own).Seconds() / length.Seconds()
	r.OtherCPU = max(0, (to.busy-from.busy).Seconds()/length.Seconds()-r.OwnCPU)
	r.StolenCPU = (to.stolen - from.stolen).Seconds() / length.Seconds()
	r.Retries = difference(from, to, func(n nodeSample) map[string]int64 { return n.retries })
	r.Messages = difference(from, to, func(n nodeSample) map[string]int64 { return n.messages })
	r.GateRefusals = difference(from, to, func(n nodeSample) map[string]int64 { return n.admission })
	r.BrokenInvariants = difference(from, to, func(n nodeSample) map[string]int64 { return n.broken })
	for _, err := range events {
		if err != nil {
			r.Errors = append(r.Errors, err.Error())
		}
	}
	return r, nil
}

// watchPlatform counts the requests to the platform until ctx ends, and the
// most in one second.
func (c *cluster) watchPlatform(ctx context.Context) PlatformUsage {
	var p PlatformUsage
	first, firstReads, firstWrites := c.platformRequests(ctx)
	reads, writes := firstReads, firstWrites
	last := time.Now()
	for wait.For(ctx, time.Second) == nil {
		_, r, w := c.platformRequests(context.WithoutCancel(ctx))
		now := time.Now()
		secs := now.Sub(last).Seconds()
		p.PeakReads = max(p.PeakReads, float64(r-reads)/secs)
		p.PeakWrites = max(p.PeakWrites, float64(w-writes)/secs)
		reads, writes, last = r, w, now
	}
	ops, r, w := c.platformRequests(context.WithoutCancel(ctx))
	p.Ops = make(map[string]int64)
	for op, n := range ops {
		if n -= first[op]; n > 0 {
			p.Ops[op] = n
		}
	}
	p.Reads, p.Writes = r-firstReads, w-firstWrites
	return p
}

// gateNodes is the size of the largest mesh whose gates are sampled each
// second, since reading the counters costs the nodes CPU time.
const gateNodes = 10

// watchGates samples the gates until ctx ends.
func (c *cluster) watchGates(ctx context.Context) *GateStats {
	g := &GateStats{MinLimit: math.Inf(1)}
	n := 0.0
	for wait.For(ctx, time.Second) == nil {
		for _, node := range c.Nodes {
			var v struct {
				Limit    float64 `json:"gate_limit"`
				InFlight float64 `json:"gate_in_flight"`
				Queued   float64 `json:"gate_queued"`
			}
			if vars(ctx, node, &v) != nil {
				continue
			}
			n++
			g.Limit += v.Limit
			g.InFlight += v.InFlight
			g.Queued += v.Queued
			g.MinLimit = min(g.MinLimit, v.Limit)
		}
	}
	if n == 0 {
		return nil
	}
	g.Limit, g.InFlight, g.Queued = g.Limit/n, g.InFlight/n, g.Queued/n
	return g
}
