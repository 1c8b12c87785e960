package trial

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/platform/standin"
)

// TestHostedServiceChange guards against a backend server that runs requests of the service
// that its address had before, and against requests that go on to name that service as
// their caller. The settings file changes without a signal.
func TestHostedServiceChange(t *testing.T) {
	h := startHostedMesh(t, "look", "look", "book")
	h.configure("look", "book")
	a := h.nodes[0]
	h.eventually(5*time.Second, func() bool { return a.send("GET", "/look/x").status == 200 && len(a.server.Runs()) > 0 }, "work for the backend server")
	a.heartbeatsOff.Store(true)
	require.NoError(t, a.server.Close())

	a.service = "book"
	next := a.settingsPath + ".next"
	require.NoError(t, os.WriteFile(next, []byte(a.settingsYAML(0)), 0o600))
	require.NoError(t, os.Rename(next, a.settingsPath))
	server, err := standin.NewServer(a.appAddr, "i-next", "book", 5*time.Millisecond)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })

	var looks []string
	served := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
		for _, n := range h.nodes {
			r := n.send("GET", "/look/x")
			looks = append(looks, r.id)
			if r.status == 200 {
				served++
			}
		}
	}
	runs := server.Runs()
	for _, id := range looks {
		require.Zero(t, runs[id], "a request of the service look")
	}
	require.Greater(t, served, len(looks)/2, "of the service look, which has another backend server")

	a.server = server
	a.heartbeatsOff.Store(false)
	h.eventually(5*time.Second, func() bool { return a.send("GET", "/book/x").status == 200 && len(server.Runs()) > len(runs) }, "work for the next backend server")
	byLook := func() int {
		return server.Callers()["look"] + h.nodes[1].server.Callers()["look"] + h.nodes[2].server.Callers()["look"]
	}
	before := byLook()
	for range 20 {
		a.send("GET", "/book/x")
		a.send("GET", "/look/x")
	}
	require.Equal(t, before, byLook(), "requests that name the service of before as their caller")
}
