package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// call is one forwarded request at the gate.
type call struct {
	admit.Ticket
	id         mesh.RequestID
	callID     string
	attempt    string
	service    mesh.Service
	route      string
	origin     string // value of mesh.OriginHeader
	started    bool   // running, as recorded in Config.Demand
	admittedAt time.Time
	decided    chan struct{} // receives one value when the queued ticket is admitted or refused

	endpoint mesh.Addr
	instance mesh.Instance
	pools    *hop.Pools
	bulk     bool
	latency  time.Duration // time to the response header, 0 if it does not indicate load

	exchange   hop.Exchange
	status     int    // of the response of the backend server, 0 if there was none
	answeredID string // request that the response names
	mayHaveRun bool   // the backend server may have received the request
	refused    bool   // the backend server reported that it did not run the request

	request     *http.Request // as received
	queuedBytes int64         // of its body that were read while it was queued

	onNotRun func() // called before a response that reports not run; may be nil
	turn     turn

	// The fields below are guarded by Gate.mu.
	senderEnd time.Time       // as notified after the request was sent; zero if it was not
	paced     []io.ReadCloser // bodies of c that use the link
}

// HopHandler returns the handler of requests that other nodes forward. They must
// be authenticated before they reach it.
func (g *Gate) HopHandler() http.Handler { return http.HandlerFunc(g.serve) }

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(mesh.WantHeader) == mesh.WantEnd {
		g.serveEndNotice(w, r)
		return
	}
	c, e := g.newCall(r)
	g.addActive(c)
	defer g.removeActive(c)
	// Without this deadline, a caller that stops reading would hold its slot
	// forever. It is set for every request, since net/http keeps it for the next
	// request of the connection. The error is ignored, since a test recorder has
	// no connection.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(bodyGrace))
	if e == nil && g.conf.Paused != nil && g.conf.Paused() {
		e = fault.New(fault.Overloaded, "the process was paused, and the request may be outdated")
	}
	if e == nil {
		e = hop.ValidateRequest(r, g.conf.MaxBody)
	}
	if e != nil {
		g.refuse(w, c, e)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	body := hop.LimitBody(w, r, g.conf.MaxBody)
	r = r.WithContext(ctx)
	body = g.pacedRequestBody(ctx, c, r, body)
	defer hop.ReleaseLink(body) // net/http closes only the body that it has passed
	r.Body = body
	if e := g.readBody(w, r, c); e != nil {
		g.refuse(w, c, e)
		return
	}
	cl, e := g.claim(ctx, c, r)
	switch {
	case e != nil:
		g.refuse(w, c, e)
	case cl == nil:
		if e := g.process(ctx, w, r, c); e != nil {
			g.refuse(w, c, e)
		}
	case cl.response != nil:
		g.replay(w, c, cl.response)
	default:
		g.processClaimed(ctx, w, r, c, cl)
	}
}

// process waits for admission of c, forwards it and writes the response to w. If
// it returns an error, nothing was written to w.
func (g *Gate) process(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	c.request = r
	defer g.releaseQueuedBody(c)
	if e := g.acquireTurn(ctx, c); e != nil {
		return e
	}
	defer g.releaseSlot(c)
	resp, e := g.forwardCounted(ctx, c, r)
	g.recordServed(c, e)
	if e != nil {
		if c.mayHaveRun {
			n := *e
			n.Sent = true
			e = &n
		}
		return e
	}
	defer func() { resp.Body.Close() }()
	if err := hop.ReadSmallResponse(resp); err != nil {
		return g.brokenBody(ctx, c, err)
	}
	if c.bulk {
		n, err := g.bufferBody(resp)
		if err != nil {
			return g.brokenBody(ctx, c, err)
		}
		if n > 0 {
			defer g.finishBuffered(n)
			g.releaseSlotEarly(c)
		}
	}
	if c.bulk && !fromSameVM(r) {
		resp.Body = g.paceBody(ctx, c, g.conf.Pacer, resp.Body, resp.ContentLength)
	}
	g.writeResponse(w, r, c, resp)
	return nil
}

// maxBufferedBytes limits the bulk response bodies that a gate holds in memory.
const maxBufferedBytes = 8 << 20

