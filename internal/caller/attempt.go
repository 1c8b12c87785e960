package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxRefusalBody bounds the bytes read from the body of a refusal.
const maxRefusalBody = 4 << 10

// attempt is one request to one endpoint and its outcome: either a response or
// a fault.
type attempt struct {
	endpoint *route.Endpoint
	number   int
	started  time.Time
	latency  time.Duration // until the response header
	exchange hop.Exchange
	ticket   *connTicket // while a uses a connection, else nil

	resp       *http.Response
	fault      *fault.Error
	replayable bool // the body can be sent again
}

// try sends q to the endpoint of a and records the outcome. A failed attempt
// has been reported to the picker when try returns; otherwise a.resp must be
// closed and finish called.
func (c *Caller) try(ctx context.Context, q *call, a *attempt) {
	if e := c.queues.acquire(ctx, q, a, c.targetOf(q, a.started)); e != nil {
		c.refuseUnsent(ctx, q, a, e)
		return
	}
	queued := time.Since(a.started)
	a.started = a.started.Add(queued) // what is left of the time of q is counted from here
	var r *bodyReader
	if q.hasBody {
		r = q.body.open()
	}
	if c.stopBy.Load() == nil {
		c.pending.add(a, q.nonce) // before outgoing, which then sets the end or not
	}
	out := c.outgoing(q, a, r)
	var mismatch error
	resp, x, err := c.pools.transportFor(q.route.Policy.Bulk, c.connLimits()).RoundTripChecked(ctx, out, func(resp *http.Response, _ hop.Exchange) error {
		if got := resp.Header.Get(mesh.RequestHeader); got != string(q.id) {
			mismatch = fmt.Errorf("response names request %q", got)
		}
		return mismatch
	})
	x.Wait += queued
	a.exchange = x
	a.latency = time.Since(a.started)
	a.replayable = r == nil || r.seal()
	var outcome route.Outcome
	switch {
	case mismatch != nil:
		outcome = c.handleIDMismatch(q, a, mismatch)
	case err != nil:
		outcome = c.classifyError(ctx, q, a, x.Sent, err)
	default:
		outcome = c.classifyResponse(q, a, resp)
	}
	if a.fault != nil {
		c.finish(q, a, outcome)
	}
}

// refuseUnsent records the refusal e of a, which was not sent since this node has too many
// requests in flight to its gate. This says nothing of the endpoint.
func (c *Caller) refuseUnsent(ctx context.Context, q *call, a *attempt, e *fault.Error) {
	a.fault, a.replayable = e, true
	a.exchange = hop.Exchange{Sent: hop.NothingSent, Wait: time.Since(a.started)}
	if e == errConnWaitEnded {
		c.classifyError(ctx, q, a, hop.NothingSent, e)
	} else {
		c.counts.refusedUnsent.Add(string(q.service), 1)
	}
	c.finish(q, a, route.Canceled)
}

// finish gives back the connection of a, reports its outcome to the picker and logs an
// ejection.
func (c *Caller) finish(q *call, a *attempt, o route.Outcome) {
	c.queues.release(a)
	c.pending.remove(a)
	if c.picker.Done(a.endpoint, o, q.rank(), a.latency, time.Now()) {
		c.cfg.Log.Info("endpoint ejected",
			zap.String("endpoint", string(a.endpoint.ID)),
			zap.String("service", string(a.endpoint.Service)))
	}
}

// outgoing returns the request that a sends to its gate.
func (c *Caller) outgoing(q *call, a *attempt, r *bodyReader) *http.Request {
	out := hop.OutgoingRequest(q.in, a.endpoint.Addr)
	h := out.Header
	delete(h, "Expect")
	h["Via"] = append(h["Via"], via)
	c.addReports(q, a, h)
	if r != nil {
		out.Body = r
		if q.body.rest == nil && len(q.in.Trailer) == 0 {
			out.ContentLength = int64(len(q.body.buf))
		}
		if q.sendsBodyOnDemand() {
			h["Expect"] = continueValue
		}
	}
	if q.resume != nil {
		q.resume.setRange(h)
	}
	remaining := max(q.deadline.Sub(a.started).Milliseconds(), 1)
	vs := [...]string{
		c.cfg.HopToken,
		string(q.id),
		q.nonce,
		strconv.FormatInt(remaining, 10),
		strconv.Itoa(a.number),
		strconv.Itoa(q.depth + 1),
		strconv.FormatUint(uint64(q.table.Snapshot().Version), 10),
		string(q.rank()),
		string(q.account),
		string(q.service),
		q.route.Name,
		string(c.cfg.Service()),
	}
	c.setOptionalHeaders(h, q, a)
	for i, k := range hopHeaderNames {
		h[k] = vs[i : i+1 : i+1]
	}
	return out
}

// via is the Via header field that RFC 9110 section 7.6.3 requires of gateways.
const via = "1.1 lavenderrill"

var continueValue = []string{"100-continue"}

