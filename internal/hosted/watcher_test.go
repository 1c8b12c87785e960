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

// TestHeld guards against a truncated configuration being sent to other nodes.
func TestHeld(t *testing.T) {
	raw := bytes.Repeat([]byte("configuration "), 5000)
	b, err := newEncodedConfig(&platform.Config{Snapshot: &config.Snapshot{Version: 3}, Raw: raw}).compressed()
	require.NoError(t, err)
	z, err := gzip.NewReader(bytes.NewReader(b))
	require.NoError(t, err)
	got, err := io.ReadAll(z)
	require.NoError(t, err)
	require.Equal(t, raw, got)
}

// TestUpstreams guards against a node that follows a watcher of another availability
// zone, itself, or a watcher that does not respond, while it has a better one.
func TestUpstreams(t *testing.T) {
	now := time.Now()
	watchers := []member.Member{{ID: "self", Zone: "a"}, {ID: "b", Zone: "b"}, {ID: "a", Zone: "a"}, {ID: "c", Zone: "c"}}
	u := watcherSelector{self: "self", zone: "a"}
	expectChoice := func(want mesh.NodeID) {
		t.Helper()
		m, ok := u.choose(watchers, now)
		require.Equal(t, want != "", ok)
		require.Equal(t, want, m.ID)
	}
	expectChoice("a")
	u.startCooldown("a", now)
	expectChoice("b")
	u.startCooldown("b", now)
	expectChoice("c")
	u.startCooldown("c", now)
	expectChoice("")
	now = now.Add(watcherCooldown)
	expectChoice("a")
}
