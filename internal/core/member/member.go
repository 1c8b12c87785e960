package member

import "lavenderrill.dev/lavenderrill/pkg/mesh"

// Status is the liveness of a member as this node sees it.
type Status uint8

// The statuses in ascending precedence: of two records with the same
// incarnation, the one with the later status overrides the other.
const (
	Alive Status = iota
	Suspect
	Dead
	Left
)

// String returns the lower-case name of s.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "invalid"
}

// EndpointState is the state of the backend server beside a node.
type EndpointState uint8

// The endpoint states.
const (
	NoEndpoint EndpointState = iota
	Starting
	Ready
	Draining
	Unhealthy
	Yielding // ready, but its node is about to stop
	Warming  // ready, but still slow after its start
)

// String returns the lower-case name of s.
func (s EndpointState) String() string {
	switch s {
	case NoEndpoint:
		return "none"
	case Starting:
		return "starting"
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Unhealthy:
		return "unhealthy"
	case Yielding:
		return "yielding"
	case Warming:
		return "warming"
	}
	return "invalid"
}

// Member describes one node of the mesh.
type Member struct {
	ID          mesh.NodeID
	Zone        mesh.AvailabilityZone
	Addr        mesh.Addr    // peer address, TCP and UDP
	Service     mesh.Service // service of the backend server, "" without one
	Slots       int          // requests the backend server runs at a time
	Endpoint    EndpointState
	Incarnation uint64
	Status      Status
}
