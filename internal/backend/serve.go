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
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// call is one forwarded request at the gate.
type call struct {
	admit.Ticket
	id      mesh.RequestID
	call    string
	attempt string
	service mesh.Service
	route   string
	decided chan struct{} // receives once when a queued ticket is decided

	endpoint mesh.Addr
	instance mesh.Instance
	pools    *hop.Pools
	bulk     bool
	latency  time.Duration // time to the response header, 0 if it says nothing about load

	mayHaveRun bool // the backend server may have the request
	refused    bool // the backend server said that it did not run the request

	notRun func() // called before an answer that says not run; may be nil
}

// HopHandler serves requests that other nodes forward. They must be authenticated.
func (g *Gate) HopHandler() http.Handler { return http.HandlerFunc(g.serve) }

func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	c, e := g.newCall(r)
	// Without it a caller that stops reading would hold its slot for ever. It is
	// set for every request, since net/http keeps it for the next one of the
	// connection. Recorders of tests have no connection to set it on.
	_ = http.NewResponseController(w).SetWriteDeadline(c.Deadline.Add(bodyGrace))
	if e == nil {
		e = hop.ValidateRequest(r, g.conf.MaxBody)
	}
	if e != nil {
		g.refuse(w, c, e)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.Deadline)
	defer cancel()
	if e := g.readBody(w, r, c); e != nil {
		g.refuse(w, c, e)
		return
	}
	cl, e := g.claim(ctx, c, r)
	switch {
	case e != nil:
		g.refuse(w, c, e)
	case cl == nil:
		if e := g.run(ctx, w, r, c); e != nil {
			g.refuse(w, c, e)
		}
	case cl.response != nil:
		g.repeat(w, c, cl.response)
	default:
		g.runClaimed(ctx, w, r, c, cl)
	}
}

// run admits c, forwards it and passes the response on. An error means that
// nothing was written to w.
func (g *Gate) run(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	if e := g.enter(ctx, c); e != nil {
		return e
	}
	defer g.leave(c)
	resp, e := g.forward(ctx, c, r)
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
		return g.cutShort(ctx, err)
	}
	if c.bulk {
		n, err := g.fetch(resp)
		if err != nil {
			return g.cutShort(ctx, err)
		}
		if n > 0 {
			defer g.delivered(n)
			g.deliver(c)
		}
	}
	if c.bulk && c.AdmitBy.IsZero() && !fromSameVM(r) { // a node that stops has no time to wait
		resp.Body = g.conf.Pacer.PaceBody(resp.Body)
	}
	g.answer(w, c, resp)
	return nil
}

// maxFetched bounds the bytes of bulk bodies that a gate holds in memory.
const maxFetched = 8 << 20

// fetch reads the body of a bulk response into memory, if its length is known and there
// is room, and returns the number of bytes that it holds. The backend server is done
// then, however long the body takes over the link, and one that was cut short can be
// asked for again.
func (g *Gate) fetch(resp *http.Response) (int64, error) {
	n := resp.ContentLength
	if n <= 0 || resp.Body == http.NoBody || g.conf.Pacer == nil {
		return 0, nil
	}
	if g.fetched.Add(n) > maxFetched {
		g.fetched.Add(-n)
		return 0, nil
	}
	b := make([]byte, n)
	_, err := io.ReadFull(resp.Body, b)
	resp.Body.Close()
	if err != nil {
		g.fetched.Add(-n)
		return 0, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(b))
	return n, nil
}

// deliver gives the slot of c back while its response is still being passed on.
func (g *Gate) deliver(c *call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivering++
	g.decide(g.machine.Done(time.Now(), &c.Ticket, c.latency))
}

// delivered ends deliver for a body of n bytes.
func (g *Gate) delivered(n int64) {
	g.fetched.Add(-n)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.delivering--
	g.checkIdle()
}

