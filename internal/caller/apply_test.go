package caller

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestTableFollowsSnapshot guards against requests that are routed by the
// previous version after the node has published a new one, while another
// request builds the table.
func TestTableFollowsSnapshot(t *testing.T) {
	var current atomic.Pointer[config.Snapshot]
	c := New(Config{ID: "n0", Snapshot: current.Load})
	first, second := &config.Snapshot{Version: 1}, &config.Snapshot{Version: 2}
	for i := range 20_000 {
		second.Routes = append(second.Routes, config.Route{
			Name: fmt.Sprint(i), Host: fmt.Sprintf("h%d.example", i), Path: "/", Deadline: time.Second,
		})
	}
	require.Nil(t, c.currentTable())
	current.Store(first)
	require.EqualValues(t, 1, c.currentTable().Snapshot().Version)
	current.Store(second)
	const requests = 8
	versions := make(chan uint64)
	for range requests {
		go func() { versions <- uint64(c.currentTable().Snapshot().Version) }()
	}
	for range requests {
		require.EqualValues(t, 2, <-versions)
	}
	c.Apply(first)
	require.EqualValues(t, 2, c.currentTable().Snapshot().Version, "a lower version is not applied")
}

// TestResourcesWithoutAccounts guards against counting every route as broken if
// the configuration has no client accounts, and against not counting a route
// whose service does not exist.
func TestResourcesWithoutAccounts(t *testing.T) {
	s := &config.Snapshot{
		Version: 1, Literal: true,
		Services: map[mesh.Service]config.ServicePolicy{"seats": {Name: "seats"}},
		Ranks:    []config.RankPolicy{{Name: "urgent"}},
		Routes:   []config.Route{{Name: "a", Path: "/a/", Service: "seats", Rank: "urgent"}},
	}
	m := metric.New()
	c := New(Config{ID: "n0", Snapshot: func() *config.Snapshot { return s }, Metrics: m})
	c.Apply(s)
	broken := func() string { return m.CounterGroup("invariant_broken").String() }
	require.Equal(t, "{}", broken())
	bad := *s
	bad.Version, bad.Routes = 2, []config.Route{{Name: "b", Path: "/b/", Service: "none", Rank: "urgent"}}
	c.Apply(&bad)
	require.Equal(t, `{"route_resource": 1}`, broken())
}
