package demand

import (
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxReportedRanks bounds the ranks of one report.
	maxReportedRanks = 64
	// minOffered is the number of requests of a rank from which the refused share is
	// known.
	minOffered = 5
)

// Share is the share of the requests of a rank that a service refuses.
type Share struct {
	Rank    mesh.Rank
	Refused float64
}

// offered holds the requests of one rank that the gate of this node was offered.
type offered struct {
	first   decayed // first attempts
	refused decayed // last attempts that admission refused
	early   decayed // refused by Check
}

// FormatShortage returns the value of a shortage header, "" if nothing is refused.
func FormatShortage(shares []Share) string {
	var b []byte
	for _, s := range shares {
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(b, s.Rank...)
		b = append(b, '=')
		b = strconv.AppendFloat(b, s.Refused, 'f', 2, 64)
	}
	return string(b)
}

// ParseShortage returns the shares of a shortage header. Invalid items are ignored.
func ParseShortage(header string) []Share {
	if header == "" {
		return nil
	}
	var out []Share
	for item := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(item, "=")
		v, err := strconv.ParseFloat(value, 64)
		if err == nil && v >= 0 && v <= 1 && len(out) < maxReportedRanks {
			out = append(out, Share{mesh.Rank(name), v})
		}
	}
	return out
}

// refusedShare returns the share of the requests that pass Check which no gate admitted. A
// request that a gate refuses is offered to others, so that the first attempts that
// arrive here compare with the last ones that are refused here. Requests that Check
// refuses do not count: they say nothing of the capacity of this service.
func (o *offered) refusedShare(now time.Time) float64 {
	passed := o.first.at(now, outcomeTime) - o.early.at(now, outcomeTime)
	if passed < minOffered {
		return 0
	}
	return min(o.refused.at(now, outcomeTime)/passed, 1)
}
