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
	// loadDecayTime is the time constant of the exponential decay of a reported
	// load. Gates report their load with every response.
	loadDecayTime = time.Second
	// localTargetShare is the share of the target up to which the expected
	// latency of an endpoint in the local availability zone is accepted: a lower
	// one in another zone would not make the response worth more.
	localTargetShare = 0.75
	// assumedServiceShare is the share of the target that is assumed as service
	// time before any endpoint has reported one.
	assumedServiceShare = 0.25
	// warmingFactor is the assumed service time of a warming endpoint, as a
	// multiple of that of the others, until it has reported one.
	warmingFactor = 2
	// minUnserved is the share of requests that a backend server does not serve from which
	// it is reported.
	minUnserved = 0.02
)

// ZoneSpill says when an endpoint outside the local availability zone may be
// chosen.
type ZoneSpill uint8

// The values of ZoneSpill.
const (
	SpillOnLoad        ZoneSpill = iota // the local zone is preferred, others may be chosen if it is loaded
	SpillWhenExhausted                  // another zone only if the local one has no endpoint left
	SpillWhenEmpty                      // another zone only if the local one has none at all
)

// Requirements describes what a request needs from an endpoint.
type Requirements struct {
	Rank   mesh.Rank
	Target time.Duration // latency within which the response has its full worth; 0 chooses by load alone
	Spill  ZoneSpill
}

// maxReported bounds the numbers of a load report, in requests per slot and in
// milliseconds. Conversions of floats out of range differ between processors.
const maxReported = 1e7

// loadReport is the load that a gate last reported.
type loadReport struct {
	utilization  float64 // requests in flight and waiting per slot
	ownInflight  int     // requests of this node in flight there at reportedAt
	reportedAt   time.Time
	serviceTimes []rankServiceTime
}

// rankServiceTime is the mean time that requests of a rank hold a slot.
type rankServiceTime struct {
	rank mesh.Rank
	mean time.Duration
}

// FormatLoad returns the value of a Lavenderrill-Load header: requests in flight
// and waiting per slot, the mean time that requests of the rank of the response
// hold a slot, and the share of requests that the backend server refuses or
// fails, unless it is small.
func FormatLoad(utilization float64, serviceTime time.Duration, unserved float64) string {
	b := make([]byte, 0, 40)
	b = append(b, "busy="...)
	b = strconv.AppendFloat(b, utilization, 'f', 2, 64)
	b = append(b, ",work="...)
	b = strconv.AppendInt(b, serviceTime.Milliseconds(), 10)
	if unserved >= minUnserved {
		b = append(b, ",unserved="...)
		b = strconv.AppendFloat(b, unserved, 'f', 2, 64)
	}
	return string(b)
}

// ReportLoad records the load that the gate of e sent with a response to a
// request of the given rank. Invalid items are ignored: load is a hint.
func (p *Picker) ReportLoad(e *Endpoint, rank mesh.Rank, header string, now time.Time) {
	e.svc.mu.Lock()
	defer e.svc.mu.Unlock()
	p.remember(e)
	e.finish.unserved, e.finish.unservedAt = 0, now
	for header != "" {
		var item string
		item, header, _ = strings.Cut(header, ",")
		name, value, _ := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxReported) {
			continue
		}
		switch name {
		case "busy":
			e.load.utilization, e.load.ownInflight, e.load.reportedAt = v, e.inflight, now
			e.svc.addZoneLoad(e.Zone, v)
		case "work":
			e.setServiceTime(rank, time.Duration(v*float64(time.Millisecond)))
		case "unserved":
			e.finish.unserved = min(v, 1)
		}
	}
}

