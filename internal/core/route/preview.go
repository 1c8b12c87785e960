package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// previewDraws is the number of choices that a Preview makes. Choices are random, so that
// one alone would not show where requests go.
const previewDraws = 100

// Preview says how requests of one kind would be placed now.
type Preview struct {
	Candidates []Candidate // sorted by id
	Full       float64     // share of the choices that refuse the request, since all endpoints are full
	FreeIn     time.Duration
	None       float64 // share of the choices that find no endpoint
}

// Candidate is an endpoint as a choice sees it.
type Candidate struct {
	EndpointInfo
	Requests  float64       // estimated to be in flight and waiting there
	ReportAge time.Duration // of the reported load, negative without a report
	Finish    time.Duration // expected time of the request there; 0 if unknown
	Room      bool
	Chosen    float64 // share of the choices
	Excluded  string  // why it is not chosen, "" if it is or may be
}

// PreviewByFinish returns how PickByFinish would place requests. It counts none, and an
// endpoint that may have only one request at a time is not taken.
func (p *Picker) PreviewByFinish(s mesh.Service, req FinishRequest, now time.Time) Preview {
	predict := func(svc *service, c *Candidate, e *Endpoint) {
		base, mix := svc.usualTimes(&req)
		f := e.predict(base, mix, now)
		c.Requests, _ = e.presentRequests(now)
		c.Finish, c.Room = time.Duration(f.finish+p.zoneLatency(e, &req)), f.room
	}
	return p.preview(s, req.Rank, now, predict, func(svc *service) Choice {
		return p.decideByFinish(svc, &req, nil, now)
	})
}

// PreviewFor is PreviewByFinish for PickFor.
func (p *Picker) PreviewFor(s mesh.Service, req Requirements, now time.Time) Preview {
	predict := func(_ *service, c *Candidate, e *Endpoint) {
		c.Requests, c.Room = e.estimatedRequests(now), !e.overloaded(req.Rank, now)
		if req.Target > 0 {
			c.Finish = e.expectedLatency(req, now)
		}
	}
	return p.preview(s, req.Rank, now, predict, func(svc *service) Choice {
		return Choice{Endpoint: p.decide(svc, req, nil, now)}
	})
}

func (p *Picker) preview(s mesh.Service, rank mesh.Rank, now time.Time, predict func(*service, *Candidate, *Endpoint), decide func(*service) Choice) Preview {
	var v Preview
	svc := p.service(s)
	if svc == nil {
		v.None = 1
		return v
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.rebuildAt.IsZero() && !now.Before(svc.rebuildAt) {
		svc.partition(p.zone, now)
	}
	full, none, chosen := 0, 0, make(map[*Endpoint]int)
	for range previewDraws {
		switch c := decide(svc); {
		case c.Full:
			full++
			v.FreeIn = c.FreeIn
		case c.Endpoint == nil:
			none++
		default:
			chosen[c.Endpoint]++
		}
	}
	v.Full, v.None = float64(full)/previewDraws, float64(none)/previewDraws
	for _, e := range svc.all {
		c := Candidate{EndpointInfo: e.info(rank, now), ReportAge: -1, Chosen: float64(chosen[e]) / previewDraws}
		if !e.load.reportedAt.IsZero() {
			c.ReportAge = max(now.Sub(e.load.reportedAt), 0)
		}
		predict(svc, &c, e)
		if c.Chosen == 0 {
			c.Excluded = p.exclusion(e, &c, now)
		}
		v.Candidates = append(v.Candidates, c)
	}
	slices.SortFunc(v.Candidates, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	return v
}

// exclusion returns why e, which no choice took, was not chosen.
func (p *Picker) exclusion(e *Endpoint, c *Candidate, now time.Time) string {
	switch c.Eligibility {
	case eligibleClosed:
		return "takes no requests: " + c.State + ", " + c.Status
	case eligibleDraining:
		return "its gate refused as draining; held back for " + until(e.drainedUntil, now)
	case eligibleCautious:
		return "not healthy; tried only if most endpoints are not"
	case eligibleYielding:
		return "its node is about to stop; chosen only if no other endpoint is left"
	case eligibleEjected:
		return "ejected for failures or slowness; held back for " + until(e.ejectedUntil, now)
	case eligibleProbing:
		if e.inflight > 0 {
			return "ejected before; one request at a time, and one is in flight"
		}
	}
	switch {
	case !c.Room:
		return fmt.Sprintf("no room: %.1f requests for %d slots", c.Requests, c.Slots)
	case e.unservedShare(now) >= minUnserved:
		return fmt.Sprintf("its backend server refuses or fails %.0f%% of requests", 100*e.unservedShare(now))
	case e.Zone != p.zone:
		return "in another zone"
	}
	return "others are preferred"
}

func until(t, now time.Time) string { return t.Sub(now).Round(time.Millisecond).String() }
