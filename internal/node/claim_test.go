package node

import (
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// TestClaimShare guards against gates that together exceed the write rate for
// claims, and against a gate that gets less than its share.
func TestClaimShare(t *testing.T) {
	s := &config.Snapshot{Routes: []config.Route{{Service: "reservasi", Claim: true}, {Service: "katalog"}}}
	ms := []member.Member{
		{ID: "a", Service: "reservasi"}, {ID: "b", Service: "reservasi", Status: member.Suspect},
		{ID: "c", Service: "reservasi", Status: member.Dead}, {ID: "d", Service: "katalog"},
	}
	require.Equal(t, rate.Limit(75), claimShare(s, ms))
	require.Equal(t, rate.Limit(150), claimShare(s, nil))
	require.Equal(t, rate.Limit(150), claimShare(nil, ms))
}

// TestRegistrationSpread guards against a mass restart that exceeds the write
// rate of the platform.
func TestRegistrationSpread(t *testing.T) {
	require.Equal(t, minRegistrationSpread, registrationSpread(1))
	const members, writes = 2_500, 300 // writes per second of the platform
	require.Less(t, members/registrationSpread(members).Seconds(), float64(writes))
}