// bufferBody reads the body of a bulk response into memory if its length is known
// and maxBufferedBytes allows it, and returns the number of buffered bytes. The
// backend server is then done, however long the transfer over the link takes, and
// a request whose body was truncated can be retried.
func (g *Gate) bufferBody(resp *http.Response) (int64, error) {
	n := resp.ContentLength
	if n <= 0 || n > maxBufferedBytes || resp.Body == http.NoBody || g.conf.Pacer == nil {
		return 0, nil
	}
	if g.bufferedBytes.Add(n) > maxBufferedBytes {
		g.bufferedBytes.Add(-n)
		return 0, nil
	}
	b := make([]byte, n)
	_, err := io.ReadFull(resp.Body, b)
	resp.Body.Close()
	if err != nil {
		g.bufferedBytes.Add(-n)
		return 0, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return n, nil
}

// releaseSlotEarly releases the slot of c before its buffered response is sent.
func (g *Gate) releaseSlotEarly(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bufferedResponses++
	g.endTicket(time.Now(), c, c.latency)
}

// finishBuffered records that a buffered body of n bytes was sent.
func (g *Gate) finishBuffered(n int64) {
	g.bufferedBytes.Add(-n)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bufferedResponses--
	g.signalIdle()
}

// fromSameVM reports whether r was sent from this VM, so that the response does
// not use the link.
func fromSameVM(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return false
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && local.IP.Equal(net.ParseIP(host))
}

// responseBodyRefusal returns the refusal of a request whose response body could
// not be read completely, before any of it was written to the caller.
func (g *Gate) responseBodyRefusal(ctx context.Context, err error) *fault.Error {
	if ctx.Err() != nil {
		return contextRefusal(ctx.Err(), fault.RunUnknown)
	}
	return fault.Newf(fault.OutcomeUnknown, "backend server: %w", err)
}

// processClaimed is process for a request that holds a claim.
func (g *Gate) processClaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, cl *claim) {
	// Deferred, so that it also finishes the claim when writeResponse panics
	// because the body was truncated.
	defer g.claims.finish(cl, claimOutcomeUnknown, nil)
	captured := &captureWriter{ResponseWriter: w}
	c.onNotRun = func() { g.claims.release(ctx, cl) }
	if e := g.process(ctx, captured, r, c); e != nil {
		if e.Run == fault.NotRun {
			c.onNotRun()
		}
		g.refuse(w, c, e)
		return
	}
	if s := captured.storedResponse(); s != nil {
		g.claims.finish(cl, claimStored, s)
	}
}

// replay answers c, a repeat, with the stored response of the first request.
func (g *Gate) replay(w http.ResponseWriter, c *call, s *storedResponse) {
	h := w.Header()
	for k, vs := range s.header {
		h[k] = vs
	}
	h.Set(mesh.RequestHeader, string(c.id))
	g.setLoadHeaders(w, c)
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}

