package caller

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
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
		panic(http.ErrAbortHandler) // nobody is left to read the answer
	}
	c.logRefusal(q, e)
	limitBodyRead(q)
	c.cfg.Refuse(q.w, e, q.id)
}

// logRefusal writes the line that explains refusal e of q. The kind is part of
// the message, by which lines are sampled.
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

// logAnswer writes the line about a response that was passed on whole. Most such
// lines are left out by sampling.
func (c *Caller) logResponse(q *call, a *attempt, status int, err error) {
	if err != nil {
		return // respond logs that it broke off
	}
	ce := c.cfg.Log.Check(zap.InfoLevel, "request answered")
	if ce == nil {
		return
	}
	ce.Write(zap.String("request", string(q.id)), zap.Int("status", status), zap.String("route", q.route.Name),
		zap.String("service", string(q.service)), zap.String("endpoint", string(a.endpoint.ID)),
		zap.Int("attempts", q.attempts), zap.Duration("after", time.Since(q.arrived)),
		zap.Uint64("version", uint64(q.table.Snapshot().Version)))
}

// abandonBody limits the time for the rest of the body of a refused request.
// net/http reads it before it closes the connection, without time-out, although
// a caller that waits for 100 Continue never sends it.
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

// respond passes the response of a to the caller. If its body does not arrive
// complete, the answer is aborted, so that it never ends cleanly.
func (c *Caller) respond(q *call, a *attempt) {
	resp := a.resp
	delete(resp.Header, mesh.RequestHeader) // set by identify
	removeReserved(resp.Header, c.cfg.KeepHeaders...)
	q.setVersionHeader()
	c.setWriteDeadline(q, resp)
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
	c.counts.rank(q.rank()).record(q, err == nil && resp.StatusCode < http.StatusInternalServerError)
	if err != nil {
		c.counts.aborted.Add(1)
		c.cfg.Log.Info("response broke off", zap.String("request", string(q.id)),
			zap.String("endpoint", string(a.endpoint.ID)), zap.Bool("caller_left", q.canceled()), zap.Error(err))
		panic(http.ErrAbortHandler)
	}
	hop.CopyTrailer(q.w, resp)
}

const (
	// writeGrace is the time after the deadline in which the rest of an answer
	// may still be written to the caller.
	writeGrace = time.Second
	// smallBody is the size in bytes of a body that fits the socket's buffer,
	// so that writing it does not wait for the caller.
	smallBodyBytes = 32 << 10
)

// limitWrites sets the time until which the answer may be written, so that a
// caller that does not read holds no request for ever. The time-out of the
// server is enough for a small body that comes early.
func (c *Caller) setWriteDeadline(q *call, resp *http.Response) {
	small := resp.ContentLength >= 0 && resp.ContentLength <= smallBodyBytes
	if small && q.deadline.Sub(q.arrived) < c.cfg.WriteTimeout {
		return
	}
	_ = http.NewResponseController(q.w).SetWriteDeadline(q.deadline.Add(writeGrace))
}

// copyBody copies the body of a to the caller and resumes it where that is
// allowed. It returns the attempt that is still to be finished.
func (c *Caller) copyBody(q *call, a *attempt) (*attempt, error) {
	res := newResumption(q, a.resp)
	flush := hop.IsStreaming(a.resp)
	for {
		if q.route.Policy.Bulk {
			a.resp.Body = c.cfg.Pacer.PaceBody(a.resp.Body)
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
