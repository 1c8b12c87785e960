package node

import (
	"golang.org/x/time/rate"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// claimWrites is the write rate of the platform that the gates share for claim
// rows: half of the 300 writes/s that the platform is planned with.
const claimWrites rate.Limit = 150

// claimShare returns the part of claimWrites of one gate. Gates of services
// that no route with claims leads to write no claims and take no part.
func claimShare(s *config.Snapshot, ms []member.Member) rate.Limit {
	if s == nil {
		return claimWrites
	}
	claimed := map[mesh.Service]bool{}
	for i := range s.Routes {
		if s.Routes[i].Claim {
			claimed[s.Routes[i].Service] = true
		}
	}
	gates := 0
	for i := range ms {
		if ms[i].Status <= member.Suspect && claimed[ms[i].Service] {
			gates++
		}
	}
	return claimWrites / rate.Limit(max(gates, 1))
}