// newCall returns the call that the headers of a forwarded request describe. The
// call is usable even if there is an error.
func (g *Gate) newCall(r *http.Request) (*call, *fault.Error) {
	h := r.Header
	c := &call{
		id:      mesh.RequestID(h.Get(mesh.RequestHeader)),
		callID:  h.Get(mesh.CallHeader),
		attempt: h.Get(mesh.AttemptHeader),
		service: mesh.Service(h.Get(mesh.ServiceHeader)),
		route:   h.Get(mesh.RouteHeader),
		origin:  h.Get(mesh.OriginHeader),
	}
	c.Rank = mesh.Rank(h.Get(mesh.RankHeader))
	c.Account = mesh.ClientAccount(h.Get(mesh.AccountHeader))
	c.Data = c
	c.Deadline = time.Now().Add(g.conf.MaxDeadline)
	if c.id == "" {
		return c, fault.Newf(fault.BadRequest, "header %s is missing", mesh.RequestHeader)
	}
	left := g.conf.MaxDeadline
	if s := h.Get(mesh.DeadlineHeader); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return c, fault.Newf(fault.BadRequest, "header %s: %q is not a number of milliseconds", mesh.DeadlineHeader, s)
		}
		left = min(time.Duration(min(ms, int64(left/time.Millisecond)))*time.Millisecond, left)
	}
	if left <= 0 {
		return c, fault.New(fault.DeadlineExceeded, "deadline passed before the gate")
	}
	c.Deadline = time.Now().Add(left)
	if ms, err := strconv.ParseInt(h.Get(mesh.TargetHeader), 10, 64); err == nil {
		c.Target = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if ms, err := strconv.ParseInt(h.Get(mesh.StartHeader), 10, 64); err == nil {
		c.AdmitBy = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if ms, err := strconv.ParseInt(h.Get(mesh.EndHeader), 10, 64); err == nil {
		c.EndBy = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	return c, nil
}

// acquireSlot waits for admission of c. If it returns nil, releaseSlot must be
// called.
func (g *Gate) acquireSlot(ctx context.Context, c *call) *fault.Error {
	now := time.Now()
	c.decided = make(chan struct{}, 1)
	g.mu.Lock()
	if e := g.checkAvailable(c); e != nil {
		g.mu.Unlock()
		return e
	}
	g.applySnapshot(now)
	if e := g.classify(now, c); e != nil {
		g.mu.Unlock()
		return e
	}
	c.EndBy = c.end()
	c.endpoint, c.instance = g.endpoint.addr, g.endpoint.instance
	c.pools, c.bulk = g.endpoint.pools, g.isBulk(c.Rank)
	if f := g.conf.MaxRequests; f != nil {
		g.machine.SetMaxTotal(f())
	}
	g.wakeDecided(g.machine.Offer(now, &c.Ticket))
	state := c.State()
	if state == admit.Admitted {
		g.recordAdmission(now, c)
	}
	g.mu.Unlock()
	if state == admit.Queued {
		g.readQueuedBody(c)
		if e := g.awaitDecision(ctx, c); e != nil {
			return e
		}
	}
	if e := c.Refusal(); e != nil {
		return e
	}
	return nil
}

// awaitDecision waits until the queued c is admitted or refused, or until ctx
// ends. In the latter case c is canceled and the refusal returned.
func (g *Gate) awaitDecision(ctx context.Context, c *call) *fault.Error {
	select {
	case <-c.decided:
		return nil
	case <-ctx.Done():
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.machine.Cancel(now, &c.Ticket) && c.State() == admit.Admitted {
		g.endTicket(now, c, 0)
		g.signalIdle()
	}
	return contextRefusal(ctx.Err(), fault.NotRun)
}

// contextRefusal returns the refusal of a request whose context ended with err.
func contextRefusal(err error, run fault.RunState) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "deadline passed").WithRun(run)
	}
	return fault.New(fault.Canceled, "the caller went away").WithRun(run)
}

// wakeDecided wakes the requests that the machine admitted or refused. g.mu must
// be held.
func (g *Gate) wakeDecided(ts []*admit.Ticket) {
	for _, t := range ts {
		c := t.Data.(*call)
		if t.State() == admit.Admitted {
			g.recordAdmission(time.Now(), c)
		}
		c.decided <- struct{}{}
	}
}

// recordAdmission counts an admission and checks the invariants of admission.
// g.mu must be held.
func (g *Gate) recordAdmission(now time.Time, c *call) {
	g.metrics.admitted.Add(string(c.Rank), 1)
	g.recordStart(now, c)
	if g.machine.InFlight() > g.machine.Limit(now) {
		g.metrics.registry.InvariantBroken("gate_in_flight_above_limit")
	}
	if g.machine.Draining() {
		g.metrics.registry.InvariantBroken("gate_admitted_while_draining")
	}
}

// releaseSlot releases the slot of c. After releaseSlotEarly it has no effect on
// the slot.
func (g *Gate) releaseSlot(c *call) {
	g.mu.Lock()
	g.release(time.Now(), c)
	g.signalIdle()
	g.mu.Unlock()
}

// applySnapshot applies the rank policies of a new configuration to the machine.
// g.mu must be held.
func (g *Gate) applySnapshot(now time.Time) {
	s := g.conf.Snapshot()
	if s == nil || s == g.snapshot {
		return
	}
	g.snapshot = s
	g.wakeDecided(g.machine.SetRanks(now, g.admissionRanks(s)))
}

