package retry

import (
	"math"
	"sync"
	"time"
)

// demandTime is the time constant of the rates that Demand measures. It is
// shorter than feedbackPeriod, so that a correction shows before the next one.
const demandTime = 2 * time.Second

// Demand measures, at a gate, the rate of requests of each client account and
// route. Each gate reports its rate to the nodes that send to it, which take
// it times the number of endpoints for the rate of the whole mesh. Its zero
// value is ready for use.
type Demand struct {
	m sync.Map // LimitKey -> *demand
}

type demand struct {
	mu   sync.Mutex
	rate float64 // requests/s
	at   time.Time
}

// Add counts one request of k and returns the current rate in requests per
// second, an exponential average over 2 s.
func (d *Demand) Add(k LimitKey, now time.Time) float64 {
	v, ok := d.m.Load(k)
	if !ok {
		v, _ = d.m.LoadOrStore(k, new(demand))
	}
	e := v.(*demand)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.at.IsZero() {
		e.rate *= math.Exp(-float64(max(now.Sub(e.at), 0)) / float64(demandTime))
	}
	e.at = now
	e.rate += 1 / demandTime.Seconds()
	return e.rate
}

// Sweep forgets the rates of accounts without a request for a minute.
func (d *Demand) Sweep(now time.Time) {
	d.m.Range(func(k, v any) bool {
		e := v.(*demand)
		e.mu.Lock()
		idle := now.Sub(e.at) > limitIdle
		e.mu.Unlock()
		if idle {
			d.m.Delete(k)
		}
		return true
	})
}
