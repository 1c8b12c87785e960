package demand

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// outcomeTime is the time constant of the outcomes of calls. It spans some 20 calls
	// of a node, and an outage is noticed within a second.
	outcomeTime = 3 * time.Second
	// minRefusedCalls is the number of recent refused calls without which nothing is refused.
	minRefusedCalls = 3
	// minRefusedShare is the share of refused calls below which nothing is refused.
	minRefusedShare = 0.05
	// maxVainShare is the largest share of requests that is refused, so that some find
	// out when the called service has capacity again.
	maxVainShare = 0.9
	// yieldTolerance is the share by which urgent requests may be refused more often by the
	// gates' counts. Reports lag and count attempts; in the simulation both ranks are then
	// served equally often. A smaller one only costs: of the capacity that a less urgent
	// request leaves, only its call reaches the urgent rank.
	yieldTolerance = 0.07
	// yieldFactor is the refused share of a less urgent rank, as a multiple of that of a
	// more urgent one, before yieldTolerance. It is above 1, since reports lag.
	yieldFactor = 1.2
	// shortageWeight is the weight of one report in the shortage of a service.
	shortageWeight = 0.1
	// minShortage is the refused share below which a service is not short. Chance alone
	// refuses a few requests in a burst.
	minShortage = 0.05
)

// called is what is known of a service that the backend server beside this node calls.
type called struct {
	succeeded, refused decayed                    // calls
	shortage           map[mesh.Rank]*decayed     // share of requests that the gates refuse
	needs              map[mesh.Service]time.Time // services that s needs, and when that was reported
}

// vainShare returns the share of the requests that need s to refuse: that of the calls
// that are refused for lack of capacity, where each request that is refused leaves capacity
// to another one. Calls that fail at a backend server do not count. They fail whatever the
// load, and of the requests that would be refused for them, most would succeed.
func (c *called) vainShare(now time.Time) float64 {
	refused := c.refused.at(now, outcomeTime)
	calls := refused + c.succeeded.at(now, outcomeTime)
	if refused < minRefusedCalls || refused < minRefusedShare*calls {
		return 0
	}
	return min(refused/calls, maxVainShare)
}

// recordShortage records the share of each rank that a gate of the service refuses.
func (c *called) recordShortage(shares []Share, now time.Time) {
	for _, d := range c.shortage {
		d.value, d.last = d.value*(1-shortageWeight), now
	}
	for _, s := range shares {
		d := c.shortage[s.Rank]
		if d == nil {
			if len(c.shortage) >= maxReportedRanks {
				continue
			}
			d = new(decayed)
			c.shortage[s.Rank] = d
		}
		d.value, d.last = d.value+shortageWeight*s.Refused, now
	}
}

// yieldShare returns the share of the requests of a tier to refuse, so that the more
// urgent ranks of the called service are not served less often. The gates of this service
// refuse the share own of them anyway.
func (c *called) yieldShare(tiers map[mesh.Rank]int, tier int, own float64, now time.Time) float64 {
	worst := 0.0
	for name, d := range c.shortage {
		if i, ok := tiers[name]; ok && i < tier {
			worst = max(worst, d.at(now, outcomeTime))
		}
	}
	if worst < minShortage {
		return 0
	}
	served := min(max(1-yieldFactor*worst+yieldTolerance, 1-maxVainShare), 1)
	return max(1-served/max(1-own, 1-maxVainShare), 0)
}
