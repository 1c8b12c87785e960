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

// running is an attempt in a goroutine of its own.
type running struct {
	*attempt
	cancel context.CancelFunc
	hedge  bool
}

// hedged is sequence with a second attempt after the hedge delay. The first
// attempt that gets a response wins; the others are canceled and awaited.
func (c *Caller) hedged(ctx context.Context, q *call, b *retry.Budget) *attempt {
	ended := make(chan *running, max(q.route.Retry.Attempts, 2)+1)
	var live []*running
	start := func(hedge bool) bool {
		a := c.pick(q)
		if a == nil {
			return false
		}
		actx, cancel := context.WithCancel(ctx)
		r := &running{attempt: a, cancel: cancel, hedge: hedge}
		live = append(live, r)
		go func() {
			c.try(actx, q, a)
			ended <- r
		}()
		return true
	}
	if !start(false) {
		return c.noEndpoint(nil)
	}
	delay := time.NewTimer(q.route.Retry.Hedge)
	defer delay.Stop()
	for {
		select {
		case <-delay.C:
			s := q.state(time.Now())
			s.Replayable = true
			v := retry.DecideHedge(s, b, time.Now())
			c.counts.retries.Add(string(v.Reason), 1)
			if v.Action == retry.Hedge && start(true) {
				c.counts.hedges.Add(1)
			}
		case r := <-ended:
			live = without(live, r)
			if r.fault == nil {
				c.win(q, r, live, ended)
				return r.attempt
			}
			r.cancel()
			q.note(r.attempt)
			if len(live) > 0 {
				continue
			}
			if !c.decide(q, r.attempt, b) {
				return r.attempt
			}
			if !start(false) {
				return c.noEndpoint(r.attempt)
			}
		}
	}
}

// win cancels the other live attempts and waits for their end.
func (c *Caller) win(q *call, r *running, live []*running, ended <-chan *running) {
	q.losers = append(q.losers, r.cancel) // its body is still to be read
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

func without(rs []*running, r *running) []*running {
	for i := range rs {
		if rs[i] == r {
			return append(rs[:i], rs[i+1:]...)
		}
	}
	return rs
}