// isBulk reports whether r is a bulk rank. As in admission, a rank that the
// configuration lacks is treated as the least urgent one. g.mu must be held.
func (g *Gate) isBulk(r mesh.Rank) bool {
	if g.snapshot == nil || len(g.snapshot.Ranks) == 0 {
		return false
	}
	i, ok := g.snapshot.RankIndex(r)
	if !ok {
		g.metrics.unknownRank.Add(1)
		i = len(g.snapshot.Ranks) - 1
	}
	return g.snapshot.Ranks[i].Bulk
}

// forward sends the admitted c to the backend server.
func (g *Gate) forward(ctx context.Context, c *call, r *http.Request) (*http.Response, *fault.Error) {
	g.metrics.queueWait.record(c.Rank, c.Waited())
	if g.recentAttempts.markSeen(attempt{c.id, c.callID, c.attempt}) {
		g.metrics.registry.InvariantBroken("gate_attempt_run_twice")
	}
	out := hop.OutgoingRequest(r, c.endpoint)
	out.Header.Del(mesh.HopHeader)
	left := time.Until(c.Deadline)
	out.Header.Set(mesh.DeadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if f := g.conf.Dialect.Request; f != nil {
		f(out.Header, c.instance)
	}
	start := time.Now()
	var foreign *fault.Error
	resp, x, err := c.pools.TransportFor(c.bulk).RoundTripChecked(ctx, out, func(resp *http.Response, x hop.Exchange) error {
		if foreign = g.checkOwner(c, resp, x); foreign != nil {
			return foreign
		}
		return nil
	})
	c.exchange = x
	c.mayHaveRun = x.Sent == hop.MayHaveRun
	switch {
	case foreign != nil:
		g.recordResponse(c.endpoint)
		return nil, foreign
	case err != nil:
		return nil, g.roundTripRefusal(ctx, c, x.Sent, err)
	}
	latency := time.Since(start)
	g.recordResponse(c.endpoint)
	resp, e := g.checkResponse(c, resp)
	if e == nil && resp.StatusCode < http.StatusInternalServerError {
		// Errors, and answers to other requests, arrive sooner than those to completed
		// work and would set a baseline that is too low.
		c.latency = latency
	}
	return resp, e
}

// roundTripRefusal returns the refusal of a request that failed before its
// response header was received.
func (g *Gate) roundTripRefusal(ctx context.Context, c *call, sent hop.SendStatus, err error) *fault.Error {
	run := fault.RunUnknown
	if sent == hop.NothingSent {
		run = fault.NotRun
	}
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return fault.Newf(fault.BodyTooLarge, "limit is %d bytes", big.Limit).WithRun(run)
	case ctx.Err() != nil:
		return contextRefusal(ctx.Err(), run)
	case errors.Is(err, hop.ErrReadRequest):
		return fault.Newf(fault.Canceled, "the caller broke off: %w", err).WithRun(run)
	}
	if run == fault.NotRun && !c.exchange.Aborted {
		g.recordConnectionFailure(c.endpoint)
	}
	g.log.Debug("connection to the backend server failed", zap.Error(err), zap.String("run", string(run)))
	if run == fault.NotRun {
		return fault.Newf(fault.NoEndpoint, "no connection to the backend server: %w", err)
	}
	return fault.Newf(fault.OutcomeUnknown, "the backend server did not answer: %w", err)
}

// checkOwner translates resp, which was received in x, and returns a refusal unless it
// is known to belong to c.
func (g *Gate) checkOwner(c *call, resp *http.Response, x hop.Exchange) *fault.Error {
	if f := g.conf.Dialect.Response; f != nil {
		f(resp)
	}
	c.status, c.answeredID = resp.StatusCode, resp.Header.Get(mesh.RequestHeader)
	notRun := fault.RunState(resp.Header.Get(fault.RunHeader)) == fault.NotRun
	g.metrics.recordAnswer(c, notRun)
	e := foreignRefusal(resp.Header.Values(mesh.RequestHeader), c.id, x, notRun, g.conf.Dialect.EchoesID)
	if e == nil && notRun && g.rejections.markSeen(rejection{x.Conn, c.id}) {
		e = fault.New(fault.OutcomeUnknown, "the rejection may be a copy of that of an earlier attempt")
	}
	return e
}

