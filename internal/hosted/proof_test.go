package hosted

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRequiredProof guards against a process that takes "nothing is known of a departure"
// for "nothing has departed", and against one that waits although it knows enough.
func TestRequiredProof(t *testing.T) {
	for name, c := range map[string]struct {
		startKnowledge
		want proof
	}{
		"first start of the system":       {startKnowledge{firstStart: true}, proofReport},
		"just started":                    {startKnowledge{}, proofPending},
		"row read, not joined":            {startKnowledge{rowRead: true, rowAttempted: true}, proofPending},
		"joined, row not read":            {startKnowledge{joinAttempted: true}, proofPending},
		"joined, row read":                {startKnowledge{joinAttempted: true, rowRead: true, rowAttempted: true}, proofReport},
		"joined, store away":              {startKnowledge{joinAttempted: true, rowAttempted: true}, proofHealthy},
		"store silent":                    {startKnowledge{waited: true}, proofHealthy},
		"no other node, row read":         {startKnowledge{rowRead: true, waited: true}, proofReport},
		"leaving before, row read":        {startKnowledge{predecessorLeaving: true, rowRead: true, joinAttempted: true}, proofRepeated},
		"leaving before, row not read":    {startKnowledge{predecessorLeaving: true, joinAttempted: true, rowAttempted: true, waited: true}, proofSeveral},
		"leaving before, just started":    {startKnowledge{predecessorLeaving: true}, proofSeveral},
		"leaving before the first start?": {startKnowledge{firstStart: true, predecessorLeaving: true}, proofReport},
	} {
		require.Equal(t, c.want, c.requiredProof(), name)
	}
	for _, c := range []struct {
		reports
		sufficient []proof
	}{
		{reports{}, nil},
		{reports{heartbeats: 1}, []proof{proofReport}},
		{reports{healthy: true}, []proof{proofReport}},
		{reports{heartbeats: 2}, []proof{proofReport, proofRepeated}},
		{reports{heartbeats: 1, healthy: true}, []proof{proofReport, proofHealthy}},
		{reports{heartbeats: 2, healthy: true}, []proof{proofReport, proofHealthy, proofRepeated}},
		{reports{heartbeats: maxLateHeartbeats + 1}, []proof{proofReport, proofHealthy, proofRepeated, proofSeveral}},
	} {
		for _, p := range []proof{proofPending, proofReport, proofHealthy, proofRepeated, proofSeveral} {
			require.Equal(t, slices.Contains(c.sufficient, p), c.suffice(p), "%+v for %s", c.reports, p)
		}
	}
}
