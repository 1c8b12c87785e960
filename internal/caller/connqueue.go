package caller

import (
	"context"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxGateRequests is the number of requests of a node that are in flight to one gate at
	// a time, apart from bulk ones. A gate queues up to 256 requests of a rank, orders them
	// by rank and refuses what it cannot serve in time. Requests that it does not see escape
	// these decisions.
	maxGateRequests = 256
	// maxIdleGateConns is the number of unused connections to one gate that are kept.
	maxIdleGateConns = 64
	// maxConnWait bounds the wait for one of maxGateRequests. A gate that holds so many
	// without an answer for that long has no capacity or does not respond, so that another
	// gate or a later retry serves the caller better.
	maxConnWait = 250 * time.Millisecond
)

// connQueues holds the queue of each gate that got requests lately.
type connQueues struct {
	limit int // requests in flight to a gate; maxGateRequests but in tests

	mu     sync.Mutex
	queues map[connQueueKey]*connQueue
}

// connQueueKey identifies a queue. Bulk requests have their own, as they have their own
// connections.
type connQueueKey struct {
	gate mesh.Addr
	bulk bool
}

// connQueue orders the requests to one gate that exceed the limit. They are sent by rank, and
// refused if they would wait too long.
type connQueue struct {
	mu       sync.Mutex
	machine  *admit.Machine
	snapshot *config.Snapshot // whose ranks machine has
	users    int              // requests between get and the end of their use; guarded by connQueues.mu
}

// connTicket is a request in a connQueue.
type connTicket struct {
	admit.Ticket
	queue   *connQueue
	decided chan struct{} // receives one value when the queued ticket is admitted or refused
}

func newConnQueues() *connQueues {
	return &connQueues{limit: maxGateRequests, queues: make(map[connQueueKey]*connQueue)}
}

// get returns the queue of k, which remains in use until put is called.
func (c *connQueues) get(k connQueueKey, now time.Time) *connQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.queues[k]
	if u == nil {
		u = &connQueue{machine: admit.New(admit.Config{
			Slots: c.limit, MaxQueue: c.limit, MaxWait: maxConnWait, FixedLimit: true, Ramp: -1, TargetAware: true,
		}, now)}
		c.queues[k] = u
	}
	u.users++
	return u
}

func (c *connQueues) put(u *connQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u.users--
}

// sweep removes the queues that are not in use.
func (c *connQueues) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, u := range c.queues {
		if u.users == 0 {
			delete(c.queues, k)
		}
	}
}

// waiting returns the number of requests that wait in a queue.
func (c *connQueues) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, u := range c.queues {
		u.mu.Lock()
		n += u.machine.Queued()
		u.mu.Unlock()
	}
	return n
}

// acquire waits until a may be sent. Target is the latest time of a response of full worth,
// zero for the target of the rank. If it returns nil, release must be called. The refusal
// of a request whose context ended in the meantime is errConnWaitEnded.
func (c *connQueues) acquire(ctx context.Context, q *call, a *attempt, target time.Time) *fault.Error {
	now := time.Now()
	u := c.get(connQueueKey{a.endpoint.Addr, q.route.Policy.Bulk}, now)
	t := &connTicket{queue: u, Ticket: admit.Ticket{
		Rank: q.rank(), Account: q.account, Nested: q.origin == originCall, Deadline: q.deadline, Target: target,
	}}
	t.Data = t
	if e := u.acquire(ctx, q, t, now); e != nil {
		c.put(u)
		return e
	}
	a.ticket = t
	return nil
}

// release ends the use of a connection by a, which was acquired or not.
func (c *connQueues) release(a *attempt) {
	t := a.ticket
	if t == nil {
		return
	}
	a.ticket = nil
	t.queue.mu.Lock()
	t.queue.done(time.Now(), t)
	t.queue.mu.Unlock()
	c.put(t.queue)
}

// errConnWaitEnded is the refusal of a request whose context ended while it waited for a
// connection.
var errConnWaitEnded = fault.New(fault.Canceled, "the request ended while it waited for a connection")

// acquire offers t and waits for its decision.
func (u *connQueue) acquire(ctx context.Context, q *call, t *connTicket, now time.Time) *fault.Error {
	u.mu.Lock()
	u.applyRanks(q, now)
	u.wakeDecided(u.machine.Offer(now, &t.Ticket))
	queued := t.State() == admit.Queued
	if queued {
		t.decided = make(chan struct{}, 1)
	}
	u.mu.Unlock()
	if queued {
		if e := u.awaitDecision(ctx, t); e != nil {
			return e
		}
	}
	if e := t.Refusal(); e != nil {
		return fault.Newf(e.Kind, "all connections of this node to the gate are in use: %s", e.Reason)
	}
	return nil
}

// awaitDecision waits until the queued t is admitted or refused, or until ctx ends.
func (u *connQueue) awaitDecision(ctx context.Context, t *connTicket) *fault.Error {
	expired := time.NewTimer(maxConnWait)
	defer expired.Stop()
	for {
		select {
		case <-t.decided:
			return nil
		case now := <-expired.C:
			u.mu.Lock()
			u.wakeDecided(u.machine.Tick(now))
			u.mu.Unlock()
		case <-ctx.Done():
			now := time.Now()
			u.mu.Lock()
			defer u.mu.Unlock()
			if !u.machine.Cancel(now, &t.Ticket) && t.State() == admit.Admitted {
				u.done(now, t)
			}
			return errConnWaitEnded
		}
	}
}

// done ends the use of a connection by t. u.mu must be held.
func (u *connQueue) done(now time.Time, t *connTicket) {
	u.wakeDecided(u.machine.Done(now, &t.Ticket, 0))
}

// applyRanks applies the ranks of the configuration of q unless it did already. u.mu must be
// held.
func (u *connQueue) applyRanks(q *call, now time.Time) {
	s := q.table.Snapshot()
	if u.snapshot != nil && u.snapshot.Version >= s.Version {
		return
	}
	u.snapshot = s
	ranks := s.Ranks
	if s.Placement == config.PlaceByFinish {
		ranks = admit.WithNested(ranks)
	}
	u.machine.SetFair(s.Placement == config.PlaceByFinish && len(s.ClientAccounts) > 0)
	u.wakeDecided(u.machine.SetRanks(now, ranks))
}

// wakeDecided wakes the requests that the machine admitted or refused. u.mu must be held.
func (u *connQueue) wakeDecided(ts []*admit.Ticket) {
	for _, t := range ts {
		t.Data.(*connTicket).decided <- struct{}{}
	}
}