// hopHeaderNames lists the headers that outgoing sets, in canonical form and in
// the order of its values.
var hopHeaderNames = [...]string{
	mesh.HopHeader,
	mesh.RequestHeader,
	mesh.CallHeader,
	mesh.DeadlineHeader,
	mesh.AttemptHeader,
	mesh.DepthHeader,
	mesh.VersionHeader,
	mesh.RankHeader,
	mesh.AccountHeader,
	mesh.ServiceHeader,
	mesh.RouteHeader,
	mesh.CallerHeader,
}

// classifyError sets the fault of an attempt without a response and returns its
// outcome.
func (c *Caller) classifyError(ctx context.Context, q *call, a *attempt, sent hop.SendStatus, err error) route.Outcome {
	run := fault.RunUnknown
	if sent == hop.NothingSent {
		run = fault.NotRun
	}
	bodyErr := q.body.readErr()
	switch {
	case bodyErr != nil:
		a.fault = bodyFault(bodyErr, run)
		return route.Canceled
	case q.canceled():
		a.fault = fault.New(fault.Canceled, "caller went away").WithRun(run)
		return route.Canceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		if run == fault.NotRun {
			a.fault = fault.New(fault.DeadlineExceeded, "deadline passed before the request was sent")
		} else {
			a.fault = fault.New(fault.OutcomeUnknown, "deadline passed before the response")
		}
		if a.latency < slowThreshold(q) {
			return route.Canceled
		}
		return route.Failed
	case ctx.Err() != nil: // another attempt was answered first
		a.fault = fault.New(fault.Canceled, "another attempt was answered").WithRun(run)
		return route.Canceled
	case run == fault.NotRun:
		a.fault = fault.Newf(fault.NoEndpoint, "no connection to the endpoint: %w", err)
	default:
		a.fault = fault.Newf(fault.OutcomeUnknown, "connection to the endpoint broke: %w", err)
	}
	return route.Failed
}

// slowThreshold returns the time without a response after which an attempt
// counts as a failure of its endpoint. Deadlines of a few milliseconds must not
// cause ejections.
func slowThreshold(q *call) time.Duration {
	if t := q.route.Policy.Target; t > 0 {
		return min(t, q.route.Deadline)
	}
	return min(time.Second, q.route.Deadline)
}

// classifyResponse stores the response of a, or sets its fault if the response
// is a refusal.
func (c *Caller) classifyResponse(q *call, a *attempt, resp *http.Response) route.Outcome {
	c.recordReports(q, a, resp)
	c.readDemand(q, a, resp.Header)
	e := refusalOf(resp)
	if resp.StatusCode < http.StatusOK {
		e = fault.New(fault.OutcomeUnknown, "endpoint switched protocols")
	}
	if e == nil {
		a.resp = resp
		return route.Success
	}
	defer resp.Body.Close()
	readReason(e, resp.Body)
	a.fault = e
	a.latency = 0 // a fast refusal must not lower the latency of the endpoint
	return outcomeOf(e)
}

// outcomeOf returns the outcome for the endpoint whose gate refused with e.
func outcomeOf(e *fault.Error) route.Outcome {
	switch e.Kind {
	case fault.Draining:
		if e.ThisOnly {
			return route.Success
		}
		return route.Drained
	case fault.OutcomeUnknown, fault.Internal, fault.NoEndpoint, fault.NotReady:
		return route.Failed
	case fault.DeadlineExceeded:
		if e.Run == fault.RunUnknown {
			return route.Failed // the backend server received the request
		}
	case fault.Canceled:
		return route.Canceled
	}
	return route.Success
}

// handleIDMismatch handles a response with another request id.
func (c *Caller) handleIDMismatch(q *call, a *attempt, err error) route.Outcome {
	c.cfg.Metrics.InvariantBroken("request_id")
	c.cfg.Log.Error("response carries another request id",
		zap.String("request", string(q.id)), zap.Error(err),
		zap.String("endpoint", string(a.endpoint.ID)), zap.Object("connection", a.exchange))
	a.fault = fault.New(fault.OutcomeUnknown, "endpoint answered another request")
	return route.Failed
}

// refusalOf returns the refusal that resp carries, or nil. A 503 without a kind
// that is marked as not run counts as overload.
func refusalOf(resp *http.Response) *fault.Error {
	if e := fault.FromHeader(resp.Header); e != nil {
		return e
	}
	if resp.StatusCode == http.StatusServiceUnavailable && fault.RunState(resp.Header.Get(fault.RunHeader)) == fault.NotRun {
		return fault.New(fault.Overloaded, "backend server did not run the request")
	}
	return nil
}

// readReason sets the reason of e from the body of a refusal.
func readReason(e *fault.Error, r io.Reader) {
	b, err := io.ReadAll(io.LimitReader(r, maxRefusalBody))
	if err != nil {
		return
	}
	var body fault.Body
	if json.Unmarshal(b, &body) == nil && body.Reason != "" {
		e.Reason = body.Reason
	}
}
