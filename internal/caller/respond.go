package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/link"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// refuse answers q with e.
func (c *Caller) refuse(q *call, e *fault.Error) {
	e = c.withRetryDelay(q, e)
	c.counts.refused.Add(string(e.Kind), 1)
	if e.Run == fault.NotRun && q.mayHaveRun {
		c.cfg.Metrics.InvariantBroken("caller_false_not_run")
	}
	if q.route != nil {
		c.counts.rank(q.rank()).record(q, false)
		q.setVersionHeader()
	}
	if e.Kind == fault.Canceled {
		c.countEnd(q, true)
		panic(http.ErrAbortHandler) // the caller has disconnected
	}
	c.logRefusal(q, e)
	limitBodyRead(q)
	c.cfg.Refuse(c.refusalWriter(q), e, q.id)
}

// logRefusal logs refusal e of q. The kind is part of the message because log
// lines are sampled by message.
func (c *Caller) logRefusal(q *call, e *fault.Error) {
	ce := c.cfg.Log.Check(zap.InfoLevel, "request refused: "+string(e.Kind))
	if ce == nil {
		return
	}
	now := time.Now()
	fs := []zap.Field{
		zap.String("request", string(q.id)), zap.String("run", string(e.Run)), zap.String("reason", e.Reason),
		zap.Duration("after", now.Sub(q.arrived)), zap.Int("attempts", q.attempts), zap.String("from", q.in.RemoteAddr), zap.Duration("again", e.RetryAfter),
	}
	if q.route != nil {
		fs = append(fs, zap.String("route", q.route.Name), zap.String("service", string(q.service)),
			zap.String("rank", string(q.rank())), zap.Duration("left", q.deadline.Sub(now)),
			zap.Uint64("version", uint64(q.table.Snapshot().Version)))
	}
	if n := len(q.tried); n > 0 {
		fs = append(fs, zap.String("endpoint", string(q.tried[n-1].ID)))
	}
	ce.Write(fs...)
}

// logResponse logs a response that was forwarded completely. Sampling drops
// most of these lines.
func (c *Caller) logResponse(q *call, a *attempt, status int, err error) {
	if err != nil {
		return // respond logs the interruption
	}
	ce := c.cfg.Log.Check(zap.InfoLevel, "request answered")
	if ce == nil {
		return
	}
	ce.Write(zap.String("request", string(q.id)), zap.Int("status", status), zap.String("route", q.route.Name),
		zap.String("service", string(q.service)), zap.String("endpoint", string(a.endpoint.ID)),
		zap.Int("attempts", q.attempts), zap.Duration("after", time.Since(q.arrived)),
		zap.Uint64("version", uint64(q.table.Snapshot().Version)), zap.Object("connection", a.exchange),
		hop.LinkField(a.resp.Body))
}

// limitBodyRead limits the time for reading the rest of the body of a refused
// request. net/http reads it without a timeout before it closes the connection,
// although a caller that waits for 100 Continue never sends it.
func limitBodyRead(q *call) {
	if q.in.ContentLength == 0 || q.hasBody && q.body.rest == nil {
		return
	}
	end := time.Now()
	if q.in.Header.Get("Expect") == "" {
		end = end.Add(readGrace)
	}
	_ = http.NewResponseController(q.w).SetReadDeadline(end)
}

func (q *call) setVersionHeader() {
	v := strconv.FormatUint(uint64(q.table.Snapshot().Version), 10)
	q.w.Header()[mesh.VersionHeader] = []string{v}
}

// respond forwards the response of a to the caller. If the body is incomplete,
// the response is aborted, so that the caller cannot take it for complete.
func (c *Caller) respond(q *call, a *attempt) {
	resp := a.resp
	delete(resp.Header, mesh.RequestHeader) // set by identify
	removeReserved(resp.Header, c.cfg.KeepHeaders...)
	q.setVersionHeader()
	c.setWriteDeadline(q, resp)
	// To an HTTP/1.0 caller a body without a length is complete once its connection
	// is closed.
	untilClose := resp.ContentLength < 0 && !q.in.ProtoAtLeast(1, 1)
	if untilClose {
		hop.SetAbortive(q.in, true)
	}
	hop.CopyHeader(q.w, resp)
	a, err := c.copyBody(q, a)
	a.resp.Body.Close()
	o := route.Success
	switch {
	case errors.Is(err, hop.ErrReadResponse) && !q.canceled():
		o = route.Failed
	case err != nil:
		o = route.Canceled
	case resp.StatusCode >= http.StatusInternalServerError:
		o = route.Failed
	}
	c.finish(q, a, o)
	c.logResponse(q, a, resp.StatusCode, err)
	c.countEnd(q, o == route.Canceled)
	c.counts.rank(q.rank()).record(q, err == nil && resp.StatusCode < http.StatusInternalServerError)
	if err != nil {
		c.counts.aborted.Add(1)
		c.cfg.Log.Info("response interrupted", zap.String("request", string(q.id)),
			zap.String("endpoint", string(a.endpoint.ID)), zap.Bool("caller_left", q.canceled()),
			hop.LinkField(a.resp.Body), zap.Error(err))
		hop.Abort(q.in)
	}
	hop.CopyTrailer(q.w, resp)
	if untilClose {
		hop.SetAbortive(q.in, false)
	}
}

const (
	// writeGrace is the time after the deadline in which the rest of a response
	// may still be written to the caller.
	writeGrace = time.Second
	// smallBodyBytes is the size of a body that fits the socket buffer, so that
	// writing it does not wait for the caller.
	smallBodyBytes = 32 << 10
)

// setWriteDeadline limits the time for writing the response, so that a caller
// that does not read cannot hold a request forever. The write timeout of the
// server suffices for a small body with an early deadline, unless requests share
// a bounded memory.
func (c *Caller) setWriteDeadline(q *call, resp *http.Response) {
	small := resp.ContentLength >= 0 && resp.ContentLength <= smallBodyBytes
	if small && q.deadline.Sub(q.arrived) < c.cfg.WriteTimeout && c.cfg.Memory == nil {
		return
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeGrace))
}

// copyBody copies the body of a to the caller and resumes it where that is
// allowed. It returns the attempt that must still be finished.
func (c *Caller) copyBody(q *call, a *attempt) (*attempt, error) {
	res := newResumption(q, a.resp)
	flush := hop.IsStreaming(a.resp)
	for {
		if q.route.Policy.Bulk {
			a.resp.Body = c.cfg.Pacer.PaceBody(q.ctx, a.resp.Body, hop.Transfer{Length: link.Bytes(a.resp.ContentLength), Deadline: q.deadline})
		}
		n, err := hop.CopyBody(q.w, a.resp.Body, flush)
		res.offset += n
		if err == nil || !errors.Is(err, hop.ErrReadResponse) || !res.mayResume(n) {
			return a, err
		}
		next := c.resume(q, res)
		if next == nil {
			return a, err
		}
		a.resp.Body.Close()
		c.finish(q, a, route.Failed)
		a = next
	}
}
