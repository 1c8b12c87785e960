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

// statusClient returns a client of a node whose mesh counts one of two registered nodes
// in the first few answers.
func statusClient(t *testing.T, uncounted int64) *client.Client {
	var asked atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		st := client.Status{Converged: true, Zones: []client.ZoneStatus{{Zone: "z", Members: 2, Current: 2}}}
		if asked.Add(1) <= uncounted {
			st.Zones[0] = client.ZoneStatus{Zone: "z", Members: 1, Current: 1}
			st.Uncounted = []mesh.NodeID{"n2"}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(st)
	}))
	t.Cleanup(s.Close)
	return client.New(client.Config{Node: strings.TrimPrefix(s.URL, "http://"), Token: "t"})
}

// TestWaitForRegistered guards against an accept right after the start of nodes that
// reports a version as served by all, of which only one was known.
func TestWaitForRegistered(t *testing.T) {
	s, err := waitConverged(t.Context(), statusClient(t, 5), 3)
	require.NoError(t, err)
	require.Equal(t, "accepted as version 3, served by all 2 nodes after 1s\n", servedBy(3, s, time.Second))

	begin := time.Now()
	s, err = waitConverged(t.Context(), statusClient(t, 1<<40), 3)
	require.NoError(t, err)
	require.Less(t, time.Since(begin), uncountedWait+2*time.Second, "the row of a node that is gone stays")
	require.Contains(t, servedBy(3, s, time.Second), "not counted: 1 nodes that are registered with the platform and cannot be reached: [n2]")
}
