package admit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMaxTotal guards against queues that together hold more requests than the gate can have
// connections, and against an urgent request that is refused while others wait.
func TestMaxTotal(t *testing.T) {
	const slots, total = 2, 5
	m := New(Config{Slots: slots, MaxTotal: total, Ramp: -1, FixedLimit: true, Order: Strict, Ranks: testRanks}, epoch)
	offer := func(c Ticket) (*Ticket, []*Ticket) {
		c.Deadline = epoch.Add(time.Minute)
		return &c, m.Offer(epoch, &c)
	}
	for range total {
		k, _ := offer(Ticket{Rank: "low"})
		require.NotEqual(t, Refused, k.State())
	}
	require.Equal(t, total, m.InFlight()+m.Queued())
	full, _ := offer(Ticket{Rank: "low"})
	require.Equal(t, errQueueFull, full.Refusal())
	for range total - slots {
		urgent, displaced := offer(Ticket{Rank: "urgent"})
		require.Equal(t, Queued, urgent.State())
		require.Len(t, displaced, 1)
		require.Equal(t, errOutranked, displaced[0].Refusal())
		require.EqualValues(t, "low", displaced[0].Rank)
	}
	full, displaced := offer(Ticket{Rank: "urgent"})
	require.Equal(t, errQueueFull, full.Refusal(), "only urgent requests wait")
	require.Empty(t, displaced)
	require.Equal(t, total, m.InFlight()+m.Queued())
}
