package caller

import (
	"math/rand/v2"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// fullJitter is the largest part by which the retry delay of a request is prolonged
	// that was refused because all endpoints are full. Callers that are refused together
	// should not come back together.
	fullJitter = 0.5
	// freeSlotLoad is the load per slot up to which a request is taken not to have waited
	// for a slot, if the gate reports it with the response.
	freeSlotLoad = 1
)

// placesByFinish reports whether the configuration in force places requests by their
// expected end.
func (c *Caller) placesByFinish() bool {
	t := c.table.Load()
	return t != nil && t.Snapshot().Placement == config.PlaceByFinish
}

// placesByFinish reports whether q is placed by its expected end.
func (q *call) placesByFinish() bool { return q.table.Snapshot().Placement == config.PlaceByFinish }

// pick returns an endpoint for q, or nil.
func (c *Caller) pick(q *call, req route.Requirements, now time.Time) *route.Endpoint {
	if !q.placesByFinish() {
		return c.picker.PickFor(q.service, req, q.tried, now)
	}
	f := c.zones.flow(zoneKey{q.service, q.baseRank()})
	choice := c.picker.PickByFinish(q.service, c.finishRequest(q, req, f, now), q.tried, now)
	if choice.Full {
		q.full = c.fullRefusal(q, choice.FreeIn, now)
		c.counts.refusedFull.Add(string(q.service), 1)
	}
	if choice.Endpoint != nil {
		f.addWork(c.picker.MeanServiceTime(q.service, req.Rank, req.Target))
	}
	return choice.Endpoint
}

// finishRequest returns what a choice by the expected end needs to know of q, whose shares of
// other zones are in f.
func (c *Caller) finishRequest(q *call, req route.Requirements, f *flow, now time.Time) route.FinishRequest {
	return route.FinishRequest{
		Requirements: req, Route: q.route.Name, Left: q.deadline.Sub(now),
		Shares: f.current(), Latency: zoneLatency, Cost: c.zones.cost(q.route.Name), Refused: q.overloaded,
	}
}

// fullRefusal returns the refusal of q while no endpoint can end it in time.
func (c *Caller) fullRefusal(q *call, freeIn time.Duration, now time.Time) *fault.Error {
	e := fault.New(fault.Overloaded, "no endpoint is expected to end the request before its deadline")
	if !q.callerDeadline.IsZero() {
		e.RetryAfter = fullDelay(freeIn, q.callerDeadline.Sub(now), rand.Float64())
	}
	return e
}

// fullDelay returns the retry delay of a request if the first slot becomes free after
// freeIn. The argument random is in [0,1).
func fullDelay(freeIn, remaining time.Duration, random float64) time.Duration {
	d := max(time.Duration(float64(freeIn)*(1+fullJitter*random)), minSlack)
	return min(d, time.Duration(maxRetryDelayFraction*float64(remaining)))
}

// untilFree returns the retry delay d of q, prolonged until an endpoint is expected to have a
// free slot, if r is a refusal for load.
func (c *Caller) untilFree(q *call, r refusal, d time.Duration) time.Duration {
	if q.route == nil || !q.placesByFinish() || r.kind != fault.Overloaded && r.kind != fault.Throttled {
		return d
	}
	longest := time.Duration(maxRetryDelayFraction * float64(r.remaining))
	return max(d, min(c.picker.FreeIn(q.service, time.Now()), longest))
}

// addReports adds to h what this node knows of the load of endpoints. Gates of other zones
// do not get it, since the bytes would cost more than the knowledge is worth there.
func (c *Caller) addReports(q *call, a *attempt, h http.Header) {
	if !q.placesByFinish() || a.endpoint.Zone != c.cfg.Zone {
		return
	}
	if b := c.AppendReports(nil); len(b) > 0 {
		h[mesh.ReportsHeader] = []string{string(b)}
	}
}

// AppendReports appends what this node knows of the load of endpoints, for other nodes.
func (c *Caller) AppendReports(dst []byte) []byte { return c.picker.AppendReports(dst, time.Now()) }

// ReadReports records what another node knows of the load of endpoints.
func (c *Caller) ReadReports(header string) { c.picker.ReadReports(header, time.Now()) }

// ReportOwn records the load per slot of the backend server next to this node, and the share of
// requests that it refuses or fails.
func (c *Caller) ReportOwn(load, unserved float64) {
	c.picker.ReportOwn(c.cfg.ID, load, unserved, time.Now())
}

// ObserveOwn records that the backend server next to this node took d for a request of a
// route that did not wait for a slot.
func (c *Caller) ObserveOwn(route string, d time.Duration) {
	if e := c.picker.Own(c.cfg.ID); e != nil {
		c.picker.ObserveTime(e, route, d, true, time.Now())
	}
}

// recordReports records what the header of the response to a reports about the load of its
// gate.
func (c *Caller) recordReports(q *call, a *attempt, resp *http.Response) {
	now := a.started.Add(a.latency)
	if p := resp.Header.Get(mesh.PressureHeader); p != "" {
		c.picker.ReportPressure(a.endpoint, p, now)
	}
	if l := resp.Header.Get(mesh.LoadHeader); l != "" {
		c.picker.ReportLoad(a.endpoint, q.rank(), l, now)
	}
	if !q.placesByFinish() {
		return
	}
	c.zones.recordBytes(q, a, resp)
	if refusalOf(resp) == nil && resp.StatusCode < http.StatusBadRequest && c.picker.LoadOf(a.endpoint) <= freeSlotLoad {
		c.picker.ObserveTime(a.endpoint, q.route.Name, a.latency, false, now)
	}
}
