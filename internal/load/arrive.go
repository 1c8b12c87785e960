package load

import (
	"math/rand/v2"
	"time"
)

// arrivals generates the intervals between the intended starts of the requests
// of one stream.
type arrivals struct {
	next func() time.Duration // interval until the next intended start
}

// newArrivals returns the arrivals of e at a rate in requests/s.
func newArrivals(e StreamSpec, rate float64, seed uint64) arrivals {
	mean := float64(time.Second) / rate
	switch e.Arrivals {
	case "constant":
		return arrivals{func() time.Duration { return time.Duration(mean) }}
	case "burst":
		i := 0
		return arrivals{func() time.Duration {
			if i++; i%e.Burst != 0 {
				return 0
			}
			return time.Duration(mean * float64(e.Burst))
		}}
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	return arrivals{func() time.Duration { return time.Duration(rnd.ExpFloat64() * mean) }}
}
