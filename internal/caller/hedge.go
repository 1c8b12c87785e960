package caller

import (
	"context"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/core/route"
)

// mayHedge reports whether a second attempt may start before the first one
// ends.
func (c *Caller) mayHedge(q *call) bool {
	r := q.route
	return r.Retry.Hedge > 0 && r.Idempotent && r.Retry.Attempts > 1 && q.depth == 0 && q.body.rest == nil
}

// runningAttempt is an attempt in its own goroutine.
type runningAttempt struct {
	*attempt
	cancel context.CancelFunc
	hedge  bool
}

// forwardHedged is forwardSequential with a second attempt after the hedge
// delay. The first response is used; the other attempts are canceled and
// awaited.
func (c *Caller) forwardHedged(ctx context.Context, q *call, b *retry.Budget) *attempt {
	ended := make(chan *runningAttempt, max(q.route.Retry.Attempts, 2)+1)
	var live []*runningAttempt
	start := func(hedge bool) bool {
		a := c.nextAttempt(q)
		if a == nil {
			return false
		}
		actx, cancel := context.WithCancel(ctx)
		r := &runningAttempt{attempt: a, cancel: cancel, hedge: hedge}
		live = append(live, r)
		go func() {
			c.try(actx, q, a)
			ended <- r
		}()
		return true
	}
	if !start(false) {
		return c.noEndpoint(q, nil)
	}
	delay := time.NewTimer(q.route.Retry.Hedge)
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
			s := q.retryState(time.Now())
			s.Replayable = true
			v := retry.DecideHedge(s, b, time.Now())
			c.counts.retries.Add(string(v.Reason), 1)
			if v.Action == retry.Hedge && start(true) {
				c.counts.hedges.Add(1)
			}
		case r := <-ended:
			live = removeAttempt(live, r)
			if r.fault == nil {
				c.cancelOthers(q, r, live, ended)
				return r.attempt
			}
			r.cancel()
			q.recordFailure(r.attempt)
			if len(live) > 0 {
				continue
			}
			if !c.shouldRetry(q, r.attempt, b) {
				return r.attempt
			}
			if !start(false) {
				return c.noEndpoint(q, r.attempt)
			}
		}
	}
}

// cancelOthers cancels the other live attempts after r got a response, and
// waits for them to end.
func (c *Caller) cancelOthers(q *call, r *runningAttempt, live []*runningAttempt, ended <-chan *runningAttempt) {
	q.attemptCancels = append(q.attemptCancels, r.cancel) // its response body has not been read yet
	if r.hedge {
		c.counts.hedgeWins.Add(1)
	}
	for _, l := range live {
		l.cancel()
	}
	for range live {
		l := <-ended
		if l.fault == nil {
			l.resp.Body.Close()
			c.finish(q, l.attempt, route.Canceled)
		}
	}
}

func removeAttempt(rs []*runningAttempt, r *runningAttempt) []*runningAttempt {
	for i := range rs {
		if rs[i] == r {
			return append(rs[:i], rs[i+1:]...)
		}
	}
	return rs
}
