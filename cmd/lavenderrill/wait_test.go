package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// statusClient returns a client of a node that counts one of two registered nodes as
// a member until the uncounted nodes have been requested the given number of times.
func statusClient(t *testing.T, uncounted int64) *client.Client {
	var asked atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		counts := client.ZoneStatus{Zone: "z", Members: 2, Current: 2}
		ids := []mesh.NodeID{}
		if asked.Load() < uncounted {
			counts = client.ZoneStatus{Zone: "z", Members: 1, Current: 1}
			ids = append(ids, "n2")
		}
		if r.URL.Path == "/v1/uncounted" {
			asked.Add(1)
			_ = json.NewEncoder(w).Encode(ids)
			return
		}
		_ = json.NewEncoder(w).Encode(client.Status{Converged: true, Zones: []client.ZoneStatus{counts}})
	}))
	t.Cleanup(s.Close)
	return client.New(client.Config{Node: strings.TrimPrefix(s.URL, "http://"), Token: "t"})
}

// TestWaitForRegistered guards against an accept right after the start of nodes that
// reports a version as served by all nodes while only one of them is a member.
func TestWaitForRegistered(t *testing.T) {
	s, err := waitConverged(t.Context(), statusClient(t, 3), 3)
	require.NoError(t, err)
	require.Equal(t, "accepted as version 3, served by all 2 nodes after 1s\n", convergenceText(3, s, time.Second))

	start := time.Now()
	s, err = waitConverged(t.Context(), statusClient(t, 1<<40), 3)
	require.NoError(t, err)
	require.Less(t, time.Since(start), uncountedTimeout+2*time.Second, "the row of a node that is gone stays")
	require.Contains(t, convergenceText(3, s, time.Second), "not counted: 1 nodes that are registered with the platform and cannot be reached: [n2]")
}