// MeanServiceTime returns the mean time that requests of rank take at the
// endpoints of s that reported it, or an assumed share of target if none did.
func (p *Picker) MeanServiceTime(s mesh.Service, rank mesh.Rank, target time.Duration) time.Duration {
	svc := p.service(s)
	if svc == nil {
		return time.Duration(assumedServiceShare * float64(target))
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.meanServiceTime(rank, target)
}

// meanServiceTime is MeanServiceTime with the lock held.
func (s *service) meanServiceTime(rank mesh.Rank, target time.Duration) time.Duration {
	var sum time.Duration
	n := 0
	s.eachOpen(func(e *Endpoint) bool {
		if d, ok := e.serviceTime(rank); ok {
			sum += d
			n++
		}
		return n < maxCompared
	})
	if n == 0 {
		return time.Duration(assumedServiceShare * float64(target))
	}
	return sum / time.Duration(n)
}

// serviceTime returns the time that requests of rank take at e, if e reported
// one.
func (e *Endpoint) serviceTime(rank mesh.Rank) (time.Duration, bool) {
	for i := range e.load.serviceTimes {
		if st := &e.load.serviceTimes[i]; st.rank == rank {
			return st.mean, true
		}
	}
	return 0, false
}

func (e *Endpoint) setServiceTime(rank mesh.Rank, d time.Duration) {
	for i := range e.load.serviceTimes {
		if st := &e.load.serviceTimes[i]; st.rank == rank {
			st.mean = d
			return
		}
	}
	if len(e.load.serviceTimes) < maxRanks {
		e.load.serviceTimes = append(e.load.serviceTimes, rankServiceTime{rank, d})
	}
}

// estimatedRequests returns the estimated number of requests in flight and
// waiting at e: the number last reported, adjusted by what this node has sent
// and received back since. It decays to what this node has in flight there.
func (e *Endpoint) estimatedRequests(now time.Time) float64 {
	if e.load.reportedAt.IsZero() {
		return float64(e.inflight)
	}
	weight := math.Exp(-max(now.Sub(e.load.reportedAt), 0).Seconds() / loadDecayTime.Seconds())
	reported := e.load.utilization*e.slots + float64(e.inflight-e.load.ownInflight)
	return weight*max(reported, 0) + (1-weight)*float64(e.inflight)
}

// expectedLatency returns the expected latency of a request with requirements
// req at e: its service time there plus the wait for a slot.
func (e *Endpoint) expectedLatency(req Requirements, now time.Time) time.Duration {
	serviceTime, ok := e.serviceTime(req.Rank)
	if !ok {
		serviceTime = e.svc.meanServiceTime(req.Rank, req.Target)
		if e.state == member.Warming {
			serviceTime *= warmingFactor
		}
	}
	ahead := e.estimatedRequests(now) + 1 - e.slots
	return serviceTime + time.Duration(max(ahead, 0)/e.slots*float64(serviceTime))
}

// fasterOfTwo returns the endpoint with the lower expected latency of two random
// ones of es. If both are equal within a tenth, it returns the one with fewer
// requests per slot.
func (p *Picker) fasterOfTwo(es []*Endpoint, req Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	a := p.drawUsable(es, tried, nil)
	if a == nil || len(es) == 1 {
		return a
	}
	b := p.drawUsable(es, tried, a)
	if b == nil {
		return a
	}
	const tieTolerance = 0.1
	ta, tb := float64(a.expectedLatency(req, now)), float64(b.expectedLatency(req, now))
	if math.Abs(ta-tb) <= tieTolerance*max(ta, tb) {
		if b.estimatedRequests(now)/b.slots < a.estimatedRequests(now)/a.slots {
			return b
		}
		return a
	}
	if tb < ta {
		return b
	}
	return a
}

// chooseByLatency returns an open endpoint for a request with a target, or nil.
func (p *Picker) chooseByLatency(svc *service, req Requirements, tried []*Endpoint, now time.Time) *Endpoint {
	e := p.fasterOfTwo(svc.local, req, tried, now)
	if req.Spill != SpillOnLoad && e != nil {
		return e
	}
	acceptable := time.Duration(localTargetShare * float64(req.Target))
	if e != nil && e.expectedLatency(req, now) <= acceptable {
		return e
	}
	r := p.fasterOfTwo(svc.remote, req, tried, now)
	if e == nil || r != nil && r.expectedLatency(req, now) < e.expectedLatency(req, now) {
		return r
	}
	return e
}
