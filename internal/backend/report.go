package backend

import (
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// setLoadHeaders sets the headers that report the pressure and the load of the
// gate to other nodes.
func (g *Gate) setLoadHeaders(w http.ResponseWriter, c *call) {
	var buf [8]admit.RankPressure
	now := time.Now()
	g.mu.Lock()
	ps := g.machine.Pressure(now, buf[:0])
	busy := float64(g.machine.InFlight()+g.machine.Queued()) / float64(g.machine.Limit(now))
	work := g.machine.MeanServiceTimeOf(&c.Ticket)
	places := g.placesByFinish()
	unserved := 0.0
	if places {
		unserved = g.unserved.Share(now)
	}
	g.mu.Unlock()
	if len(ps) > 0 {
		w.Header().Set(mesh.PressureHeader, admit.FormatPressure(ps))
	}
	w.Header().Set(mesh.LoadHeader, route.FormatLoad(busy, work, unserved))
	if !places || !c.Nested {
		return
	}
	w.Header().Set(mesh.OriginHeader, mesh.OriginCall)
	for name, value := range map[string]string{
		mesh.NeedsHeader:    demand.FormatNeeds(g.conf.Demand.Needs(now)),
		mesh.ShortageHeader: demand.FormatShortage(g.conf.Demand.Shortage(now)),
	} {
		if value != "" {
			w.Header().Set(name, value)
		}
	}
}

// recordServed records whether the backend server served c, to which it answered or which
// failed with e. Requests that ended for their deadline or their caller say nothing of it.
func (g *Gate) recordServed(c *call, e *fault.Error) {
	switch {
	case !c.mayHaveRun && !c.refused:
		return // not sent
	case e != nil && (e.Kind == fault.Canceled || e.Kind == fault.DeadlineExceeded):
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unserved.Record(e == nil && c.status < http.StatusInternalServerError, time.Now())
}

// removeReports removes the reports of a gate from the response of a backend server.
func removeReports(h http.Header) {
	h.Del(mesh.PressureHeader)
	h.Del(mesh.LoadHeader)
	h.Del(mesh.OriginHeader)
	h.Del(mesh.ShortageHeader)
	h.Del(mesh.NeedsHeader)
}
