package backend

import (
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
)

// checkAvailable returns a refusal if the endpoint state or service does not allow
// c. g.mu must be held.
func (g *Gate) checkAvailable(c *call) *fault.Error {
	state := g.endpointState()
	switch {
	case state == member.Starting && g.rollout.control.Closed:
		return fault.New(fault.Draining, "the version of the backend server serves no requests now")
	case state == member.Draining, g.stopping:
		return fault.New(fault.Draining, "the backend server is draining")
	case state == member.NoEndpoint:
		return fault.New(fault.NoEndpoint, "no backend server has announced itself")
	case c.service != g.endpoint.service:
		return fault.Newf(fault.NoEndpoint, "the backend server is of service %q, not %q", g.endpoint.service, c.service)
	case state == member.Starting:
		return fault.New(fault.NotReady, "the backend server is starting")
	case state == member.Unhealthy:
		return fault.New(fault.NoEndpoint, "the backend server is unhealthy")
	}
	return nil
}
