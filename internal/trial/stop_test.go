package trial

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/wait"
)

// stopResponse is a response during the stops of TestHostedStopsWithLongWork.
type stopResponse struct {
	response
	node       *hostedNode
	unsafe     bool
	sent, done time.Time
}

// TestHostedStopsWithLongWork guards against nodes, stopped in turn, that take or admit
// requests which they then cut off.
func TestHostedStopsWithLongWork(t *testing.T) {
	const (
		longWork  = 4 * time.Second
		shortWork = 20 * time.Millisecond
		stopGap   = time.Second
		workers   = 6 // per node
		longShare = 3 // one in so many requests
	)
	h := newHostedMesh(t)
	for i, s := range []string{"haul", "survey", "haul", "survey"} {
		h.addNode(i, s).server.ServiceTimeOf = func(path string) time.Duration {
			if strings.Contains(path, "/long/") {
				return longWork
			}
			return shortWork
		}
	}
	h.configure("haul", "survey")

	var mu sync.Mutex
	var responses []stopResponse
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var callers sync.WaitGroup
	for i, n := range h.nodes {
		for w := range workers {
			callers.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 12 * time.Second}
				defer client.CloseIdleConnections()
				for k := i + w; ctx.Err() == nil; k++ {
					r := stopResponse{node: n, unsafe: k%2 == 0, sent: time.Now()}
					method, path := http.MethodGet, "/survey/"
					if r.unsafe {
						method, path = http.MethodPost, "/haul/"
					}
					if k%longShare == 0 {
						path += "long/"
					}
					r.response = n.sendWith(client, method, path)
					r.done = time.Now()
					mu.Lock()
					responses = append(responses, r)
					mu.Unlock()
					if r.status != http.StatusOK {
						_ = wait.For(ctx, 50*time.Millisecond)
					}
				}
			})
		}
	}
	require.NoError(t, wait.For(ctx, 2*longWork))

	stopped := make(map[*hostedNode]time.Time)
	stopErrs := make(chan error, len(h.nodes))
	for _, n := range h.nodes {
		stopped[n] = time.Now()
		go func() {
			end, cancelStop := context.WithTimeout(context.Background(), hostedGrace)
			defer cancelStop()
			err := n.process.Stop(end)
			n.start()
			stopErrs <- err
		}()
		require.NoError(t, wait.For(ctx, stopGap))
	}
	for range h.nodes {
		require.NoError(t, <-stopErrs)
	}
	require.NoError(t, wait.For(ctx, time.Second))
	cancel()
	callers.Wait()

	runs := make(map[string]int)
	for _, n := range h.nodes {
		for id, k := range n.server.Runs() {
			runs[id] += k
		}
	}
	counts := make(map[int]int)
	for _, r := range responses {
		counts[r.status]++
		ran := runs[r.id]
		require.False(t, r.unsafe && ran > 1, "%s ran %d times", r.id, ran)
		at := stopped[r.node]
		switch {
		case r.status == http.StatusOK:
			require.Positive(t, ran, r.id)
		case r.status == http.StatusServiceUnavailable:
			require.Zero(t, ran, "%s was refused and ran", r.id)
		case ran == 0:
		default:
			t.Errorf("%s, unsafe %v, ran and was given up with status %d (%s), %v after it was sent and %v after the stop of its node",
				r.id, r.unsafe, r.status, r.kind, r.done.Sub(r.sent), r.done.Sub(at))
		}
	}
	t.Logf("%d responses by status %v", len(responses), counts)
	require.Greater(t, counts[http.StatusOK], 100)
}
