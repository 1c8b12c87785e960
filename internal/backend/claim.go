package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// IdempotencyKeyHeader carries the key that a caller sends with a request and
// with every repeat of it.
const IdempotencyKeyHeader = "Idempotency-Key"

const (
	// maxStoredBytes is the size of the largest response body that is kept for
	// repeats.
	maxStoredBytes = 64 << 10
	// claimOverheadBytes is the memory counted for a claim in addition to the
	// header and body of its response.
	claimOverheadBytes = 512
	// releaseTimeout limits the deletion of the claim row of a request that did
	// not run.
	releaseTimeout = 2 * time.Second
)

// ClaimResult is the result of writing a claim row.
type ClaimResult struct {
	Acquired bool   // the row belongs to the owner passed in the call
	Owner    string // current owner of the row
}

// claimState is the state of a claim that this gate holds in memory.
type claimState uint8

const (
	claimRunning        claimState = iota
	claimWriteUnknown              // the row may have been written; the request did not run
	claimReleased                  // the request did not run and the claim was removed
	claimStored                    // the request ran and its response is stored
	claimOutcomeUnknown            // the request may have run; no response is stored
)

// claim is the claim of one Idempotency-Key.
type claim struct {
	key      string
	owner    string
	state    claimState
	ended    chan struct{} // closed when state is no longer claimRunning
	response *storedResponse
	size     int // bytes counted against ClaimBytes
}

// storedResponse is a complete response kept for repeats of its request.
type storedResponse struct {
	status int
	header http.Header
	body   []byte
}

// claims holds the claims made by this gate, within Config.ClaimBytes.
type claims struct {
	conf    Config
	metrics *metrics
	routes  routeIndex

	mu    sync.Mutex
	byKey map[string]*claim
	order []*claim // oldest first; evict drops removed claims
	bytes int
}

func newClaims(c Config, m *metrics) *claims {
	return &claims{conf: c, metrics: m, byKey: make(map[string]*claim)}
}

// claim claims the Idempotency-Key of r if the route requires claims. It returns
// nil without an error if no claim is needed. A claim with a response belongs to
// a repeat, which is answered with that response; any other claim must be passed
// to finish.
func (g *Gate) claim(ctx context.Context, c *call, r *http.Request) (*claim, *fault.Error) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		return nil, nil
	}
	known, needsClaim := g.claims.routes.lookup(g.conf.Snapshot(), c.Account, c.route)
	if !known {
		return nil, fault.Newf(fault.NotReady, "route %q is not known here yet, so its claims are not either", c.route)
	}
	if !needsClaim {
		return nil, nil
	}
	claimKey := string(c.Account) + "/" + c.route + "/" + mesh.DigestOf([]byte(key)).String()
	if !g.claims.has(claimKey) {
		// Only for unknown keys: a repeat must not be refused as not run if the
		// first request ran.
		if e := g.precheck(c); e != nil {
			return nil, e
		}
	}
	return g.claims.acquire(ctx, claimKey)
}

// precheck returns the refusal that c would get now, which saves the write to
// the table for a request that cannot be admitted.
func (g *Gate) precheck(c *call) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.checkAvailable(c); e != nil {
		return e
	}
	now := time.Now()
	g.applySnapshot(now)
	if g.machine.PressureOf(now, c.Rank) >= 1 {
		return fault.New(fault.Overloaded, "the rank is refused at present")
	}
	return nil
}

// has reports whether this gate holds a claim of key.
func (cs *claims) has(key string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.byKey[key] != nil
}

// acquire writes a new claim of key, or waits for the end of the request that
// holds the claim and returns its claim if it has a stored response.
func (cs *claims) acquire(ctx context.Context, key string) (*claim, *fault.Error) {
	for {
		cl, created := cs.findOrCreate(key)
		if created {
			return cs.writeRow(ctx, cl)
		}
		select {
		case <-cl.ended:
		case <-ctx.Done():
			return nil, outcomeUnknown("the first request with this key is still running")
		}
		switch cs.stateOf(cl) {
		case claimStored:
			cs.metrics.claims.Add("repeated", 1)
			return cl, nil
		case claimOutcomeUnknown:
			return nil, outcomeUnknown("the first request with this key ended without a kept response")
		}
	}
}

func outcomeUnknown(reason string) *fault.Error { return fault.New(fault.OutcomeUnknown, reason) }

