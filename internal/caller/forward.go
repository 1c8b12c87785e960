package caller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/core/route"
)

// forward sends q to endpoints until one answers or no further attempt is
// allowed. The returned attempt holds a response.
func (c *Caller) forward(ctx context.Context, q *call) (*attempt, error) {
	if e := c.bufferBody(q); e != nil {
		return nil, e
	}
	q.tried = q.triedBuf[:0]
	b := c.budgets.Get(q.service, q.baseRank())
	b.RecordRequest(q.arrived)
	var a *attempt
	if c.mayHedge(q) {
		a = c.forwardHedged(ctx, q, b)
	} else {
		a = c.forwardSequential(ctx, q, b)
	}
	accepted := !refusedForLoad(a.fault) || q.refusedEarly(a)
	c.throttles.RecordOutcome(q.service, q.throttle, accepted, time.Now())
	if a.fault != nil {
		return nil, q.finalFault(a.fault)
	}
	return a, nil
}

// finalFault returns the refusal of q, whose last attempt failed with e. If an
// earlier attempt may have run, the refusal must not say that q did not run.
func (q *call) finalFault(e *fault.Error) *fault.Error {
	if e.Run != fault.NotRun || !q.mayHaveRun {
		return e
	}
	return fault.Newf(fault.OutcomeUnknown, "an earlier attempt may have run; the last one: %w", e)
}

// refusedForLoad reports whether e says that the gate has no capacity for the
// rank.
func refusedForLoad(e *fault.Error) bool {
	if e == nil {
		return false
	}
	return e.Kind == fault.Overloaded || e.Kind == fault.Throttled ||
		e.Kind == fault.DeadlineExceeded && e.Run == fault.NotRun
}

// forwardSequential makes one attempt after the other.
func (c *Caller) forwardSequential(ctx context.Context, q *call, b *retry.Budget) *attempt {
	var last *attempt
	for {
		a := c.nextAttempt(q)
		if a == nil {
			return c.noEndpoint(q, last)
		}
		c.try(ctx, q, a)
		if a.fault == nil {
			return a
		}
		q.recordFailure(a)
		if !c.shouldRetry(q, a, b) {
			return a
		}
		last = a
	}
}

// recordFailure updates q after the failed attempt a.
func (q *call) recordFailure(a *attempt) {
	q.mayHaveRun = q.mayHaveRun || a.fault.Run != fault.NotRun
	if a.fault.Sent || a.fault.Run != fault.NotRun {
		q.sentAttempts++
	}
	q.overloaded = a.fault.Kind == fault.Overloaded
}

// noEndpoint returns the result when no endpoint is left for q: the last attempt,
// if any.
func (c *Caller) noEndpoint(q *call, last *attempt) *attempt {
	if last != nil {
		c.counts.retries.Add(string(retry.DenyEndpoint), 1)
		return last
	}
	if q.full != nil {
		return &attempt{fault: q.full}
	}
	return &attempt{fault: noEndpointRefusal()}
}

func noEndpointRefusal() *fault.Error {
	return fault.New(fault.NoEndpoint, "service has no endpoint that takes requests")
}

// shouldRetry reports whether q is sent again after the failed attempt a.
func (c *Caller) shouldRetry(q *call, a *attempt, b *retry.Budget) bool {
	now := time.Now()
	s := q.retryState(now)
	s.Kind, s.Run = a.fault.Kind, a.fault.Run
	s.Replayable = a.replayable
	s.Sent = a.fault.Sent || a.fault.Run != fault.NotRun
	v := retry.Decide(s, b, now)
	if v.Action == retry.Retry && q.refusedEarly(a) {
		v = retry.Verdict{Action: retry.Answer, Reason: retry.DenyKind} // other gates know the same shortage
	}
	c.counts.retries.Add(string(v.Reason), 1)
	if ce := c.cfg.Log.Check(zap.InfoLevel, "attempt failed: "+string(a.fault.Kind)); ce != nil {
		ce.Write(zap.String("request", string(q.id)), zap.String("endpoint", string(a.endpoint.ID)),
			zap.Int("attempt", a.number), zap.String("run", string(a.fault.Run)), zap.String("reason", a.fault.Reason),
			zap.Duration("took", now.Sub(a.started)), zap.String("verdict", string(v.Reason)),
			zap.Object("connection", a.exchange))
	}
	return v.Action == retry.Retry
}

// retryState returns the state of q for a retry decision.
func (q *call) retryState(now time.Time) retry.AttemptState {
	return retry.AttemptState{
		Idempotent:   q.route.Idempotent,
		Attempt:      q.attempts,
		MaxAttempts:  q.route.Retry.Attempts,
		SentAttempts: q.sentAttempts,
		Depth:        q.depth,
		Remaining:    q.deadline.Sub(now),
		Canceled:     q.canceled(),
	}
}

// nextAttempt starts the next attempt of q, or returns nil if no endpoint is
// left.
func (c *Caller) nextAttempt(q *call) *attempt {
	now := time.Now()
	e := c.pick(q, c.requirements(q), now)
	if e == nil {
		return nil
	}
	q.tried = append(q.tried, e)
	q.attempts++
	return &attempt{endpoint: e, number: q.attempts, started: now}
}

// requirements returns what the next attempt of q needs from an endpoint.
func (c *Caller) requirements(q *call) route.Requirements {
	n := route.Requirements{Rank: q.rank()}
	if c.cfg.LatencyAware {
		n.Target = q.route.Policy.Target
	}
	switch {
	case q.route.Policy.Bulk && q.overloaded:
		// After an overload a bulk body is not sent to another availability
		// zone; the caller receives Retry-After instead.
		n.Spill = route.SpillWhenEmpty
	case q.route.Policy.Bulk:
		n.Spill = route.SpillWhenExhausted
	}
	return n
}
