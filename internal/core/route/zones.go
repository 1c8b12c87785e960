package route

import (
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/zone"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// ZoneLoads returns the estimated load of the open endpoints of s by zone.
func (p *Picker) ZoneLoads(s mesh.Service, now time.Time) []zone.Load {
	svc := p.service(s)
	if svc == nil {
		return nil
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if !svc.rebuildAt.IsZero() && !now.Before(svc.rebuildAt) {
		svc.partition(p.zone, now)
	}
	var loads []zone.Load
	mix := svc.mixTime(0)
	svc.eachOpen(func(e *Endpoint) bool {
		l := loadOf(&loads, e.Zone)
		c := e.predict(mix, mix, now)
		n, _ := e.presentRequests(now)
		// Sums for now; the divisions follow.
		l.Slots += e.slots
		l.Busy += n
		l.Finish += time.Duration(c.finish * e.slots)
		l.Age += time.Duration(float64(e.reportAge(now)) * e.slots)
		return true
	})
	for i := range loads {
		l := &loads[i]
		l.Finish = time.Duration(float64(l.Finish) / l.Slots)
		l.Age = time.Duration(float64(l.Age) / l.Slots)
	}
	return loads
}

// reportAge returns the age of the last report of e, at most maxPressureAge.
func (e *Endpoint) reportAge(now time.Time) time.Duration {
	if e.load.reportedAt.IsZero() {
		return maxPressureAge
	}
	return min(max(now.Sub(e.load.reportedAt), 0), maxPressureAge)
}

func loadOf(loads *[]zone.Load, z mesh.AvailabilityZone) *zone.Load {
	for i := range *loads {
		if (*loads)[i].Zone == z {
			return &(*loads)[i]
		}
	}
	*loads = append(*loads, zone.Load{Zone: z})
	return &(*loads)[len(*loads)-1]
}

// LoadOf returns the load per slot that e last reported.
func (p *Picker) LoadOf(e *Endpoint) float64 {
	e.svc.mu.Lock()
	defer e.svc.mu.Unlock()
	return e.load.utilization
}
