package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Report is the result of an experiment.
type Report struct {
	Name        string        `json:"name"`
	About       string        `json:"about"`
	Seed        uint64        `json:"seed"`
	Nodes       int           `json:"nodes"`
	Capacity    float64       `json:"capacity"` // of all backend servers, in requests/s; 0 if there are none
	StartupTime Millis        `json:"start_ms"` // from the start of the first process until all nodes are ready
	Phases      []PhaseReport `json:"phases"`
}

// PhaseReport is the result of one phase.
type PhaseReport struct {
	Name         string         `json:"name"`
	Length       Millis         `json:"length_ms"`
	Ranks        []RankReport   `json:"ranks,omitempty"`
	AddedLatency []AddedLatency `json:"added,omitempty"` // latency that the mesh adds to direct requests
	Edits        *EditReport    `json:"edits,omitempty"`
	NodeUsage    Usage          `json:"nodes"`
	// Arrivals is the number of requests that reached all backend servers,
	// including nested calls and retries. Requests at servers that were killed are
	// not counted.
	Arrivals int64         `json:"arrivals"`
	Platform PlatformUsage `json:"platform"`
	Gates    *GateStats    `json:"gates,omitempty"`
	// OtherCPU is the mean number of cores that other programs on the machine
	// used. Above 0, they may have distorted the measurements.
	OtherCPU         float64          `json:"other_cpu"`
	StolenCPU        float64          `json:"stolen_cpu"`         // mean cores that the hypervisor withheld from runnable processes
	OwnCPU           float64          `json:"own_cpu"`            // mean cores that the load tool and the mesh used
	Messages         map[string]int64 `json:"messages,omitempty"` // control messages sent by all nodes, by kind
	Retries          map[string]int64 `json:"retries,omitempty"`
	GateRefusals     map[string]int64 `json:"gate_refusals,omitempty"` // refusals by admission, by cause
	BrokenInvariants map[string]int64 `json:"invariant_broken,omitempty"`
	Errors           []string         `json:"failed,omitempty"` // errors of the experiment itself
}

// RankReport summarizes the requests of one rank that were sent with the same Via.
type RankReport struct {
	Rank           mesh.Rank      `json:"rank"`
	Via            Via            `json:"via"`
	Target         Millis         `json:"target_ms"`
	Offered        int            `json:"offered"`
	InTime         int            `json:"in_time"`
	Late           int            `json:"late"`
	Refused        map[string]int `json:"refused,omitempty"` // by kind
	Failed         map[string]int `json:"failed,omitempty"`  // by status
	Unknown        map[string]int `json:"unknown,omitempty"` // by reason
	Broken         map[string]int `json:"broken,omitempty"`
	Unsent         int            `json:"unsent,omitempty"`
	Retries        int            `json:"retries,omitempty"` // by the round-robin client
	Rate           float64        `json:"rate"`              // offered per second
	Goodput        float64        `json:"goodput"`           // answered in time, per second
	InTimeShare    float64        `json:"share"`             // answered in time, as a share of those offered
	CapacityShare  float64        `json:"capacity"`          // Goodput as a share of the capacity of all backend servers
	Worth          float64        `json:"worth"`             // of requests answered in time, per second
	Latency        Quantiles      `json:"latency"`           // from the intended start
	FromSent       Quantiles      `json:"from_sent"`         // from the actual sending
	InTimeBySecond []float64      `json:"seconds,omitempty"` // answered in time, for each second of the phase

	latency *hdrhistogram.Histogram
}

// Millis is a duration in milliseconds.
type Millis float64

func millis(d time.Duration) Millis { return Millis(float64(d) / float64(time.Millisecond)) }

// Quantiles holds quantiles of a duration in milliseconds.
type Quantiles struct {
	Count int64  `json:"count"`
	P50   Millis `json:"p50_ms"`
	P90   Millis `json:"p90_ms"`
	P99   Millis `json:"p99_ms"`
	P999  Millis `json:"p999_ms"`
	Max   Millis `json:"max_ms"`
}

// quantiles returns the quantiles of h, whose values are in microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) Millis {
		return millis(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: millis(time.Duration(h.Max()) * time.Microsecond),
	}
}

// AddedLatency is the difference between the latency quantiles of mesh and direct
// requests of one rank in one phase.
type AddedLatency struct {
	Rank         mesh.Rank `json:"rank"`
	FromIntended Quantiles `json:"intended"`
	FromSent     Quantiles `json:"from_sent"`
}

func (q Quantiles) sub(o Quantiles) Quantiles {
	return Quantiles{
		Count: q.Count, P50: q.P50 - o.P50, P90: q.P90 - o.P90, P99: q.P99 - o.P99, P999: q.P999 - o.P999, Max: q.Max - o.Max,
	}
}

// EditReport summarizes the edits of a phase.
type EditReport struct {
	Accepted     int       `json:"accepted"`
	Failed       int       `json:"failed"` // refused, or not active on all nodes before the timeout
	Errors       []string  `json:"errors,omitempty"`
	Committed    Quantiles `json:"committed"`        // from the sending of the accept request until its response
	Active       Quantiles `json:"active,omitempty"` // from the sending of the accept request until all nodes serve the edit
	activeMillis []float64 // values of Active
}

