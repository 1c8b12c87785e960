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
	// maxConnWait bounds the wait for one of maxGateRequests. A gate that holds so many
	// without an answer for that long has no capacity or does not respond, so that another
	// gate or a later retry serves the caller better.
	maxConnWait = 250 * time.Millisecond
)

// connQueues holds the queue of each gate that got requests lately.
type connQueues struct {
	limit func() int // requests in flight to a gate

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

// newConnQueues returns queues for maxGateRequests in flight to each gate, or for as many as
// bound returns if that is less. A nil bound, or a value of 0, means none.
func newConnQueues(bound func() int) *connQueues {
	limit := func() int {
		if bound != nil {
			if n := bound(); n > 0 {
				return min(n, maxGateRequests)
			}
		}
		return maxGateRequests
	}
	return &connQueues{limit: limit, queues: make(map[connQueueKey]*connQueue)}
}

// get returns the queue of k, which remains in use until put is called.
func (qs *connQueues) get(k connQueueKey, now time.Time) *connQueue {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	cq := qs.queues[k]
	if cq == nil {
		cq = &connQueue{machine: admit.New(admit.Config{
			Slots: qs.limit(), MaxQueue: maxGateRequests, MaxWait: maxConnWait, FixedLimit: true, Ramp: -1, TargetAware: true,
		}, now)}
		qs.queues[k] = cq
	}
	cq.users++
	return cq
}

func (qs *connQueues) put(cq *connQueue) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	cq.users--
}

// sweep removes the queues that are not in use.
func (qs *connQueues) sweep() {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for k, cq := range qs.queues {
		if cq.users == 0 {
			delete(qs.queues, k)
		}
	}
}

// waiting returns the number of requests that wait in a queue.
func (qs *connQueues) waiting() int {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	n := 0
	for _, cq := range qs.queues {
		cq.mu.Lock()
		n += cq.machine.Queued()
		cq.mu.Unlock()
	}
	return n
}

// acquire waits until a may be sent. Target is the latest time of a response of full worth,
// zero for the target of the rank. If it returns nil, release must be called. The refusal
// of a request whose context ended in the meantime is errConnWaitEnded.
func (qs *connQueues) acquire(ctx context.Context, q *call, a *attempt, target time.Time) *fault.Error {
	now := time.Now()
	cq := qs.get(connQueueKey{a.endpoint.Addr, q.route.Policy.Bulk}, now)
	t := &connTicket{queue: cq, Ticket: admit.Ticket{
		Rank: q.rank(), Account: q.account, Nested: q.origin == originCall, Deadline: q.deadline, Target: target,
	}}
	t.Data = t
	if e := cq.acquire(ctx, q, t, qs.limit(), now); e != nil {
		qs.put(cq)
		return e
	}
	a.ticket = t
	return nil
}

// release ends the use of a connection by a, which was acquired or not.
func (qs *connQueues) release(a *attempt) {
	t := a.ticket
	if t == nil {
		return
	}
	a.ticket = nil
	t.queue.mu.Lock()
	t.queue.done(time.Now(), t)
	t.queue.mu.Unlock()
	qs.put(t.queue)
}

// errConnWaitEnded is the refusal of a request whose context ended while it waited for a
// connection.
var errConnWaitEnded = fault.New(fault.Canceled, "the request ended while it waited for a connection")

// acquire offers t and waits for its decision. Limit is the number of requests in flight.
func (cq *connQueue) acquire(ctx context.Context, q *call, t *connTicket, limit int, now time.Time) *fault.Error {
	cq.mu.Lock()
	cq.wakeDecided(cq.machine.SetSlots(now, limit))
	cq.applyRanks(q, now)
	cq.wakeDecided(cq.machine.Offer(now, &t.Ticket))
	queued := t.State() == admit.Queued
	if queued {
		t.decided = make(chan struct{}, 1)
	}
	cq.mu.Unlock()
	if queued {
		if e := cq.awaitDecision(ctx, t); e != nil {
			return e
		}
	}
	if e := t.Refusal(); e != nil {
		return fault.Newf(e.Kind, "all connections of this node to the gate are in use: %s", e.Reason)
	}
	return nil
}

// awaitDecision waits until the queued t is admitted or refused, or until ctx ends.
func (cq *connQueue) awaitDecision(ctx context.Context, t *connTicket) *fault.Error {
	expired := time.NewTimer(maxConnWait)
	defer expired.Stop()
	for {
		select {
		case <-t.decided:
			return nil
		case now := <-expired.C:
			cq.mu.Lock()
			cq.wakeDecided(cq.machine.Tick(now))
			cq.mu.Unlock()
		case <-ctx.Done():
			now := time.Now()
			cq.mu.Lock()
			defer cq.mu.Unlock()
			if !cq.machine.Cancel(now, &t.Ticket) && t.State() == admit.Admitted {
				cq.done(now, t)
			}
			return errConnWaitEnded
		}
	}
}

// done ends the use of a connection by t. cq.mu must be held.
func (cq *connQueue) done(now time.Time, t *connTicket) {
	cq.wakeDecided(cq.machine.Done(now, &t.Ticket, 0))
}

// applyRanks applies the ranks of the configuration of q unless it did already. cq.mu must be
// held.
func (cq *connQueue) applyRanks(q *call, now time.Time) {
	s := q.table.Snapshot()
	if cq.snapshot != nil && cq.snapshot.Version >= s.Version {
		return
	}
	cq.snapshot = s
	ranks := s.Ranks
	if s.Placement == config.PlaceByFinish {
		ranks = admit.WithNested(ranks)
	}
	cq.machine.SetFair(s.Placement == config.PlaceByFinish && len(s.ClientAccounts) > 0)
	cq.wakeDecided(cq.machine.SetRanks(now, ranks))
}

// wakeDecided wakes the requests that the machine admitted or refused. cq.mu must be held.
func (cq *connQueue) wakeDecided(ts []*admit.Ticket) {
	for _, t := range ts {
		t.Data.(*connTicket).decided <- struct{}{}
	}
}
