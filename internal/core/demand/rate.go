package demand

import (
	"math"
	"time"
)

// decayed is a sum whose terms decay exponentially.
type decayed struct {
	value float64
	last  time.Time
}

// at returns the sum at now. The time constant is tau.
func (d *decayed) at(now time.Time, tau time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp(-max(now.Sub(d.last), 0).Seconds()/tau.Seconds())
}

func (d *decayed) add(now time.Time, tau time.Duration, x float64) {
	d.value, d.last = d.at(now, tau)+x, now
}
