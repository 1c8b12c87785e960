package node

import (
	"golang.org/x/time/rate"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// claimWriteRate is the write rate that all gates share for claim rows: half of
// the platform's planned rate of 300 writes/s.
const claimWriteRate rate.Limit = 150

// claimShare returns the share of claimWriteRate of one gate. Gates of services
// without a route with claims write no claims and are not counted.
func claimShare(s *config.Snapshot, ms []member.Member) rate.Limit {
	if s == nil {
		return claimWriteRate
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
	return claimWriteRate / rate.Limit(max(gates, 1))
}
