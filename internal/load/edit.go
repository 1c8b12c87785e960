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

// editTimeout bounds the wait until every node serves an edit.
const editTimeout = 30 * time.Second

// edited is one edit. Times are from the sending of the accept request.
type edited struct {
	Version   mesh.Version
	Committed time.Duration // until the answer
	Active    time.Duration // until every node serves it; 0 if not observed
	Err       error
}

// editor accepts edits and observes when nodes serve them.
type editor struct {
	c        *cluster
	edits    Edits
	seed     uint64
	watching atomic.Int64 // edits that are not yet served everywhere
	nodes    []*watched
}

// watched is what was seen of the versions of one node.
type watched struct {
	mu    sync.Mutex
	seen  []sighting // rising versions
	polls int
}

type sighting struct {
	version mesh.Version
	at      time.Time
}

// add records that the node served v at a time.
func (w *watched) add(v mesh.Version, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	if n := len(w.seen); n == 0 || w.seen[n-1].version < v {
		w.seen = append(w.seen, sighting{v, at})
	}
}

// since returns the first time at which the node was seen to serve v or a
// higher version.
func (w *watched) since(v mesh.Version) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.seen) - 1; i >= 0; i-- {
		if w.seen[i].version < v {
			if i+1 < len(w.seen) {
				return w.seen[i+1].at, true
			}
			return time.Time{}, false
		}
	}
	if len(w.seen) > 0 {
		return w.seen[0].at, true
	}
	return time.Time{}, false
}

// run accepts edits for length and returns them all once the last is served.
func (e *editor) run(ctx context.Context, length time.Duration) []edited {
	poll, stop := context.WithCancel(ctx)
	var pollers sync.WaitGroup
	if e.edits.Observe {
		for i := range e.c.Nodes {
			w := &watched{}
			e.nodes = append(e.nodes, w)
			pollers.Go(func() { e.watch(poll, i, w) })
		}
	}
	var mu sync.Mutex
	var all []edited
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(e.seed, e.seed))
	start := time.Now()
	gap := time.Duration(float64(time.Second) / e.edits.Rate)
	for at, i := time.Duration(0), 0; at < length; at, i = at+gap, i+1 {
		if !waitUntil(ctx, start.Add(at), false) {
			break
		}
		node := rnd.IntN(len(e.c.Nodes))
		wg.Go(func() {
			ed := e.one(ctx, i, node)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, ed)
		})
	}
	wg.Wait()
	stop()
	pollers.Wait()
	return all
}

// one accepts the i-th edit at a node.
func (e *editor) one(ctx context.Context, i, node int) edited {
	e.watching.Add(1)
	defer e.watching.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	file := e.c.account(i%e.c.x.Mesh.Accounts, firstLimit+1+i)
	begin := time.Now()
	a, err := e.c.operator(node).Accept(ctx, client.AcceptRequest{
		Change: mesh.ChangeID(uuid.NewString()), Operator: "load", Edit: client.Edit{Files: []client.File{file}},
	})
	ed := edited{Version: a.Version, Committed: time.Since(begin), Err: err}
	if err != nil || !e.edits.Observe {
		return ed
	}
	for _, w := range e.nodes {
		at, ok := w.since(a.Version)
		for !ok {
			if ed.Err = wait.For(ctx, e.edits.PollInterval); ed.Err != nil {
				return ed
			}
			at, ok = w.since(a.Version)
		}
		ed.Active = max(ed.Active, at.Sub(begin))
	}
	return ed
}

// watch polls the counters of node i while an edit is under way. Each node
// begins its polls at another time, so that they do not come in bursts.
func (e *editor) watch(ctx context.Context, i int, w *watched) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: time.Second}
	defer client.CloseIdleConnections()
	if wait.For(ctx, e.edits.PollInterval*time.Duration(i)/time.Duration(len(e.c.Nodes))) != nil {
		return
	}
	for {
		if e.watching.Load() > 0 {
			if v, err := versionOf(ctx, client, e.c.Nodes[i].Addrs().Operator); err == nil {
				w.add(v, time.Now())
			}
		}
		if wait.For(ctx, e.edits.PollInterval) != nil {
			return
		}
	}
}

func versionOf(ctx context.Context, c *http.Client, addr string) (mesh.Version, error) {
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