// findOrCreate returns the claim of key and whether it was created, in which case
// writeRow must be called. A claim that replaces one in claimWriteUnknown
// keeps its owner: if the earlier row was written, it then counts as acquired,
// which is correct because that request did not run.
func (cs *claims) findOrCreate(key string) (cl *claim, created bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	old := cs.byKey[key]
	owner := ""
	if old != nil {
		if old.state != claimWriteUnknown {
			return old, false
		}
		owner = old.owner
		cs.remove(old)
	}
	if owner == "" {
		owner = uuid.NewString()
	}
	cl = &claim{key: key, owner: owner, ended: make(chan struct{}), size: claimOverheadBytes}
	cs.byKey[key] = cl
	cs.order = append(cs.order, cl)
	cs.bytes += cl.size
	cs.evict()
	return cl, true
}

// writeRow writes the row of cl to the table, and finishes cl if that fails or
// the row belongs to another owner.
func (cs *claims) writeRow(ctx context.Context, cl *claim) (*claim, *fault.Error) {
	if cs.conf.Claim == nil {
		cs.finish(cl, claimReleased, nil)
		return nil, fault.New(fault.PlatformUnavailable, "claims need a platform and none is configured")
	}
	res, err := cs.conf.Claim(ctx, cl.key, cl.owner, cs.conf.ClaimTTL)
	switch {
	case err != nil:
		cs.metrics.claims.Add("failed", 1)
		cs.finish(cl, claimWriteUnknown, nil)
		if ctx.Err() != nil {
			return nil, contextRefusal(ctx.Err(), fault.NotRun)
		}
		return nil, fault.Newf(fault.PlatformUnavailable, "claim: %w", err)
	case !res.Acquired:
		cs.metrics.claims.Add("lost", 1)
		cs.finish(cl, claimReleased, nil)
		return nil, outcomeUnknown("a request with this key was started before")
	}
	cs.metrics.claims.Add("won", 1)
	return cl, nil
}

// release deletes the row of cl, whose request did not run, so that a repeat
// can run at any gate. If the deletion fails, repeats get outcome_unknown until
// the row expires.
func (cs *claims) release(ctx context.Context, cl *claim) {
	defer cs.finish(cl, claimReleased, nil)
	if cs.conf.ReleaseClaim == nil || cs.stateOf(cl) != claimRunning {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := cs.conf.ReleaseClaim(ctx, cl.key, cl.owner); err != nil {
		cs.metrics.claims.Add("release_failed", 1)
		cs.conf.Log.Warn("could not release the claim of a request that did not run; repeats get outcome_unknown until its row expires", zap.Error(err))
		return
	}
	cs.metrics.claims.Add("released", 1)
}

// finish moves cl from claimRunning to s. It has no effect on a claim that is
// already finished.
func (cs *claims) finish(cl *claim, s claimState, resp *storedResponse) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cl.state != claimRunning {
		return
	}
	cl.state = s
	close(cl.ended)
	if s == claimReleased {
		cs.remove(cl)
		return
	}
	if resp != nil {
		cl.response = resp
		n := resp.size()
		cl.size += n
		cs.bytes += n
	}
	cs.evict()
}

func (cs *claims) stateOf(cl *claim) claimState {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cl.state
}

// remove deletes cl from byKey. Its entry in order is left to evict.
func (cs *claims) remove(cl *claim) {
	if cs.byKey[cl.key] == cl {
		delete(cs.byKey, cl.key)
		cs.bytes -= cl.size
	}
}

// evict removes the oldest claims that are not running until the memory is
// within ClaimBytes. A repeat of an evicted claim finds the row in the table.
func (cs *claims) evict() {
	kept := cs.order[:0]
	for i, cl := range cs.order {
		if cs.byKey[cl.key] != cl {
			continue
		}
		if cs.bytes <= cs.conf.ClaimBytes {
			kept = append(kept, cs.order[i:]...)
			break
		}
		if cl.state == claimRunning {
			kept = append(kept, cl)
			continue
		}
		cs.remove(cl)
	}
	clear(cs.order[len(kept):])
	cs.order = kept
}

func (s *storedResponse) size() int {
	n := len(s.body)
	for k, vs := range s.header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// routeIndex maps account and route name to whether the route requires claims.
// It is rebuilt at the first lookup in a new snapshot.
type routeIndex struct {
	mu         sync.Mutex
	snapshot   *config.Snapshot
	needsClaim map[routeKey]bool
}

type routeKey struct {
	account mesh.ClientAccount
	name    string
}

// lookup reports whether s has the route and whether the route requires claims.
func (x *routeIndex) lookup(s *config.Snapshot, a mesh.ClientAccount, name string) (known, needsClaim bool) {
	if s == nil {
		return false, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.snapshot != s {
		x.snapshot = s
		x.needsClaim = make(map[routeKey]bool, len(s.Routes))
		for i := range s.Routes {
			r := &s.Routes[i]
			x.needsClaim[routeKey{r.Account, r.Name}] = r.Claim
		}
	}
	needsClaim, known = x.needsClaim[routeKey{a, name}]
	return known, needsClaim
}
