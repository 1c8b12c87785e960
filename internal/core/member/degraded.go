package member

import "lavenderrill.dev/lavenderrill/pkg/mesh"

// DegradedServices returns the services of which more than half of the
// remembered endpoints are suspect or dead. Members that left do not count.
// Callers continue to try the last known endpoints of such a service
// cautiously, since the view may be wrong.
func DegradedServices(ms []Member) map[mesh.Service]bool {
	total, down := make(map[mesh.Service]int), make(map[mesh.Service]int)
	for _, m := range ms {
		if m.Service == "" || m.Endpoint == NoEndpoint || m.Status == Left {
			continue
		}
		total[m.Service]++
		if m.Status != Alive {
			down[m.Service]++
		}
	}
	out := make(map[mesh.Service]bool)
	for s, n := range down {
		if 2*n > total[s] {
			out[s] = true
		}
	}
	return out
}