// Usage is the resource usage of nodes in a phase. Nodes that started during the
// phase are excluded.
type Usage struct {
	NodeCount  int              `json:"counted"`
	Sent       MeanMax          `json:"sent"`     // control bytes/s
	Received   MeanMax          `json:"received"` // control bytes/s
	SentByKind map[string]int64 `json:"kinds"`    // control bytes sent/s by kind, mean of all nodes
	CPU        MeanMax          `json:"cpu"`      // percent of a core
	RSS        MeanMax          `json:"rss"`      // MB at the end of the phase
	Heap       MeanMax          `json:"heap"`     // MB at the end of the phase
}

// MeanMax holds the mean and the highest value of all nodes.
type MeanMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// add accumulates one of n values.
func (s *MeanMax) add(v float64, n int) {
	s.Mean += v / float64(n)
	s.Max = max(s.Max, v)
}

// GateStats summarizes the state of the gates in a phase, sampled each second.
type GateStats struct {
	Limit    float64 `json:"limit"`     // mean concurrency limit
	MinLimit float64 `json:"least"`     // lowest concurrency limit of any gate
	InFlight float64 `json:"in_flight"` // mean
	Queued   float64 `json:"queued"`    // mean
}

// PlatformUsage counts the requests to the platform in a phase.
type PlatformUsage struct {
	Reads      int64            `json:"reads"`
	Writes     int64            `json:"writes"`
	PeakReads  float64          `json:"peak_reads"` // highest rate between two samples, per second
	PeakWrites float64          `json:"peak_writes"`
	Ops        map[string]int64 `json:"ops"` // requests by operation
}

func newRankReport(t *tally, length time.Duration, capacity float64) RankReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := RankReport{
		Rank: t.rank, Via: t.via, Target: millis(t.target),
		Offered: t.offered, InTime: t.inTime, Late: t.late,
		Refused: t.refused, Failed: t.failed, Unknown: t.unknown, Broken: t.broken, Unsent: t.unsent, Retries: t.retries,
		Rate:    float64(t.offered) / length.Seconds(),
		Goodput: float64(t.inTime) / length.Seconds(),
		Worth:   float64(t.inTime) * t.worth / length.Seconds(),
		Latency: quantiles(t.latency), FromSent: quantiles(t.fromSent),
		InTimeBySecond: t.seconds, latency: t.latency,
	}
	if t.offered > 0 {
		r.InTimeShare = float64(t.inTime) / float64(t.offered)
	}
	if capacity > 0 {
		r.CapacityShare = r.Goodput / capacity
	}
	return r
}

// addedLatencies returns the added latency of each rank whose requests were sent
// both through the mesh and directly.
func addedLatencies(rs []RankReport) []AddedLatency {
	var out []AddedLatency
	for _, m := range rs {
		for _, d := range rs {
			if m.Via == ViaMesh && d.Via == ViaDirect && m.Rank == d.Rank {
				out = append(out, AddedLatency{m.Rank, m.Latency.sub(d.Latency), m.FromSent.sub(d.FromSent)})
			}
		}
	}
	return out
}

func newEditReport(es []editResult, observed bool) *EditReport {
	r := &EditReport{}
	committed, active := newHistogram(), newHistogram()
	for _, e := range es {
		if e.Err != nil {
			r.Failed++
			if len(r.Errors) < 5 {
				r.Errors = append(r.Errors, e.Err.Error())
			}
			continue
		}
		r.Accepted++
		recordDuration(committed, e.Committed)
		if observed {
			recordDuration(active, e.Active)
			r.activeMillis = append(r.activeMillis, float64(millis(e.Active)))
		}
	}
	r.Committed, r.Active = quantiles(committed), quantiles(active)
	return r
}

// newUsage returns the resource usage of the nodes between two samples.
func newUsage(from, to sample) Usage {
	u := Usage{SentByKind: make(map[string]int64)}
	before := make(map[int]nodeSample)
	for i, b := range to.nodes {
		if a, ok := from.nodes[i]; ok && a.pid == b.pid {
			before[i] = a
		}
	}
	u.NodeCount = len(before)
	const percent, mb = 100, 1 << 20
	kinds := make(map[string]float64)
	for i, a := range before {
		b := to.nodes[i]
		secs := b.at.Sub(a.at).Seconds()
		u.Sent.add(float64(sum(b.sent)-sum(a.sent))/secs, u.NodeCount)
		u.Received.add(float64(sum(b.received)-sum(a.received))/secs, u.NodeCount)
		u.CPU.add((b.cpu-a.cpu).Seconds()/secs*percent, u.NodeCount)
		u.RSS.add(float64(b.rss)/mb, u.NodeCount)
		u.Heap.add(float64(b.heap)/mb, u.NodeCount)
		for k := range b.sent {
			kinds[k] += float64(b.sent[k]-a.sent[k]) / secs / float64(u.NodeCount)
		}
	}
	for k, v := range kinds {
		u.SentByKind[k] = int64(v + 0.5)
	}
	return u
}

// counterIncrease returns the increase of counters between two samples, summed
// over all nodes.
func counterIncrease(from, to sample, counters func(nodeSample) map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for i, b := range to.nodes {
		a := from.nodes[i]
		for k, v := range counters(b) {
			if a.pid == b.pid {
				v -= counters(a)[k]
			}
			if v != 0 {
				d[k] += v
			}
		}
	}
	return d
}
