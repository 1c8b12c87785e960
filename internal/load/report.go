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
	Capacity    float64       `json:"capacity"` // requests/s of all backend servers; 0 without any
	StartupTime Millis        `json:"start_ms"` // from the first process until all nodes are ready
	Phases      []PhaseReport `json:"phases"`
}

// PhaseReport is the result of one phase.
type PhaseReport struct {
	Name         string         `json:"name"`
	Length       Millis         `json:"length_ms"`
	Ranks        []RankReport   `json:"ranks,omitempty"`
	AddedLatency []AddedLatency `json:"added,omitempty"` // of pairs of mesh and direct
	Edits        *EditReport    `json:"edits,omitempty"`
	NodeUsage    Usage          `json:"nodes"`
	// Arrivals is the number of requests at all backend servers, nested calls
	// and retries included. It misses those of servers that were killed.
	Arrivals int64         `json:"arrivals"`
	Platform PlatformUsage `json:"platform"`
	Gates    *GateStats    `json:"gates,omitempty"`
	// OtherCPU is the mean number of cores that other programs of the machine
	// used. Above 0 they may have disturbed the figures.
	OtherCPU         float64          `json:"other_cpu"`
	StolenCPU        float64          `json:"stolen_cpu"`         // cores that the hypervisor withheld from ready processes
	OwnCPU           float64          `json:"own_cpu"`            // cores of the load tool and the mesh
	Messages         map[string]int64 `json:"messages,omitempty"` // control messages sent by all nodes, by kind
	Retries          map[string]int64 `json:"retries,omitempty"`
	GateRefusals     map[string]int64 `json:"gate_refusals,omitempty"` // refusals by admission, by cause
	BrokenInvariants map[string]int64 `json:"invariant_broken,omitempty"`
	Errors           []string         `json:"failed,omitempty"` // faults of the experiment itself
}

// RankReport is what became of the requests of one rank on one way.
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
	Retries        int            `json:"retries,omitempty"` // of the round-robin client
	Rate           float64        `json:"rate"`              // offered/s
	Goodput        float64        `json:"goodput"`           // answered in time/s
	InTimeShare    float64        `json:"share"`             // answered in time of those offered
	CapacityShare  float64        `json:"capacity"`          // goodput over the capacity of all backend servers
	Worth          float64        `json:"worth"`             // of the answers in time, per second
	Latency        Quantiles      `json:"latency"`           // from the intended start
	FromSent       Quantiles      `json:"from_sent"`         // from the sending
	InTimeBySecond []float64      `json:"seconds,omitempty"` // answered in time, by second

	latency *hdrhistogram.Histogram
}

// Millis is a duration in milliseconds.
type Millis float64

func millis(d time.Duration) Millis { return Millis(float64(d) / float64(time.Millisecond)) }

// Quantiles are quantiles of a time in milliseconds.
type Quantiles struct {
	Count int64  `json:"count"`
	P50   Millis `json:"p50_ms"`
	P90   Millis `json:"p90_ms"`
	P99   Millis `json:"p99_ms"`
	P999  Millis `json:"p999_ms"`
	Max   Millis `json:"max_ms"`
}

// quantiles returns the quantiles of a histogram in microseconds.
func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) Millis {
		return millis(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: millis(time.Duration(h.Max()) * time.Microsecond),
	}
}

// AddedLatency is the difference of the quantiles of mesh and direct requests of one
// rank in one phase.
type AddedLatency struct {
	Rank         mesh.Rank `json:"rank"`
	FromIntended Quantiles `json:"intended"`
	FromSent     Quantiles `json:"from_sent"`
}

func (q Quantiles) minus(o Quantiles) Quantiles {
	return Quantiles{
		Count: q.Count, P50: q.P50 - o.P50, P90: q.P90 - o.P90, P99: q.P99 - o.P99, P999: q.P999 - o.P999, Max: q.Max - o.Max,
	}
}

// EditReport is what became of the edits of a phase.
type EditReport struct {
	Accepted  int       `json:"accepted"`
	Failed    int       `json:"failed"` // refused, or not active everywhere in time
	Errors    []string  `json:"errors,omitempty"`
	Committed Quantiles `json:"committed"`        // from the sending of the accept until its answer
	Active    Quantiles `json:"active,omitempty"` // until all nodes serve it
	times     []float64 // ms, of Active
}

// Usage is what nodes used in a phase, without the nodes that started in it.
type Usage struct {
	NodeCount  int              `json:"counted"`
	Sent       MeanMax          `json:"sent"`     // control bytes/s
	Received   MeanMax          `json:"received"` // control bytes/s
	SentByKind map[string]int64 `json:"kinds"`    // control bytes sent/s by kind, mean
	CPU        MeanMax          `json:"cpu"`      // per cent of a core
	RSS        MeanMax          `json:"rss"`      // MB at the end
	Heap       MeanMax          `json:"heap"`     // MB at the end
}

// MeanMax is the mean and the highest value of all nodes.
type MeanMax struct {
	Mean float64 `json:"mean"`
	Max  float64 `json:"max"`
}

// spread adds one of n values.
func (s *MeanMax) add(v float64, n int) {
	s.Mean += v / float64(n)
	s.Max = max(s.Max, v)
}

// GateStats is the state of the gates in a phase, sampled each second.
type GateStats struct {
	Limit    float64 `json:"limit"`     // mean concurrency limit
	MinLimit float64 `json:"least"`     // lowest concurrency limit of any gate
	InFlight float64 `json:"in_flight"` // mean
	Queued   float64 `json:"queued"`    // mean
}

// PlatformUsage is the use of the platform in a phase, in requests.
type PlatformUsage struct {
	Reads      int64            `json:"reads"`
	Writes     int64            `json:"writes"`
	PeakReads  float64          `json:"peak_reads"` // of one second
	PeakWrites float64          `json:"peak_writes"`
	Ops        map[string]int64 `json:"ops"` // by operation
}

func rankReport(t *tally, length time.Duration, capacity float64) RankReport {
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

// addedOf returns the differences of ranks that went both ways.
func addedOf(rs []RankReport) []AddedLatency {
	var out []AddedLatency
	for _, m := range rs {
		for _, d := range rs {
			if m.Via == ViaMesh && d.Via == ViaDirect && m.Rank == d.Rank {
				out = append(out, AddedLatency{m.Rank, m.Latency.minus(d.Latency), m.FromSent.minus(d.FromSent)})
			}
		}
	}
	return out
}

func editReport(es []edited, observed bool) *EditReport {
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
		record(committed, e.Committed)
		if observed {
			record(active, e.Active)
			r.times = append(r.times, float64(millis(e.Active)))
		}
	}
	r.Committed, r.Active = quantiles(committed), quantiles(active)
	return r
}

// usage returns what the nodes used between two samples.
func usage(from, to sample) Usage {
	u := Usage{SentByKind: make(map[string]int64)}
	same := make(map[int]nodeSample)
	for i, b := range to.nodes {
		if a, ok := from.nodes[i]; ok && a.pid == b.pid {
			same[i] = a
		}
	}
	u.NodeCount = len(same)
	const percent, mb = 100, 1 << 20
	kinds := make(map[string]float64)
	for i, a := range same {
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

// difference returns the sums over all nodes of the growth of counters.
func difference(from, to sample, of func(nodeSample) map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for i, b := range to.nodes {
		a := from.nodes[i]
		for k, v := range of(b) {
			if a.pid == b.pid {
				v -= of(a)[k]
			}
			if v != 0 {
				d[k] += v
			}
		}
	}
	return d
}
