package backend

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestFewConnections guards against admitted requests that wait for a connection to a
// backend server which announces less than two for each slot, and against more connections
// than it announces. In such a wait a request holds a slot that it does not use, keeps an
// outdated deadline, and may be sent after the departure of the server was acknowledged.
func TestFewConnections(t *testing.T) {
	const slots, connections = 4, 5
	var open, most, running atomic.Int64
	release := make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			most.Store(max(most.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	s.Start()
	defer s.Close()
	g := newTestGate(t, "", nil)
	body := fmt.Sprintf(`{"service":"reservasi","addr":%q,"slots":%d,"connections":%d,"state":"ready","health":"/h","load":"/l"}`, s.Listener.Addr(), slots, connections)
	require.Equal(t, http.StatusOK, g.announce(t, body).Code)
	for _, rank := range []mesh.Rank{"urgent", "bulk", "urgent"} {
		var senders sync.WaitGroup
		n := slots
		if rank == "bulk" {
			n = slots / 2 // bulk ranks get no more after another rank had work
		}
		for range n {
			req := g.request(t, http.MethodGet, "", 2*time.Second)
			req.Header.Set(mesh.RankHeader, string(rank))
			senders.Go(func() {
				resp, err := http.DefaultClient.Do(req)
				if err == nil {
					resp.Body.Close()
				}
			})
		}
		require.Eventually(t, func() bool { return running.Load() == int64(n) }, time.Second, time.Millisecond, "not all %d of rank %s run at the same time", n, rank)
		for range n {
			release <- struct{}{}
		}
		senders.Wait()
	}
	require.LessOrEqual(t, most.Load(), int64(connections))
}
