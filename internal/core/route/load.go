package route

import (
	"math"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// loadMemory is the time constant with which a reported load fades. Gates
	// report with every answer.
	loadMemory = time.Second
	// localShare is the share of the target up to which the expected time at an
	// endpoint of the own availability zone is good enough: a shorter one in
	// another zone would not make the answer worth more.
	localShare = 0.75
	// assumedShare is the share of the target that the work is assumed to take
	// before any endpoint has reported.
	assumedShare = 0.25
	// warmingWork is the work of an endpoint that is still slow after its start, as a
	// multiple of that of the others, until it has reported.
	warmingWork = 2
)

// ZoneSpill says in which availability zones an endpoint is looked for.
type ZoneSpill uint8

// The reaches.
const (
	SpillOnLoad        ZoneSpill = iota // the own zone is preferred
	SpillWhenExhausted                  // another zone only if the own one has no endpoint left
	SpillWhenEmpty                      // another zone only if the own one has none at all
)

// Requirements is what a request needs of an endpoint.
type Requirements struct {
	Rank   mesh.Rank
	Target time.Duration // latency within which the answer is of full worth; 0 places by load alone
	Spill  ZoneSpill
}

// load is what a gate last reported, and what has changed since.
type load struct {
	busy float64 // requests in flight and waiting per slot
	own  int     // requests of this node in flight there at that time
	at   time.Time
	work []rankWork
}

// rankWork is the time that requests of a rank take in a slot.
type rankWork struct {
	rank mesh.Rank
	time time.Duration
}

// FormatLoad returns the value of a Lavenderrill-Load header: requests in flight
// and waiting per slot, and the mean time that requests of the rank of the answer
// take in a slot.
func FormatLoad(busy float64, work time.Duration) string {
	b := make([]byte, 0, 24)
	b = append(b, "busy="...)
	b = strconv.AppendFloat(b, busy, 'f', 2, 64)
	b = append(b, ",work="...)
	return string(strconv.AppendInt(b, work.Milliseconds(), 10))
}

// ReportLoad records the load that the gate of e sent with an answer to a request
// of the given rank. Items that are not valid are ignored: load is a hint.
func (p *Picker) ReportLoad(e *Endpoint, rank mesh.Rank, header string, now time.Time) {
	e.svc.mu.Lock()
	defer e.svc.mu.Unlock()
	for header != "" {
		var item string
		item, header, _ = strings.Cut(header, ",")
		name, value, _ := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || v < 0 || math.IsInf(v, 0) || math.IsNaN(v) {
			continue
		}
		switch name {
		case "busy":
			e.load.busy, e.load.own, e.load.at = v, e.inflight, now
		case "work":
			e.setWork(rank, time.Duration(v*float64(time.Millisecond)))
		}
	}
}

// MeanServiceTime returns the mean time that requests of rank take at the endpoints of s that
// reported it, or the assumed share of target if none did.
func (p *Picker) MeanServiceTime(s mesh.Service, rank mesh.Rank, target time.Duration) time.Duration {
	svc := p.service(s)
	if svc == nil {
		return time.Duration(assumedShare * float64(target))
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.meanWork(rank, target)
}

// meanWork is Work with the lock held.
func (s *service) meanWork(rank mesh.Rank, target time.Duration) time.Duration {
	var sum time.Duration
	n := 0
	s.eachOpen(func(e *Endpoint) bool {
		if d, ok := e.work(rank); ok {
			sum += d
			n++
		}
		return n < compareSample
	})
	if n == 0 {
		return time.Duration(assumedShare * float64(target))
	}
	return sum / time.Duration(n)
}

// work returns the time that requests of rank take at e, if it reported one.
func (e *Endpoint) work(rank mesh.Rank) (time.Duration, bool) {
	for i := range e.load.work {
		if w := &e.load.work[i]; w.rank == rank {
			return w.time, true
		}
	}
	return 0, false
}

func (e *Endpoint) setWork(rank mesh.Rank, d time.Duration) {
	for i := range e.load.work {
		if w := &e.load.work[i]; w.rank == rank {
			w.time = d
			return
		}
	}
	if len(e.load.work) < maxRanks {
		e.load.work = append(e.load.work, rankWork{rank, d})
	}
}

// occupied returns the expected number of requests in flight and waiting at e: as
// last reported, changed by what this node has sent and got back since, fading to
// what this node has in flight there.
func (e *Endpoint) occupied(now time.Time) float64 {
	if e.load.at.IsZero() {
		return float64(e.inflight)
	}
	fresh := math.Exp(-max(now.Sub(e.load.at), 0).Seconds() / loadMemory.Seconds())
	reported := e.load.busy*e.slots + float64(e.inflight-e.load.own)
	return fresh*max(reported, 0) + (1-fresh)*float64(e.inflight)
}

// expected returns the time in which e is expected to answer a request of n: its
// work there and the wait for a slot.
func (e *Endpoint) expected(n Requirements, now time.Time) time.Duration {
	work, ok := e.work(n.Rank)
	if !ok {
		work = e.svc.meanWork(n.Rank, n.Target)
		if e.state == member.Warming {
			work *= warmingWork
		}
	}
	ahead := e.occupied(now) + 1 - e.slots
	return work + time.Duration(max(ahead, 0)/e.slots*float64(work))
}

// sooner returns the endpoint of the shorter expected time of two random ones of
// es. Of two that are equal within a tenth, the one with more free slots.
func (p *Picker) sooner(es []*Endpoint, n Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	a := p.draw(es, tried, nil)
	if a == nil || len(es) == 1 {
		return a
	}
	b := p.draw(es, tried, a)
	if b == nil {
		return a
	}
	const equal = 0.1
	ta, tb := float64(a.expected(n, now)), float64(b.expected(n, now))
	if math.Abs(ta-tb) <= equal*max(ta, tb) {
		if b.occupied(now)/b.slots < a.occupied(now)/a.slots {
			return b
		}
		return a
	}
	if tb < ta {
		return b
	}
	return a
}

// byTime chooses for a need with a target.
func (p *Picker) byTime(svc *service, n Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	e := p.sooner(svc.local, n, tried, now)
	if n.Spill != SpillOnLoad && e != nil {
		return e
	}
	enough := time.Duration(localShare * float64(n.Target))
	if e != nil && e.expected(n, now) <= enough {
		return e
	}
	r := p.sooner(svc.remote, n, tried, now)
	if e == nil || r != nil && r.expected(n, now) < e.expected(n, now) {
		return r
	}
	return e
}
