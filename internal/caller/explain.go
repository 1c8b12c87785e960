package caller

import (
	"cmp"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/core/zone"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxCandidates bounds the endpoints of one explanation, about 300 bytes each.
const maxCandidates = 64

// Explain returns how a request would be routed now and why. It calls the functions that
// decide on requests, sends nothing, and changes nothing that they depend on or count.
func (c *Caller) Explain(in client.ExplainRequest) client.Explanation {
	q := &call{arrived: time.Now()}
	var x client.Explanation
	e := c.explainRoute(q, &in, &x)
	if e == nil {
		e = c.explainQuota(q, &x)
		c.explainThrottle(q, &x)
		c.explainEarly(q, &x)
		c.explainPlacing(q, &x)
	}
	if e != nil {
		x.Outcomes = []client.Outcome{{Share: 1, Refusal: c.explainRefusal(q, e)}}
	}
	if !slices.ContainsFunc(x.Outcomes, func(o client.Outcome) bool { return o.Endpoint != "" }) {
		x.Refusal = x.Outcomes[0].Refusal
	}
	return x
}

// explainRoute decides what precedes the admission of a request: route, client account, rank
// and deadline.
func (c *Caller) explainRoute(q *call, in *client.ExplainRequest, x *client.Explanation) *fault.Error {
	if e := c.unavailable(); e != nil {
		return e
	}
	if e := c.explainedRequest(q, in); e != nil {
		return e
	}
	if _, e := c.selectRoute(q); e != nil {
		if q.table != nil {
			x.Version = q.table.Snapshot().Version
		}
		return e
	}
	x.Version, x.Route, x.RouteRate = q.table.Snapshot().Version, q.route.Name, q.route.Rate
	if e := explainService(q, in.Service, x); e != nil {
		return e
	}
	e := c.explainAccount(q, in)
	x.Service, x.Account, x.Rank, x.Deadline = q.service, q.account, q.rank(), client.Duration(q.deadline.Sub(q.arrived))
	if e != nil {
		return e
	}
	c.explainOrigin(q)
	x.Nested = q.origin == originCall
	return q.expired()
}

// explainedRequest sets the request of q.
func (c *Caller) explainedRequest(q *call, in *client.ExplainRequest) *fault.Error {
	r, err := http.NewRequest(in.Method, in.Path, nil)
	if err != nil {
		var u *url.Error
		if errors.As(err, &u) {
			err = u.Err // the rest repeats the path
		}
		return fault.Newf(fault.BadRequest, "%w", err)
	}
	r.Host = in.Host
	if in.Deadline < 0 {
		return fault.New(fault.BadRequest, "deadline is negative")
	}
	if in.Account != "" && in.KeyDigest != nil {
		return fault.New(fault.BadRequest, "both a client account and a key are given")
	}
	if in.Account != "" || in.KeyDigest != nil {
		r.Header["Authorization"] = []string{""} // its presence tells calls from requests of clients
	}
	if in.Deadline > 0 {
		q.deadline = q.arrived.Add(time.Duration(in.Deadline))
		q.callerDeadline = q.deadline
	}
	q.in = r
	if e := hop.ValidateRequest(r, 0); e != nil {
		return e
	}
	return refuseTrace(r)
}

// explainService replaces the service of q, which is drawn by weight, by s or by that with
// the greatest weight.
func explainService(q *call, s mesh.Service, x *client.Explanation) *fault.Error {
	greatest := -1
	for _, o := range q.route.Split {
		x.Split = append(x.Split, client.ServiceWeight{Service: o.Service, Weight: o.Weight})
		if s == "" && o.Weight > greatest || o.Service == s {
			q.service, greatest = o.Service, o.Weight
		}
	}
	if s != "" && q.service != s {
		return fault.Newf(fault.BadRequest, "route %s does not lead to service %q", q.route.Name, s)
	}
	return nil
}

// explainAccount is authenticate for an account that is named or identified by the digest of
// its key.
func (c *Caller) explainAccount(q *call, in *client.ExplainRequest) *fault.Error {
	s := q.table.Snapshot()
	if in.Account != "" && s.Account(in.Account) == nil {
		return fault.New(fault.NotFound, "no client account of this name is identified by API keys") // the name may be a key by mistake
	}
	if len(s.ClientAccounts) == 0 {
		return nil
	}
	account, known := in.Account, in.Account != ""
	if in.KeyDigest != nil {
		account, known = s.Keys.AccountOf(*in.KeyDigest)
	}
	return q.setAccount(account, known)
}

// explainOrigin is recognizeCall for a request on a connection that nothing is known of.
func (c *Caller) explainOrigin(q *call) {
	switch {
	case !c.tracksDemand(q):
	case len(q.table.Snapshot().ClientAccounts) > 0:
		q.origin = q.originByKey()
	case c.cfg.Demand.Nested(q.route.Name, q.arrived):
		q.origin = originCall
	}
}

// explainQuota returns the refusal of a request whose client account has no credit.
func (c *Caller) explainQuota(q *call, x *client.Explanation) *fault.Error {
	p, limit := c.accountLimit(q)
	if p == nil {
		return nil
	}
	v := c.cfg.Shares.Preview(p.Name, limit, q.arrived)
	x.Quota = &client.Quota{
		Decision: client.QuotaAdmitted, Limit: client.Limit(limit), Share: client.Limit(v.Share),
		Credit: v.Credit, Owner: v.Owner, Fallback: v.Fallback, Nodes: v.Nodes,
	}
	switch {
	case v.Waits:
		x.Quota.Decision = client.QuotaWaits
	case !v.Allowed:
		x.Quota.Decision = client.QuotaRefused
		return accountRefusal(q, v.Retry)
	}
	return nil
}

func (c *Caller) explainThrottle(q *call, x *client.Explanation) {
	c.selectThrottle(q)
	t := &client.Throttle{Key: q.throttle, Share: c.throttles.Share(q.service, q.throttle, q.arrived), Pressure: c.pressure(q)}
	if !q.isUnthrottled() && t.Pressure >= throttlePressure {
		t.Refused = t.Share
	}
	x.Throttle = t
}

// explainEarly explains what the gate of this node, if it has one of the service, refuses
// because of the calls that requests need.
func (c *Caller) explainEarly(q *call, x *client.Explanation) {
	if !c.tracksDemand(q) || q.origin == originCall || c.cfg.Service() != q.service {
		return
	}
	share, reason, needed := c.cfg.Demand.EarlyShare(q.route.Name, q.rank(), q.arrived)
	if reason != demand.Admitted {
		x.Early = &client.EarlyRefusal{Share: share, Reason: string(reason), Service: needed}
	}
}

// explainPlacing explains which endpoints are chosen, and sets the outcomes.
func (c *Caller) explainPlacing(q *call, x *client.Explanation) {
	v := c.preview(q, x)
	slices.SortFunc(v.Candidates, func(a, b route.Candidate) int {
		return cmp.Or(cmp.Compare(b.Chosen, a.Chosen), cmp.Compare(c.zoneOrder(a.Zone), c.zoneOrder(b.Zone)), cmp.Compare(a.ID, b.ID))
	})
	sent := 1 - x.Throttle.Refused
	for i := range v.Candidates {
		e := &v.Candidates[i]
		if e.Chosen > 0 {
			x.Outcomes = append(x.Outcomes, client.Outcome{Share: sent * e.Chosen, Endpoint: e.ID, Zone: e.Zone})
		}
		if i < maxCandidates {
			x.Candidates = append(x.Candidates, explainCandidate(e, q.service))
		}
	}
	x.Omitted = len(v.Candidates) - len(x.Candidates)
	refuse := func(share float64, e *fault.Error) {
		if share > 0 {
			x.Outcomes = append(x.Outcomes, client.Outcome{Share: share, Refusal: c.explainRefusal(q, e)})
		}
	}
	refuse(x.Throttle.Refused, throttledRefusal())
	refuse(sent*v.Full, c.fullRefusal(q, v.FreeIn, q.arrived))
	refuse(sent*v.None, noEndpointRefusal())
	slices.SortStableFunc(x.Outcomes, func(a, b client.Outcome) int { return cmp.Compare(b.Share, a.Share) })
}

// preview returns how pick would place q, and explains the zones.
func (c *Caller) preview(q *call, x *client.Explanation) route.Preview {
	req := c.requirements(q)
	if !q.placesByFinish() {
		return c.picker.PreviewFor(q.service, req, q.arrived)
	}
	var f *flow // none if this node has sent no such request lately
	if v, ok := c.zones.flows.Load(zoneKey{q.service, q.baseRank()}); ok {
		f = v.(*flow)
	}
	n := c.finishRequest(q, req, f, q.arrived)
	x.Zones = explainZones(c.cfg.Zone, &n, f)
	return c.picker.PreviewByFinish(q.service, n, q.arrived)
}

func explainZones(home mesh.AvailabilityZone, n *route.FinishRequest, f *flow) *client.Zones {
	z := &client.Zones{Home: home, Shares: []client.ZoneShare{}, ByteCost: client.Duration(n.Cost)}
	for _, s := range n.Shares {
		z.Shares = append(z.Shares, client.ZoneShare(s))
	}
	var in *zone.Input
	if f != nil {
		in = f.input.Load()
	}
	if in == nil {
		return z
	}
	z.Inputs = &client.ZoneInputs{Latency: client.Duration(in.Latency), ByteCost: client.Duration(in.Cost), Deciders: in.Deciders, Demand: in.Demand}
	for _, l := range in.Loads {
		z.Inputs.Loads = append(z.Inputs.Loads, client.ZoneLoad{
			Zone: l.Zone, Slots: l.Slots, Busy: l.Busy, Finish: client.Duration(l.Finish), Age: client.Duration(l.Age),
		})
	}
	return z
}

func explainCandidate(e *route.Candidate, s mesh.Service) client.Candidate {
	out := client.Candidate{
		Endpoint: client.Endpoint{Node: e.ID, Zone: e.Zone, Service: s, State: e.State, Status: e.Status},
		Use:      e.Eligibility, InFlight: e.InFlight, Slots: e.Slots, Pressure: e.Pressure, Requests: e.Requests,
		Finish: client.Duration(e.Finish), Room: e.Room, Chosen: e.Chosen, Excluded: e.Excluded,
	}
	if e.ReportAge >= 0 {
		age := client.Duration(e.ReportAge)
		out.ReportAge = &age
	}
	return out
}

// zoneOrder is lower for the zone of this node than for others.
func (c *Caller) zoneOrder(z mesh.AvailabilityZone) int {
	if z == c.cfg.Zone {
		return 0
	}
	return 1
}

// explainRefusal returns e as refuse would write it to the caller of q.
func (c *Caller) explainRefusal(q *call, e *fault.Error) client.Refusal {
	e = c.withRetryDelay(q, e)
	w := &headerRecorder{header: make(http.Header)}
	c.cfg.Refuse(w, e, "")
	return client.Refusal{
		Kind: string(e.Kind), Reason: e.Reason, Run: string(e.Run), Status: w.status, RetryAfter: w.header.Get("Retry-After"),
	}
}

// headerRecorder records the header of a response.
type headerRecorder struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *headerRecorder) Header() http.Header { return w.header }

// Write implements http.ResponseWriter.
func (w *headerRecorder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (w *headerRecorder) WriteHeader(status int) { w.status = status }
