package hosted

import (
	"bytes"
	"compress/gzip"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestHeld guards against a configuration that other nodes get cut short.
func TestHeld(t *testing.T) {
	raw := bytes.Repeat([]byte("configuration "), 5000)
	b, err := newHeld(&platform.Config{Snapshot: &config.Snapshot{Version: 3}, Raw: raw}).packed()
	require.NoError(t, err)
	z, err := gzip.NewReader(bytes.NewReader(b))
	require.NoError(t, err)
	got, err := io.ReadAll(z)
	require.NoError(t, err)
	require.Equal(t, raw, got)
}

// TestUpstreams guards against a node that follows a watcher of another availability
// zone, itself, or one that does not answer, while it has a better one.
func TestUpstreams(t *testing.T) {
	now := time.Now()
	ws := []member.Member{{ID: "self", Zone: "a"}, {ID: "b", Zone: "b"}, {ID: "a", Zone: "a"}, {ID: "c", Zone: "c"}}
	u := upstreams{self: "self", zone: "a"}
	next := func(want mesh.NodeID) {
		t.Helper()
		m, ok := u.choose(ws, now)
		require.Equal(t, want != "", ok)
		require.Equal(t, want, m.ID)
	}
	next("a")
	u.rest("a", now)
	next("b")
	u.rest("b", now)
	next("c")
	u.rest("c", now)
	next("")
	now = now.Add(upstreamRest)
	next("a")
}
