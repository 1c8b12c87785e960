package backend

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// demandSweep is the time between two sweeps of unused rates.
const demandSweep = 30 * time.Second

// demand measures the rate of each client account and route at the gate.
type demand struct {
	retry.Demand
	swept atomic.Int64 // unix time in nanoseconds of the last sweep
}

// report counts c and tells the caller side the rate of its client account and
// route.
func (d *demand) report(w http.ResponseWriter, c *call, now time.Time) {
	if c.Account == "" {
		return
	}
	v := d.Add(retry.LimitKey{Account: c.Account, Route: c.route}, now)
	w.Header()[mesh.DemandHeader] = []string{strconv.FormatFloat(v, 'g', 3, 64)}
	last := d.swept.Load()
	if now.UnixNano()-last > int64(demandSweep) && d.swept.CompareAndSwap(last, now.UnixNano()) {
		d.Sweep(now)
	}
}
