package caller

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// origin says where a request comes from.
type origin uint8

const (
	originUnknown origin = iota
	originClient         // not from the backend server next to this node
	originCall           // nested call of the backend server next to this node
)

type demandConnKey struct{}

// connContext is for http.Server.ConnContext. It adds what is learned of a connection.
func (c *Caller) connContext(ctx context.Context, nc net.Conn) context.Context {
	ctx = hop.ConnContext(ctx, nc)
	if c.cfg.Demand == nil {
		return ctx
	}
	return context.WithValue(ctx, demandConnKey{}, new(demand.Conn))
}

// tracksDemand reports whether nested calls are recognized for q.
func (c *Caller) tracksDemand(q *call) bool {
	return c.cfg.Demand != nil && q.table.Snapshot().Placement == config.PlaceByFinish
}

// recognizeCall sets the origin of q. In a configuration with client accounts, a request
// without a key on a public route is a nested call; otherwise the route is compared with
// what was learned of it.
func (c *Caller) recognizeCall(ctx context.Context, q *call) (context.Context, error) {
	if !c.tracksDemand(q) {
		return ctx, nil
	}
	s := q.table.Snapshot()
	if len(s.ClientAccounts) > 0 {
		q.origin = q.originByKey()
	} else {
		conn, _ := ctx.Value(demandConnKey{}).(*demand.Conn)
		outside, nested := c.cfg.Demand.Arrived(q.route.Name, conn, q.arrived)
		switch {
		case outside:
			q.origin = originClient
		case nested:
			q.origin = originCall
		}
	}
	if q.origin == originCall {
		c.counts.nested.Add("recognized", 1)
		c.cfg.Demand.CallStarted(q.service, q.arrived)
	}
	return ctx, nil
}

// originByKey returns the origin of q in a configuration with client accounts.
func (q *call) originByKey() origin {
	if q.route.Public && len(q.in.Header["Authorization"]) == 0 {
		return originCall
	}
	return originClient
}

// forwardObserved is forward that records how a nested call ends.
func (c *Caller) forwardObserved(ctx context.Context, q *call) (*attempt, error) {
	a, err := c.forward(ctx, q)
	if q.origin != originCall {
		return a, err
	}
	succeeded := err == nil && a.resp.StatusCode < http.StatusInternalServerError
	if !succeeded && q.canceled() {
		return a, err // the request that made the call has ended, which says nothing of the service
	}
	out := demand.CallSucceeded
	switch {
	case succeeded:
	case q.sentAttempts > 0:
		out = demand.CallFailed
		c.counts.nested.Add("failed", 1)
	default:
		out = demand.CallRefused
		c.counts.nested.Add("refused", 1)
	}
	c.cfg.Demand.CallEnded(q.service, out, q.report, time.Now())
	return a, err
}

// refusedEarly reports whether the gate of a refused q since the calls that it needs
// would likely fail.
func (q *call) refusedEarly(a *attempt) bool {
	return a.fault.Kind == fault.Throttled && q.table.Snapshot().Placement == config.PlaceByFinish
}

// setOptionalHeaders sets the headers that not all requests to gates carry.
func (c *Caller) setOptionalHeaders(h http.Header, q *call, a *attempt) {
	if left, ok := c.targetLeft(q, a.started); ok {
		h[mesh.TargetHeader] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	}
	if by := c.stopBy.Load(); by != nil {
		left := []string{strconv.FormatInt(max(by.Add(-stopMargin).Sub(a.started), 0).Milliseconds(), 10)}
		h[mesh.StartHeader], h[mesh.EndHeader] = left, left // gates of earlier versions know only the first
	}
	switch q.origin {
	case originClient:
		h[mesh.OriginHeader] = []string{mesh.OriginClient}
	case originCall:
		h[mesh.OriginHeader] = []string{mesh.OriginCall}
	}
}

// readDemand reads what a gate reports about nested calls with its response h to a.
func (c *Caller) readDemand(q *call, a *attempt, h http.Header) {
	if !c.tracksDemand(q) {
		return
	}
	q.report = demand.Report{Shortage: demand.ParseShortage(h.Get(mesh.ShortageHeader)), Needs: demand.ParseNeeds(h.Get(mesh.NeedsHeader))}
	if h.Get(mesh.OriginHeader) == mesh.OriginCall && q.origin != originCall {
		c.cfg.Demand.Told(q.route.Name, a.started.Add(a.latency))
	}
}
