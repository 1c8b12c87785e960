package trial

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/platform/standin"
)

// TestHostedStopOfReceiver guards against a planned stop that cuts off bodies which the gate
// of another VM holds back at the rate of its link: downloads that are sent when the node
// stops, others that are still at work, and uploads.
func TestHostedStopOfReceiver(t *testing.T) {
	t.Parallel() // with the other long tests, after those that measure memory
	const (
		linkMbps      = 4
		bodies        = 10
		downloadBytes = 260_000 // all take 5.2 s at the rate of the link, and 5.8 s at 0.9 of it
		uploadBytes   = 275_000 // all take 5.5 s at the rate of the link, and 6.1 s at 0.9 of it
		work          = 300 * time.Millisecond
	)
	h := newHostedMesh(t)
	h.slowTarget = time.Second
	h.addRelay = func(n *hostedNode) { n.linkMbps = linkMbps }
	services := []string{"look", "guide", "parcel"}
	for i, s := range services {
		h.addNode(i, s).server.SetFaults(standin.Faults{Slots: 2 * bodies, Queue: 2 * bodies})
	}
	h.configure(append(services, slowRoute+"parcel")...)
	h.nodes[1].server.PadBytes = downloadBytes
	h.nodes[1].server.ServiceTimeOf = func(string) time.Duration { return work }
	front := h.nodes[0]

	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * hostedGrace}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	counts := make(map[string]map[int]int) // by method and status
	var callers sync.WaitGroup
	send := func(n int, method, path string, size int) {
		for range n {
			callers.Go(func() {
				r := front.sendBody(client, method, path, strings.NewReader(strings.Repeat("x", size)))
				mu.Lock()
				defer mu.Unlock()
				if counts[method] == nil {
					counts[method] = make(map[int]int)
				}
				counts[method][r.status]++
			})
		}
	}
	send(bodies, http.MethodPost, "/"+slowRoute+"parcel/", uploadBytes)
	send(bodies/2, http.MethodGet, "/guide/", 0)
	time.Sleep(work)
	send(bodies-bodies/2, http.MethodGet, "/guide/", 0)
	time.Sleep(work / 2)
	ctx, cancel := context.WithTimeout(t.Context(), hostedGrace)
	defer cancel()
	require.NoError(t, front.process.Stop(ctx))
	callers.Wait()
	require.Equal(t, map[string]map[int]int{
		http.MethodGet:  {http.StatusOK: bodies},
		http.MethodPost: {http.StatusOK: bodies},
	}, counts)
}
