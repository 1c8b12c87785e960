package load

import (
	"math/rand/v2"
	"time"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
)

// capacity returns the throughput of all backend servers of m in requests/s:
// their total slots divided by the mean service time. It is 0 if m has none.
func (m *Mesh) capacity() float64 {
	if len(m.Services) == 0 {
		return 0
	}
	t, err := backend.ParseServiceTime(m.ServiceTime)
	if err != nil {
		return 0
	}
	const samples = 100000
	rnd := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for range samples {
		sum += t.Sample(rnd)
	}
	if sum == 0 {
		return 0
	}
	return float64(m.Nodes*m.Slots) * samples / sum.Seconds()
}
