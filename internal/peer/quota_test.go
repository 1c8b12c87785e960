package peer

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/quota"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// requestQuotas requests 60 requests/s for each of n routes with a rate of 100.
func requestQuotas(t *testing.T, p *testPeer, n int) (shares []float64, failed int) {
	var ds []quota.Demand
	for i := range n {
		k := quota.Key{Account: mesh.ClientAccount(fmt.Sprintf("account-%d", i)), Route: "reserve"}
		ds = append(ds, quota.Demand{Key: k, Rate: 100, Wanted: 60})
	}
	var mu sync.Mutex
	p.RequestQuota(t.Context(), ds, func(g quota.Grant) {
		mu.Lock()
		defer mu.Unlock()
		shares = append(shares, g.Share)
	}, func(quota.Key) {
		mu.Lock()
		defer mu.Unlock()
		failed++
	})
	return shares, failed
}

// TestAskQuota guards against nodes that send demands for one limit to
// different owners, whose shares would then add up to more than the rate.
func TestAskQuota(t *testing.T) {
	const routes = 20
	ps := startPeers(t, 3)
	_, failed := requestQuotas(t, ps[0], routes)
	require.Zero(t, failed)
	for range 2 { // the shares are final after the second round
		for _, p := range ps[:2] {
			_, failed = requestQuotas(t, p, routes)
			require.Zero(t, failed)
		}
	}
	for _, p := range ps[:2] {
		shares, _ := requestQuotas(t, p, routes)
		require.Len(t, shares, routes)
		require.InDelta(t, 50, slices.Min(shares), 1)
		require.InDelta(t, 50, slices.Max(shares), 1)
	}
}

// TestAskQuotaOwnerGone guards against a demand that is neither granted nor
// failed when the owner does not answer.
func TestAskQuotaOwnerGone(t *testing.T) {
	const routes = 20
	ps := startPeers(t, 2)
	require.NoError(t, ps[1].stop())
	shares, failed := requestQuotas(t, ps[0], routes)
	require.Equal(t, routes, len(shares)+failed)
	require.Positive(t, failed)
	require.NotEmpty(t, shares, "the limits that the node itself owns")
}
