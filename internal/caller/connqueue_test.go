package caller

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// queueTest offers requests to the connections of one gate.
type queueTest struct {
	*connQueues
	t     *testing.T
	table *route.Table
}

// sent is an attempt with the result of its wait for a connection.
type sent struct {
	*attempt
	refusal *fault.Error
}

func newQueueTest(t *testing.T, limit int) *queueTest {
	s := testSnapshot()
	s.Ranks = []config.RankPolicy{{Name: "urgent", Target: time.Second}, {Name: "low", Target: 5 * time.Second}}
	q := &queueTest{t: t, connQueues: newConnQueues(func() int { return limit }), table: route.NewTable(s)}
	return q
}

// offer starts to wait for a connection and returns the channel of the result.
func (q *queueTest) offer(ctx context.Context, rank mesh.Rank) <-chan sent {
	c := &call{
		table: q.table, route: &route.Route{Route: &config.Route{Name: "r"}}, accountRank: rank,
		deadline: time.Now().Add(10 * time.Second),
	}
	a := &attempt{endpoint: &route.Endpoint{Addr: "gate"}}
	result := make(chan sent, 1)
	go func() { result <- sent{a, q.acquire(ctx, c, a, time.Time{})} }()
	synctest.Wait()
	return result
}

// admitted returns the attempt of a request that got a connection.
func (q *queueTest) admitted(result <-chan sent) *attempt {
	q.t.Helper()
	synctest.Wait()
	require.Len(q.t, result, 1, "still waits")
	r := <-result
	require.Nil(q.t, r.refusal)
	return r.attempt
}

// TestConnQueueRank guards against urgent requests that wait for a connection behind less
// urgent ones.
func TestConnQueueRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueTest(t, 2)
		first, second := q.admitted(q.offer(t.Context(), "low")), q.admitted(q.offer(t.Context(), "low"))
		low := q.offer(t.Context(), "low")
		urgent := q.offer(t.Context(), "urgent")
		require.Equal(t, 2, q.waiting())
		q.release(first)
		q.admitted(urgent)
		require.Empty(t, low)
		q.release(second)
		q.admitted(low)
		require.Zero(t, q.waiting())
	})
}

// TestConnQueueRefusal guards against requests that wait long for a gate which answers
// nothing, and against a wait whose length and memory have no bound.
func TestConnQueueRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, offered = 4, 2 * maxGateRequests
		q := newQueueTest(t, limit)
		for range limit {
			q.admitted(q.offer(t.Context(), "low"))
		}
		start := time.Now()
		var results []<-chan sent
		atOnce := 0
		for range offered {
			r := q.offer(t.Context(), "low")
			atOnce += len(r)
			results = append(results, r)
		}
		require.LessOrEqual(t, q.waiting(), maxGateRequests)
		require.Equal(t, offered-q.waiting(), atOnce)
		for _, r := range results {
			e := (<-r).refusal
			require.NotNil(t, e)
			require.Equal(t, fault.Overloaded, e.Kind)
			require.Equal(t, fault.NotRun, e.Run)
		}
		require.Equal(t, maxConnWait, time.Since(start))
		require.Zero(t, q.waiting())
	})
}

// TestConnQueueCancel guards against a request whose caller has left that is sent later, or
// keeps a connection which it was given at that moment.
func TestConnQueueCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueTest(t, 1)
		first := q.admitted(q.offer(t.Context(), "low"))
		ctx, cancel := context.WithCancel(t.Context())
		left := q.offer(ctx, "urgent")
		waits := q.offer(t.Context(), "low")
		cancel()
		require.Same(t, errConnWaitEnded, (<-left).refusal)
		q.release(first)
		second := q.admitted(waits)

		ctx, cancel = context.WithCancel(t.Context())
		both := q.offer(ctx, "low")
		cancel()
		q.release(second)
		if r := <-both; r.refusal == nil {
			q.release(r.attempt)
		} else {
			require.True(t, errors.Is(r.refusal, errConnWaitEnded))
		}
		q.release(q.admitted(q.offer(t.Context(), "low")))
	})
}

// TestConnQueueSweep guards against queues that are kept for gates without requests, and
// against the loss of one that is in use.
func TestConnQueueSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueueTest(t, 1)
		a := q.admitted(q.offer(t.Context(), "low"))
		q.sweep()
		waits := q.offer(t.Context(), "low")
		require.Empty(t, waits, "the limit of the gate was forgotten")
		q.release(a)
		q.release(q.admitted(waits))
		q.release(a) // released before
		q.sweep()
		require.Empty(t, q.queues)
	})
}
