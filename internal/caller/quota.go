package caller

import (
	"context"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/quota"
)

const (
	// quotaPeriod is the interval at which quota demands are collected.
	quotaPeriod = 250 * time.Millisecond
	// firstShareTimeout bounds how long a request waits for the first share of
	// its limit on this node.
	firstShareTimeout = 200 * time.Millisecond
)

// limitRate enforces the rate of the client account.
func (c *Caller) limitRate(ctx context.Context, q *call) (context.Context, error) {
	r := q.route
	if r.Rate <= 0 {
		return ctx, nil
	}
	k := quota.Key{Account: r.Account, Route: r.Name}
	ok, wait := c.limits.Allow(k, r.Rate, q.arrived)
	if c.limits.NeedsFirstDemand(k) {
		c.wakeQuotaLoop()
	}
	if !ok {
		ok, wait = c.awaitShare(ctx, k, r.Rate, wait)
	}
	if ok {
		return ctx, nil
	}
	q.w.Header().Set("Retry-After", retryAfterSeconds(wait))
	return ctx, fault.New(fault.RateLimited, "client account exceeds the rate of the route")
}

// awaitShare waits for the answer to the first quota request for k if it is
// pending, and checks the limit again.
func (c *Caller) awaitShare(ctx context.Context, k quota.Key, rate float64, wait time.Duration) (bool, time.Duration) {
	done := c.limits.FirstDemandDone(k)
	select {
	case <-done:
		return false, wait
	default:
	}
	t := time.NewTimer(firstShareTimeout)
	defer t.Stop()
	select {
	case <-done:
		return c.limits.Allow(k, rate, time.Now())
	case <-t.C:
	case <-ctx.Done():
	}
	return false, wait
}

// wakeQuotaLoop makes quotaLoop request shares immediately.
func (c *Caller) wakeQuotaLoop() {
	select {
	case c.quotaWake <- struct{}{}:
	default:
	}
}

// quotaLoop requests shares of rates until ctx ends. The requests run
// concurrently, so a slow owner delays only its own answers.
func (c *Caller) quotaLoop(ctx context.Context) {
	if c.cfg.RequestQuota == nil {
		return
	}
	t := time.NewTicker(quotaPeriod)
	defer t.Stop()
	ended := make(chan struct{})
	running := 0
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ended:
			running--
			continue
		case <-c.quotaWake:
		case <-t.C:
		}
		if ds := c.limits.DueDemands(time.Now()); len(ds) > 0 && ctx.Err() == nil {
			running++
			go func() {
				c.cfg.RequestQuota(ctx, ds, c.applyGrant, c.limits.DemandFailed)
				ended <- struct{}{}
			}()
		}
	}
	for range running {
		<-ended
	}
}

func (c *Caller) applyGrant(g quota.Grant) { c.limits.ApplyGrant(g, time.Now()) }
