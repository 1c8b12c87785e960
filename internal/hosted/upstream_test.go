package hosted

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

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
