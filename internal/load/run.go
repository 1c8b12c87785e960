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

// Run starts the mesh of x, runs its phases and stops all processes. It calls
// progress for each progress message.
func Run(ctx context.Context, x Experiment, progress func(format string, args ...any)) (r Report, err error) {
	progress("%s: starting %d nodes", x.Name, x.Mesh.Nodes)
	defer func() { err = errors.Join(err, trial.RemoveBuilds()) }()
	c, err := startCluster(ctx, x)
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	r = Report{
		Name: x.Name, About: x.About, Seed: x.Seed, Nodes: x.Mesh.Nodes, Capacity: x.Mesh.capacity(), StartupTime: millis(c.startupTime),
	}
	if x.Mesh.Loss > 0 {
		if err := c.SetRelayFaults(lossFaults(x.Mesh.Loss)); err != nil {
			return r, err
		}
	}
	progress("%s: all nodes ready after %v", x.Name, c.startupTime.Round(time.Millisecond))
	if err := wait.For(ctx, x.Settle); err != nil {
		return r, err
	}
	for i, p := range x.Phases {
		progress("%s: phase %s, %v", x.Name, p.Name, p.WarmUp+p.Duration)
		pr, err := c.runPhase(ctx, p, fmt.Sprintf("%s-%d", x.Name, i))
		if err != nil {
			return r, err
		}
		r.Phases = append(r.Phases, pr)
	}
	return r, nil
}

// tallyKey identifies a tally of a phase.
type tallyKey struct {
	rank string
	via  Via
}

// newStreams returns the streams of p, and their tallies in the order in which p
// first uses them.
func (c *cluster) newStreams(p Phase, s *sender, prefix string) ([]*stream, []*tally, error) {
	var streams []*stream
	var ordered []*tally
	tallies := make(map[tallyKey]*tally)
	for i, e := range p.Load {
		k := tallyKey{string(e.Rank), e.Via}
		if tallies[k] == nil {
			policy, err := c.rankPolicy(e.Rank)
			if err != nil {
				return nil, nil, err
			}
			tallies[k] = newTally(e.Rank, e.Via, policy.Target, policy.Worth, p.Duration)
			ordered = append(ordered, tallies[k])
		}
		addrs := c.callerAddrs(e.Entries)
		if e.Via != ViaMesh {
			addrs = c.serverAddrs(e.Service)
		}
		streams = append(streams, &stream{
			spec: e, rate: e.rate(&c.experiment.Mesh), sender: s, tally: tallies[k],
			idPrefix: fmt.Sprintf("%s-%d", prefix, i),
			host:     func(n int) string { return accountHost(n % e.Accounts) },
			nextAddr: addrs,
			seed:     c.experiment.Seed + uint64(i),
		})
	}
	return streams, ordered, nil
}

// runPhase runs p. Request IDs begin with prefix.
func (c *cluster) runPhase(ctx context.Context, p Phase, prefix string) (PhaseReport, error) {
	s := newSender()
	defer s.close()
	streams, tallies, err := c.newStreams(p, s, prefix)
	if err != nil {
		return PhaseReport{}, err
	}
	start := time.Now()
	var streamGroup sync.WaitGroup
	for _, st := range streams {
		streamGroup.Go(func() { st.run(ctx, start, p.WarmUp, p.Duration) })
	}
	if err := wait.For(ctx, p.WarmUp); err != nil {
		streamGroup.Wait()
		return PhaseReport{}, err
	}
	r := PhaseReport{Name: p.Name}
	from := c.takeSample(ctx)
	begin := time.Now()
	phaseCtx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()
	var background sync.WaitGroup
	events := make([]error, len(p.Events))
	for i, e := range p.Events {
		background.Go(func() { events[i] = c.runEvent(phaseCtx, e, begin) })
	}
	background.Go(func() { r.Platform = c.measurePlatform(phaseCtx) })
	if len(p.Load) > 0 && len(c.Nodes) <= maxGateSampleNodes {
		background.Go(func() { r.Gates = c.sampleGates(phaseCtx) })
	}
	var edits []editResult
	if p.Edits != nil {
		e := &editor{cluster: c, edits: *p.Edits, seed: c.experiment.Seed}
		background.Go(func() { edits = e.run(ctx, p.Duration) })
	}
	if err := wait.For(ctx, time.Until(begin.Add(p.Duration))); err != nil {
		streamGroup.Wait()
		background.Wait()
		return PhaseReport{}, err
	}
	background.Wait()
	to := c.takeSample(ctx)
	streamGroup.Wait()
	length := to.at.Sub(from.at)
	r.Length = millis(p.Duration)
	for _, t := range tallies {
		r.Ranks = append(r.Ranks, newRankReport(t, p.Duration, c.experiment.Mesh.capacity()))
	}
	r.AddedLatency = addedLatencies(r.Ranks)
	if p.Edits != nil {
		r.Edits = newEditReport(edits, p.Edits.Observe)
	}
	r.NodeUsage = newUsage(from, to)
	r.Arrivals = to.arrivals - from.arrivals
	r.OwnCPU = (to.ownCPU - from.ownCPU).Seconds() / length.Seconds()
	r.OtherCPU = max(0, (to.busyCPU-from.busyCPU).Seconds()/length.Seconds()-r.OwnCPU)
	r.StolenCPU = (to.stolenCPU - from.stolenCPU).Seconds() / length.Seconds()
	r.Retries = counterIncrease(from, to, func(n nodeSample) map[string]int64 { return n.retries })
	r.Messages = counterIncrease(from, to, func(n nodeSample) map[string]int64 { return n.messages })
	r.GateRefusals = counterIncrease(from, to, func(n nodeSample) map[string]int64 { return n.admissionRefusals })
	r.BrokenInvariants = counterIncrease(from, to, func(n nodeSample) map[string]int64 { return n.brokenInvariants })
	for _, err := range events {
		if err != nil {
			r.Errors = append(r.Errors, err.Error())
		}
	}
	return r, nil
}

// measurePlatform counts the requests to the platform until ctx ends. Peak rates
// are measured over intervals of about one second.
func (c *cluster) measurePlatform(ctx context.Context) PlatformUsage {
	var p PlatformUsage
	firstOps, firstReads, firstWrites := c.platformRequests(ctx)
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
		if n -= firstOps[op]; n > 0 {
			p.Ops[op] = n
		}
	}
	p.Reads, p.Writes = r-firstReads, w-firstWrites
	return p
}

// maxGateSampleNodes is the size of the largest mesh whose gates are sampled each
// second, since reading the counters costs CPU time on the nodes.
const maxGateSampleNodes = 10

// sampleGates samples the gates each second until ctx ends. It returns nil if
// there is no sample.
func (c *cluster) sampleGates(ctx context.Context) *GateStats {
	g := &GateStats{MinLimit: math.Inf(1)}
	samples := 0.0
	for wait.For(ctx, time.Second) == nil {
		for _, node := range c.Nodes {
			var v struct {
				Limit    float64 `json:"gate_limit"`
				InFlight float64 `json:"gate_in_flight"`
				Queued   float64 `json:"gate_queued"`
			}
			if fetchVars(ctx, node, &v) != nil {
				continue
			}
			samples++
			g.Limit += v.Limit
			g.InFlight += v.InFlight
			g.Queued += v.Queued
			g.MinLimit = min(g.MinLimit, v.Limit)
		}
	}
	if samples == 0 {
		return nil
	}
	g.Limit, g.InFlight, g.Queued = g.Limit/samples, g.InFlight/samples, g.Queued/samples
	return g
}