// checkResponse returns resp, which belongs to c, or a refusal if it cannot be forwarded.
func (g *Gate) checkResponse(c *call, resp *http.Response) (*http.Response, *fault.Error) {
	if resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		return nil, fault.Newf(fault.OutcomeUnknown, "the backend server answered with status %d", resp.StatusCode)
	}
	if f := g.conf.Dialect.Refusal; f != nil {
		if e := f(resp); e != nil {
			c.refused = e.Run == fault.NotRun
			resp.Body.Close()
			return nil, e
		}
	}
	return resp, nil
}

// statesNotRun reports whether resp is a refusal of a backend server that uses the
// headers of the mesh.
func statesNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(fault.RunHeader) == string(fault.NotRun)
}

// writeResponse writes resp to w. If the body is truncated, it logs the reason and
// breaks off the response, which panics.
func (g *Gate) writeResponse(w http.ResponseWriter, r *http.Request, c *call, resp *http.Response) {
	h := resp.Header
	removeReports(h)
	if statesNotRun(resp) {
		if h.Get(fault.KindHeader) == "" {
			h.Set(fault.KindHeader, string(fault.Overloaded))
		}
		g.metrics.refused.Add("backend_server", 1)
		if c.onNotRun != nil {
			c.onNotRun()
		}
	} else {
		h.Del(fault.KindHeader)
		h.Del(fault.RunHeader)
	}
	h.Set(mesh.RequestHeader, string(c.id))
	g.setLoadHeaders(w, c)
	if err := hop.CopyResponse(w, resp); err != nil {
		g.metrics.aborted.Add(1)
		g.log.Info("response interrupted", zap.String("request", string(c.id)), zap.String("attempt", c.attempt),
			zap.Int("status", resp.StatusCode), zap.Object("connection", c.exchange),
			hop.LinkField(resp.Body), zap.String("to", r.RemoteAddr), zap.Error(err))
		hop.Abort(r)
	}
	if u, _ := hop.LinkUsageOf(resp.Body); u.Wait >= loggedLinkWait {
		g.log.Info("response waited for the link", zap.String("request", string(c.id)), zap.String("attempt", c.attempt),
			zap.String("to", r.RemoteAddr), hop.LinkField(resp.Body))
	}
	if c.latency > 0 {
		g.metrics.serviceTime.record(c.Rank, c.latency)
	}
}

// loggedLinkWait is the wait for the link from which a response is logged.
const loggedLinkWait = 100 * time.Millisecond

// refuse answers c with e.
func (g *Gate) refuse(w http.ResponseWriter, c *call, e *fault.Error) {
	g.metrics.recordRefusal(e)
	if e.Run == fault.NotRun && c.mayHaveRun && !c.refused {
		g.metrics.registry.InvariantBroken("gate_false_not_run")
	}
	g.logRefusal(c, e)
	w.Header().Set(mesh.RequestHeader, string(c.id))
	g.setLoadHeaders(w, c)
	fault.Write(w, e, c.id)
}

// logRefusal logs refusal e of c. The message contains the kind, because log
// lines are sampled by message.
func (g *Gate) logRefusal(c *call, e *fault.Error) {
	ce := g.log.Check(zap.InfoLevel, "request refused at the gate: "+string(e.Kind))
	if ce == nil {
		return
	}
	now := time.Now()
	g.mu.Lock()
	inFlight, queued, limit := g.machine.InFlight(), g.machine.Queued(), g.machine.Limit(now)
	state, instance := g.endpointState(), g.endpoint.instance
	g.mu.Unlock()
	fields := []zap.Field{
		zap.String("request", string(c.id)), zap.String("attempt", c.attempt), zap.String("run", string(e.Run)),
		zap.String("reason", e.Reason), zap.String("rank", string(c.Rank)), zap.String("service", string(c.service)),
		zap.Duration("left", c.Deadline.Sub(now)), zap.Int("in_flight", inFlight), zap.Int("queued", queued),
		zap.Int("limit", limit), zap.Stringer("endpoint", state), zap.String("instance", string(instance)),
	}
	if c.exchange.Conn != 0 {
		fields = append(fields, zap.Object("connection", c.exchange), zap.Int("status", c.status), zap.String("answered", c.answeredID))
	}
	ce.Write(fields...)
}