// fromSameVM reports whether r came from the VM that it came to, so that its response
// does not leave over the link.
func fromSameVM(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
	if !ok {
		return false
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	return err == nil && local.IP.Equal(net.ParseIP(host))
}

// cutShort returns the refusal of a request whose response body broke off
// before any of it was passed on.
func (g *Gate) cutShort(ctx context.Context, err error) *fault.Error {
	if ctx.Err() != nil {
		return endOf(ctx.Err(), fault.RunUnknown)
	}
	return fault.Newf(fault.OutcomeUnknown, "backend server: %w", err)
}

// runClaimed is run for a request that holds a claim.
func (g *Gate) runClaimed(ctx context.Context, w http.ResponseWriter, r *http.Request, c *call, cl *claim) {
	// Also ends the claim when answer panics because the body was cut short.
	defer g.claims.finish(cl, claimUnknown, nil)
	kept := &capture{ResponseWriter: w}
	c.notRun = func() { g.claims.release(ctx, cl) }
	if e := g.run(ctx, kept, r, c); e != nil {
		if e.Run == fault.NotRun {
			c.notRun()
		}
		g.refuse(w, c, e)
		return
	}
	if s := kept.stored(); s != nil {
		g.claims.finish(cl, claimStored, s)
	}
}

// repeat answers c with the kept response of the request that it repeats.
func (g *Gate) repeat(w http.ResponseWriter, c *call, s *stored) {
	h := w.Header()
	for k, vs := range s.header {
		h[k] = vs
	}
	h.Set(mesh.RequestHeader, string(c.id))
	g.setPressure(w, c.Rank)
	w.WriteHeader(s.status)
	_, _ = w.Write(s.body)
}

// bodyGrace is the time after its deadline at which a body that is still being
// read from or written to the caller ends. It lets the deadline itself come
// first.
const bodyGrace = 100 * time.Millisecond

// readBody reads a small request body before admission, so that a slow caller
// holds no slot, and bounds the time and the size of a larger one.
func (g *Gate) readBody(w http.ResponseWriter, r *http.Request, c *call) *fault.Error {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	_ = http.NewResponseController(w).SetReadDeadline(c.Deadline.Add(bodyGrace))
	hop.LimitBody(w, r, g.conf.MaxBody)
	if err := hop.ReadSmallRequest(r); err != nil {
		if time.Now().After(c.Deadline) {
			return endOf(context.DeadlineExceeded, fault.NotRun)
		}
		return fault.Newf(fault.BadRequest, "request body: %w", err)
	}
	return nil
}

// newCall reads the headers of a forwarded request.
func (g *Gate) newCall(r *http.Request) (*call, *fault.Error) {
	h := r.Header
	c := &call{
		id:      mesh.RequestID(h.Get(mesh.RequestHeader)),
		call:    h.Get(mesh.CallHeader),
		attempt: h.Get(mesh.AttemptHeader),
		service: mesh.Service(h.Get(mesh.ServiceHeader)),
		route:   h.Get(mesh.RouteHeader),
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
	return c, nil
}

// enter waits for admission. A nil error means that leave must be called.
func (g *Gate) enter(ctx context.Context, c *call) *fault.Error {
	now := time.Now()
	c.decided = make(chan struct{}, 1)
	g.mu.Lock()
	if e := g.available(c); e != nil {
		g.mu.Unlock()
		return e
	}
	g.applySnapshot(now)
	c.endpoint, c.instance = g.endpoint.addr, g.endpoint.instance
	c.pools, c.bulk = g.endpoint.pools, g.isBulk(c.Rank)
	g.decide(g.machine.Offer(now, &c.Ticket))
	state := c.State()
	if state == admit.Admitted {
		g.admitted(now, c)
	}
	g.mu.Unlock()
	if state == admit.Queued {
		if e := g.await(ctx, c); e != nil {
			return e
		}
	}
	if e := c.Refusal(); e != nil {
		return e
	}
	return nil
}

// available returns the refusal of a request that the endpoint cannot take.
func (g *Gate) available(c *call) *fault.Error {
	state := g.endpointState()
	switch {
	case state == member.Draining, g.stopping:
		return fault.New(fault.Draining, "the backend server is draining")
	case state == member.NoEndpoint:
		return fault.New(fault.NoEndpoint, "no backend server has announced itself")
	case c.service != g.endpoint.service:
		return fault.Newf(fault.NoEndpoint, "the backend server is of service %q, not %q", g.endpoint.service, c.service)
	case state == member.Starting:
		return fault.New(fault.NotReady, "the backend server is starting")
	case state == member.Yielding && c.Deadline.After(g.until):
		return fault.New(fault.Draining, "the node beside the backend server stops before the deadline")
	case state == member.Unhealthy:
		return fault.New(fault.NoEndpoint, "the backend server is unhealthy")
	}
	return nil
}

// await waits until the queued c is decided or ctx ends.
func (g *Gate) await(ctx context.Context, c *call) *fault.Error {
	select {
	case <-c.decided:
		return nil
	case <-ctx.Done():
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.machine.Cancel(now, &c.Ticket) && c.State() == admit.Admitted {
		g.decide(g.machine.Done(now, &c.Ticket, 0))
		g.checkIdle()
	}
	return endOf(ctx.Err(), fault.NotRun)
}

// endOf returns the refusal of a request whose context ended with err.
func endOf(err error, run fault.RunState) *fault.Error {
	if errors.Is(err, context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "deadline passed").WithRun(run)
	}
	return fault.New(fault.Canceled, "the caller went away").WithRun(run)
}

// decide wakes the requests that the machine decided. The lock must be held.
func (g *Gate) decide(ts []*admit.Ticket) {
	for _, t := range ts {
		c := t.Data.(*call)
		if t.State() == admit.Admitted {
			g.admitted(time.Now(), c)
		}
		c.decided <- struct{}{}
	}
}

// admitted counts an admission and checks its invariants. The lock must be
// held.
func (g *Gate) admitted(now time.Time, c *call) {
	g.figures.admitted.Add(string(c.Rank), 1)
	if g.machine.InFlight() > g.machine.Limit(now) {
		g.figures.registry.InvariantBroken("gate_in_flight_above_limit")
	}
	if g.machine.Draining() {
		g.figures.registry.InvariantBroken("gate_admitted_while_draining")
	}
}

// leave gives the slot of c back.
func (g *Gate) leave(c *call) {
	g.mu.Lock()
	g.decide(g.machine.Done(time.Now(), &c.Ticket, c.latency))
	g.checkIdle()
	g.mu.Unlock()
}

// applySnapshot gives the rank policies of a new configuration to the machine.
func (g *Gate) applySnapshot(now time.Time) {
	s := g.conf.Snapshot()
	if s == nil || s == g.snapshot {
		return
	}
	g.snapshot = s
	g.decide(g.machine.SetRanks(now, s.Ranks))
}

// isBulk reports whether r is a bulk rank. A rank that the configuration lacks
// is treated as the least urgent one, as in admission.
func (g *Gate) isBulk(r mesh.Rank) bool {
	if g.snapshot == nil || len(g.snapshot.Ranks) == 0 {
		return false
	}
	i, ok := g.snapshot.RankIndex(r)
	if !ok {
		g.figures.unknown.Add(1)
		i = len(g.snapshot.Ranks) - 1
	}
	return g.snapshot.Ranks[i].Bulk
}

// forward sends the admitted c to the backend server.
func (g *Gate) forward(ctx context.Context, c *call, r *http.Request) (*http.Response, *fault.Error) {
	g.figures.wait.record(c.Rank, c.Waited())
	if g.recent.add(attempt{c.id, c.call, c.attempt}) {
		g.figures.registry.InvariantBroken("gate_attempt_run_twice")
	}
	out := hop.OutgoingRequest(r, c.endpoint)
	out.Header.Del(mesh.HopHeader)
	left := time.Until(c.Deadline)
	out.Header.Set(mesh.DeadlineHeader, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if f := g.conf.Dialect.Request; f != nil {
		f(out.Header, c.instance)
	}
	start := time.Now()
	resp, sent, err := c.pools.Transport(c.bulk).RoundTrip(ctx, out)
	c.mayHaveRun = err == nil || sent == hop.MayHaveRun
	if err != nil {
		return nil, g.failure(ctx, c, sent, err)
	}
	if resp.StatusCode < http.StatusInternalServerError {
		// Errors come faster than work is done and would set a false baseline.
		c.latency = time.Since(start)
	}
	g.answered(c.endpoint)
	return g.checkAnswer(c, resp)
}

// failure returns the refusal of a request without a response header.
func (g *Gate) failure(ctx context.Context, c *call, sent hop.SendStatus, err error) *fault.Error {
	run := fault.RunUnknown
	if sent == hop.NothingSent {
		run = fault.NotRun
	}
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &big):
		return fault.Newf(fault.BodyTooLarge, "limit is %d bytes", big.Limit).WithRun(run)
	case ctx.Err() != nil:
		return endOf(ctx.Err(), run)
	case errors.Is(err, hop.ErrReadRequest):
		return fault.Newf(fault.Canceled, "the caller broke off: %w", err).WithRun(run)
	}
	if run == fault.NotRun {
		g.connectionFailed(c.endpoint)
	}
	g.log.Debug("connection to the backend server failed", zap.Error(err), zap.String("run", string(run)))
	if run == fault.NotRun {
		return fault.Newf(fault.NoEndpoint, "no connection to the backend server: %w", err)
	}
	return fault.Newf(fault.OutcomeUnknown, "the backend server did not answer: %w", err)
}

// checkAnswer returns resp unless it cannot be the response to c.
func (g *Gate) checkAnswer(c *call, resp *http.Response) (*http.Response, *fault.Error) {
	if f := g.conf.Dialect.Response; f != nil {
		if e := f(resp); e != nil {
			c.refused = e.Run == fault.NotRun
			resp.Body.Close()
			return nil, e
		}
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		resp.Body.Close()
		return nil, fault.New(fault.OutcomeUnknown, "the backend server switched protocols")
	}
	if id := resp.Header.Get(mesh.RequestHeader); id != "" && id != string(c.id) {
		resp.Body.Close()
		g.figures.registry.InvariantBroken("gate_request_id_mismatch")
		return nil, fault.New(fault.OutcomeUnknown, "the backend server answered another request")
	}
	return resp, nil
}

// answer passes resp on. It panics with http.ErrAbortHandler if the body is cut
// short.
func (g *Gate) answer(w http.ResponseWriter, c *call, resp *http.Response) {
	ok := false
	defer func() {
		if !ok {
			g.figures.aborted.Add(1)
		}
	}()
	h := resp.Header
	h.Del(mesh.PressureHeader)
	if resp.StatusCode == http.StatusServiceUnavailable && h.Get(fault.RunHeader) == string(fault.NotRun) {
		if h.Get(fault.KindHeader) == "" {
			h.Set(fault.KindHeader, string(fault.Overloaded))
		}
		g.figures.refused.Add("backend_server", 1)
		if c.notRun != nil {
			c.notRun()
		}
	} else {
		h.Del(fault.KindHeader)
		h.Del(fault.RunHeader)
	}
	h.Set(mesh.RequestHeader, string(c.id))
	g.setPressure(w, c.Rank)
	hop.CopyResponse(w, resp)
	ok = true
	if c.latency > 0 {
		g.figures.service.record(c.Rank, c.latency)
	}
}

// refuse answers c with e.
func (g *Gate) refuse(w http.ResponseWriter, c *call, e *fault.Error) {
	g.figures.refuse(e)
	if e.Run == fault.NotRun && c.mayHaveRun && !c.refused {
		g.figures.registry.InvariantBroken("gate_false_not_run")
	}
	g.logRefusal(c, e)
	w.Header().Set(mesh.RequestHeader, string(c.id))
	g.setPressure(w, c.Rank)
	fault.Write(w, e, c.id)
}

// logRefusal writes the line that explains refusal e of c. The kind is part of
// the message, by which lines are sampled.
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
	ce.Write(zap.String("request", string(c.id)), zap.String("attempt", c.attempt), zap.String("run", string(e.Run)),
		zap.String("reason", e.Reason), zap.String("rank", string(c.Rank)), zap.String("service", string(c.service)),
		zap.Duration("left", c.Deadline.Sub(now)), zap.Int("in_flight", inFlight), zap.Int("queued", queued),
		zap.Int("limit", limit), zap.Stringer("endpoint", state), zap.String("instance", string(instance)))
}

// setPressure sets the headers that tell the load of the gate.
func (g *Gate) setPressure(w http.ResponseWriter, rank mesh.Rank) {
	var buf [8]admit.RankPressure
	now := time.Now()
	g.mu.Lock()
	ps := g.machine.Pressure(now, buf[:0])
	busy := float64(g.machine.InFlight()+g.machine.Queued()) / float64(g.machine.Limit(now))
	work := g.machine.MeanServiceTime(rank)
	g.mu.Unlock()
	if len(ps) > 0 {
		w.Header().Set(mesh.PressureHeader, admit.FormatPressure(ps))
	}
	w.Header().Set(mesh.LoadHeader, route.FormatLoad(busy, work))
}
