package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteText writes r as tables.
func (r Report) WriteText(w io.Writer) error {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s: %s\n", r.Name, strings.TrimSpace(r.About))
	fmt.Fprintf(b, "%d nodes, capacity %.0f/s, seed %d, all ready after %.1f s\n", r.Nodes, r.Capacity, r.Seed, r.StartupTime/1000)
	for _, p := range r.Phases {
		p.writeText(b)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (p PhaseReport) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "\nphase %s, %.0f s; cores: %.1f own, %.1f of other programs, %.1f stolen by the hypervisor\n", p.Name, p.Length/1000, p.OwnCPU, p.OtherCPU, p.StolenCPU)
	if len(p.Ranks) > 0 {
		p.writeRanks(b)
	}
	for _, a := range p.AddedLatency {
		fmt.Fprintf(b, "added to %s, ms: from intended start p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f; from sending p50 %.2f p90 %.2f p99 %.2f p99.9 %.2f\n",
			a.Rank, a.FromIntended.P50, a.FromIntended.P90, a.FromIntended.P99, a.FromIntended.P999,
			a.FromSent.P50, a.FromSent.P90, a.FromSent.P99, a.FromSent.P999)
	}
	if e := p.Edits; e != nil {
		fmt.Fprintf(b, "edits: %d accepted, %d failed; commit ms %s\n", e.Accepted, e.Failed, e.Committed)
		if e.Active.Count > 0 {
			fmt.Fprintf(b, "edits active on all nodes, ms from the sending of the accept: %s\n", e.Active)
		}
		for _, s := range e.Errors {
			fmt.Fprintf(b, "edit error: %s\n", s)
		}
	}
	u := p.NodeUsage
	fmt.Fprintf(b, "%d nodes, mean (max): control B/s sent %s received %s, CPU %% of a core %.2f (%.2f), RSS MB %.1f (%.1f), heap MB %.1f (%.1f)\n",
		u.NodeCount, u.Sent, u.Received, u.CPU.Mean, u.CPU.Max, u.RSS.Mean, u.RSS.Max, u.Heap.Mean, u.Heap.Max)
	if len(u.SentByKind) > 0 {
		fmt.Fprintf(b, "control B/s sent by kind: %s\n", formatCounts(u.SentByKind))
	}
	secs := float64(p.Length) / 1000
	fmt.Fprintf(b, "platform: reads %d (%.1f/s, peak %.0f/s), writes %d (%.1f/s, peak %.0f/s); arrivals at backend servers: %d\n",
		p.Platform.Reads, float64(p.Platform.Reads)/secs, p.Platform.PeakReads,
		p.Platform.Writes, float64(p.Platform.Writes)/secs, p.Platform.PeakWrites, p.Arrivals)
	if len(p.Platform.Ops) > 0 {
		fmt.Fprintf(b, "platform by operation: %s\n", formatCounts(p.Platform.Ops))
	}
	if g := p.Gates; g != nil {
		fmt.Fprintf(b, "gates, mean: limit %.1f (lowest %.0f), in flight %.1f, queued %.1f\n", g.Limit, g.MinLimit, g.InFlight, g.Queued)
	}
	for _, m := range []struct {
		name   string
		counts map[string]int64
	}{{"control messages of all nodes", p.Messages}, {"retries", p.Retries}, {"refusals by admission", p.GateRefusals}, {"INVARIANTS BROKEN", p.BrokenInvariants}} {
		if len(m.counts) > 0 {
			fmt.Fprintf(b, "%s: %s\n", m.name, formatCounts(m.counts))
		}
	}
	for _, f := range p.Errors {
		fmt.Fprintf(b, "EXPERIMENT FAILED: %s\n", f)
	}
}

func (p PhaseReport) writeRanks(b *strings.Builder) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) } // writing to a strings.Builder does not fail
	row("%s", "rank\tvia\ttarget ms\toffered\tin time\tlate\trefused\tfailed\tunknown\tbroken\tunsent\tin time %\tin time/s\t% of capacity\tworth/s\tp50 ms\tp90\tp99\tp99.9\t")
	var goodput, capacity, worth float64
	for _, r := range p.Ranks {
		row("%s\t%s\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.1f\t%.1f\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t",
			r.Rank, r.Via, r.Target, r.Offered, r.InTime, r.Late, total(r.Refused), total(r.Failed), total(r.Unknown), total(r.Broken), r.Unsent,
			r.InTimeShare*100, r.Goodput, r.CapacityShare*100, r.Worth, r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.P999)
		goodput, capacity, worth = goodput+r.Goodput, capacity+r.CapacityShare, worth+r.Worth
	}
	row("all\t\t\t\t\t\t\t\t\t\t\t\t%.1f\t%.1f\t%.0f\t\t\t\t\t", goodput, capacity*100, worth)
	_ = w.Flush()
	for _, r := range p.Ranks {
		for _, m := range []struct {
			name   string
			counts map[string]int
		}{{"refused", r.Refused}, {"failed", r.Failed}, {"unknown", r.Unknown}, {"broken", r.Broken}} {
			if len(m.counts) > 0 {
				fmt.Fprintf(b, "%s via %s %s: %s\n", r.Rank, r.Via, m.name, formatCounts(m.counts))
			}
		}
		if r.Retries > 0 {
			fmt.Fprintf(b, "%s via %s: %d retries of the client\n", r.Rank, r.Via, r.Retries)
		}
	}
}

// String formats q in milliseconds.
func (q Quantiles) String() string {
	return fmt.Sprintf("p50 %.1f p90 %.1f p99 %.1f p99.9 %.1f max %.1f (%d)", q.P50, q.P90, q.P99, q.P999, q.Max, q.Count)
}

// String formats the mean and, in parentheses, the highest value.
func (s MeanMax) String() string { return fmt.Sprintf("%.0f (%.0f)", s.Mean, s.Max) }

func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// formatCounts formats m as a list sorted by key.
func formatCounts[N int | int64](m map[string]N) string {
	var b strings.Builder
	for i, k := range slices.Sorted(maps.Keys(m)) {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%s %d", k, m[k])
	}
	return b.String()
}
