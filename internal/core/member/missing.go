package member

import "lavenderrill.dev/lavenderrill/pkg/mesh"

// DegradedServices returns the services of which more than half of the remembered
// endpoints are suspect or dead. Members that left do not count. Callers go on
// to try the last known endpoints of such a service with care, since the view
// may be wrong.
func DegradedServices(ms []Member) map[mesh.Service]bool {
	all, gone := make(map[mesh.Service]int), make(map[mesh.Service]int)
	for _, m := range ms {
		if m.Service == "" || m.Endpoint == NoEndpoint || m.Status == Left {
			continue
		}
		all[m.Service]++
		if m.Status != Alive {
			gone[m.Service]++
		}
	}
	out := make(map[mesh.Service]bool)
	for s, n := range gone {
		if 2*n > all[s] {
			out[s] = true
		}
	}
	return out
}
