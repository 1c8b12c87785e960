package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// editTimeout bounds the commit of an edit and the wait until every node serves it.
const editTimeout = 30 * time.Second

// editResult is the result of one edit. Durations are measured from the sending
// of the accept request.
type editResult struct {
	Version   mesh.Version
	Committed time.Duration // until the response
	Active    time.Duration // until every node serves it; 0 if not observed
	Err       error
}

// editor submits edits and observes when nodes serve them.
type editor struct {
	cluster   *cluster
	edits     Edits
	seed      uint64
	pending   atomic.Int64 // edits not yet served by every node
	histories []*versionHistory
}

// versionHistory records the versions that one node was observed to serve.
type versionHistory struct {
	mu           sync.Mutex
	observations []observation // in ascending order of version
	polls        int
}

type observation struct {
	version mesh.Version
	at      time.Time
}

// record adds the observation that the node served v at the given time.
func (h *versionHistory) record(v mesh.Version, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.polls++
	if n := len(h.observations); n == 0 || h.observations[n-1].version < v {
		h.observations = append(h.observations, observation{v, at})
	}
}

// activeSince returns the time of the first observation of v or a higher
// version.
func (h *versionHistory) activeSince(v mesh.Version) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.observations) - 1; i >= 0; i-- {
		if h.observations[i].version < v {
			if i+1 < len(h.observations) {
				return h.observations[i+1].at, true
			}
			return time.Time{}, false
		}
	}
	if len(h.observations) > 0 {
		return h.observations[0].at, true
	}
	return time.Time{}, false
}

// run submits edits for length. It returns the results when every edit is served
// or failed.
func (e *editor) run(ctx context.Context, length time.Duration) []editResult {
	pollCtx, stopPolling := context.WithCancel(ctx)
	var pollers sync.WaitGroup
	if e.edits.Observe {
		for i := range e.cluster.Nodes {
			h := &versionHistory{}
			e.histories = append(e.histories, h)
			pollers.Go(func() { e.poll(pollCtx, i, h) })
		}
	}
	var mu sync.Mutex
	var results []editResult
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(e.seed, e.seed))
	start := time.Now()
	interval := time.Duration(float64(time.Second) / e.edits.Rate)
	for at, i := time.Duration(0), 0; at < length; at, i = at+interval, i+1 {
		if !waitUntil(ctx, start.Add(at), false) {
			break
		}
		node := rnd.IntN(len(e.cluster.Nodes))
		wg.Go(func() {
			res := e.submit(ctx, i, node)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, res)
		})
	}
	wg.Wait()
	stopPolling()
	pollers.Wait()
	return results
}

// submit sends the i-th edit to a node and, if e observes edits, waits until
// every node serves it.
func (e *editor) submit(ctx context.Context, i, node int) editResult {
	e.pending.Add(1)
	defer e.pending.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	file := e.cluster.accountFile(i%e.cluster.experiment.Mesh.Accounts, initialLimit+1+i)
	begin := time.Now()
	resp, err := e.cluster.operatorClient(node).Accept(ctx, client.AcceptRequest{
		Change: mesh.ChangeID(uuid.NewString()), Operator: "load", Edit: client.Edit{Files: []client.File{file}},
	})
	res := editResult{Version: resp.Version, Committed: time.Since(begin), Err: err}
	if err != nil || !e.edits.Observe {
		return res
	}
	for _, h := range e.histories {
		at, ok := h.activeSince(resp.Version)
		for !ok {
			if res.Err = wait.For(ctx, e.edits.PollInterval); res.Err != nil {
				return res
			}
			at, ok = h.activeSince(resp.Version)
		}
		res.Active = max(res.Active, at.Sub(begin))
	}
	return res
}

// poll polls the version of node i while an edit is pending. The polls of
// different nodes are offset in time to avoid bursts.
func (e *editor) poll(ctx context.Context, i int, h *versionHistory) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	if wait.For(ctx, e.edits.PollInterval*time.Duration(i)/time.Duration(len(e.cluster.Nodes))) != nil {
		return
	}
	for {
		if e.pending.Load() > 0 {
			if v, err := fetchVersion(ctx, client, e.cluster.Nodes[i].Addrs().Operator); err == nil {
				h.record(v, time.Now())
			}
		}
		if wait.For(ctx, e.edits.PollInterval) != nil {
			return
		}
	}
}

func fetchVersion(ctx context.Context, c *http.Client, addr string) (mesh.Version, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/debug/vars", nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var v struct {
		Version mesh.Version `json:"config_version"`
	}
	return v.Version, json.NewDecoder(resp.Body).Decode(&v)
}
