package caller

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// limitAccount enforces the rate and burst of the client account of a request, and
// returns the credit of a request that was not sent to any backend server.
func (c *Caller) limitAccount(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		q := request.(*call)
		p, limit := c.accountLimit(q)
		if p == nil {
			return next(ctx, request)
		}
		d := c.cfg.Shares.Allow(p.Name, limit, time.Now())
		if d.Waiter != nil {
			d = c.awaitGrant(ctx, d.Waiter)
		}
		if !d.Allowed {
			return nil, accountRefusal(q, d.Retry)
		}
		response, err := next(ctx, request)
		if err != nil && q.sentAttempts == 0 && !q.mayHaveRun {
			if e := fault.From(err); e.Run == fault.NotRun && !e.Sent {
				c.cfg.Shares.Refund(p.Name, time.Now())
			}
		}
		return response, err
	}
}

// accountLimit returns the client account of q and its limit, or nil if it has none.
func (c *Caller) accountLimit(q *call) (*config.AccountPolicy, quota.Limit) {
	p := q.table.Snapshot().Account(q.account)
	if c.cfg.Shares == nil || p == nil || p.Rate <= 0 {
		return nil, quota.Limit{}
	}
	return p, quota.Limit{Rate: p.Rate, Burst: p.Burst}
}

// awaitGrant waits until the owner of the account has answered.
func (c *Caller) awaitGrant(ctx context.Context, w *quota.ShareWaiter) quota.ShareDecision {
	c.cfg.RequestShares()
	t := time.NewTimer(firstShareTimeout)
	defer t.Stop()
	select {
	case passed := <-w.Done:
		return c.cfg.Shares.Resolved(w, passed, time.Now())
	case <-t.C:
	case <-ctx.Done():
	}
	return c.cfg.Shares.Cancel(w, time.Now())
}

// accountRefusal returns the refusal of q, which finds credit after retry. Callers honor
// at most a third of the time that they have left.
func accountRefusal(q *call, retry time.Duration) *fault.Error {
	e := fault.New(fault.RateLimited, "client account exceeds its rate")
	e.RetryAfter = max(retry, time.Millisecond)
	if !q.callerDeadline.IsZero() {
		most := time.Duration(maxRetryDelayFraction * float64(time.Until(q.callerDeadline)))
		e.RetryAfter = max(min(e.RetryAfter, most), 0)
	}
	return e
}
