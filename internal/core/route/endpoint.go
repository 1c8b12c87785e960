package route

import (
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// class determines when an endpoint may be chosen.
type class uint8

const (
	closed    class = iota // no endpoint, starting, draining or left: never chosen
	healthy                // alive and ready
	yielding               // its node is about to stop: chosen only if no open one is left
	unhealthy              // suspect, dead or failing its checks: tried in panic mode, one request at a time
)

// classify returns the class of m.
func classify(m *member.Member) class {
	if m.Service == "" || m.Status == member.Left {
		return closed
	}
	switch m.Endpoint {
	case member.Ready, member.Warming:
		if m.Status == member.Alive {
			return healthy
		}
		return unhealthy
	case member.Yielding:
		if m.Status == member.Alive {
			return yielding
		}
		return unhealthy
	case member.Unhealthy:
		return unhealthy
	}
	return closed
}

// Endpoint is this node's view of one endpoint. The exported fields do not
// change; the others are guarded by the lock of the service.
type Endpoint struct {
	ID      mesh.NodeID
	Zone    mesh.AvailabilityZone
	Addr    mesh.Addr // peer address of the gate
	Service mesh.Service

	svc         *service
	class       class
	state       member.EndpointState
	status      member.Status
	incarnation uint64
	slots       float64 // at least 1
	inflight    int
	pressure    []pressureSample
	load        loadReport
	obs         observations
	finish      finishState

	drainedUntil time.Time // set when the gate refused with draining
	ejectedUntil time.Time
	failedUntil  time.Time // set when it failed while not healthy
	probing      bool      // no success since the last ejection: one request at a time
}

// score is the load by which endpoints are compared: the share of the slots
// that this node would use, plus the pressure of the rank.
func (e *Endpoint) score(rank mesh.Rank, now time.Time) float64 {
	return float64(e.inflight+1)/e.slots + e.pressureOf(rank, now)
}

// overloaded reports whether endpoints of other availability zones should be
// considered instead of e.
func (e *Endpoint) overloaded(rank mesh.Rank, now time.Time) bool {
	return float64(e.inflight) >= e.slots || e.pressureOf(rank, now) >= spillPressure
}

func (e *Endpoint) update(m *member.Member) {
	if m.Incarnation > e.incarnation {
		e.drainedUntil = time.Time{}
	}
	e.class = classify(m)
	if e.state == member.Warming && m.Endpoint == member.Ready {
		e.load.serviceTimes = nil // measured while the endpoint was warming up
		e.finish = finishState{}
	}
	e.state, e.status, e.incarnation = m.Endpoint, m.Status, m.Incarnation
	e.slots = float64(max(m.Slots, 1))
}

// EndpointInfo describes an endpoint to operators.
type EndpointInfo struct {
	ID          mesh.NodeID           `json:"id"`
	Zone        mesh.AvailabilityZone `json:"zone"`
	Addr        mesh.Addr             `json:"addr"`
	State       string                `json:"state"`
	Status      string                `json:"status"`
	Eligibility string                `json:"use"` // see below
	InFlight    int                   `json:"inflight"`
	Slots       int                   `json:"slots"`
	Pressure    float64               `json:"pressure"`
}

// The values of EndpointInfo.Eligibility.
const (
	eligibleOpen     = "open"
	eligibleProbing  = "probing"  // no success since the last ejection
	eligibleEjected  = "ejected"  // held back for failures or slowness
	eligibleDraining = "draining" // its gate refused as draining
	eligibleYielding = "yielding"
	eligibleCautious = "cautious" // unhealthy
	eligibleClosed   = "closed"
)

func (e *Endpoint) info(rank mesh.Rank, now time.Time) EndpointInfo {
	return EndpointInfo{
		ID: e.ID, Zone: e.Zone, Addr: e.Addr,
		State: e.state.String(), Status: e.status.String(), Eligibility: e.eligibility(now),
		InFlight: e.inflight, Slots: int(e.slots), Pressure: e.pressureOf(rank, now),
	}
}

func (e *Endpoint) eligibility(now time.Time) string {
	switch {
	case e.class == closed:
		return eligibleClosed
	case now.Before(e.drainedUntil):
		return eligibleDraining
	case e.class == unhealthy:
		return eligibleCautious
	case e.class == yielding:
		return eligibleYielding
	case now.Before(e.ejectedUntil):
		return eligibleEjected
	case e.probing:
		return eligibleProbing
	}
	return eligibleOpen
}
