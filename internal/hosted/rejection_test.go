package hosted

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestRejectionWithoutID guards against a hosted node that believes a rejection although
// it does not name the request, which each backend server of the platform does.
func TestRejectionWithoutID(t *testing.T) {
	for name, c := range map[string]struct {
		echo bool
		want fault.RunState
	}{
		"names the request": {true, fault.NotRun},
		"names none":        {false, fault.RunUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.echo {
					w.Header().Set("Lavenderrill-Request-Id", r.Header.Get("Lavenderrill-Request-Id"))
				}
				w.Header().Set("Lavenderrill-Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}))
			defer s.Close()
			n := &Node{log: zap.NewNop(), askHealth: platform.CheckHealth, recheck: make(chan struct{}, 1)}
			addr := mesh.Addr(s.Listener.Addr().String())
			n.nodeSettings.Store(&settings.Hosted{Service: "s", Backend: addr, FirstStart: true})
			n.config.Store(&platform.Config{Snapshot: &config.Snapshot{Ranks: []config.RankPolicy{{Name: "p0", Target: time.Second}}}})
			n.gate = backend.New(backend.Config{Snapshot: n.snapshot, Dialect: n.dialect()})
			require.NoError(t, n.handleHeartbeat(platform.Heartbeat{Instance: "i", Service: "s", Addr: addr, Slots: 2, Sequence: 1, Born: 1}))
			g := httptest.NewServer(n.gate.HopHandler())
			defer g.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.URL, http.NoBody)
			require.NoError(t, err)
			req.Header.Set(mesh.RequestHeader, "r")
			req.Header.Set(mesh.ServiceHeader, "s")
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, string(c.want), resp.Header.Get(fault.RunHeader), string(body))
		})
	}
}
