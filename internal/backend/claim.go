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

// IdempotencyKeyHeader carries the key by which a caller marks repeats of one request.
const IdempotencyKeyHeader = "Idempotency-Key"

const (
	// maxStored is the largest response body in bytes that is kept for repeats.
	maxStored = 64 << 10
	// claimOverhead is the memory in bytes counted for a claim beyond the
	// header and body of its response.
	claimOverhead = 512
	// releaseTimeout bounds the release of a claim whose request did not run.
	releaseTimeout = 2 * time.Second
)

// ClaimResult is the result of a claim.
type ClaimResult struct {
	Acquired bool   // the row belongs to the owner that the call named
	Owner    string // owner of the row
}

// claimState is the state of a claim in the memory of this gate.
type claimState uint8

const (
	claimRunning   claimState = iota
	claimUndecided            // the row may have been written; the request did not run
	claimReleased             // the request did not run and the claim is forgotten
	claimStored               // the request ran and its response is kept
	claimUnknown              // the request may have run; no response is kept
)

// claim is the claim of one Idempotency-Key.
type claim struct {
	key      string
	owner    string
	state    claimState
	ended    chan struct{} // closed when state is no longer claimRunning
	response *stored
	size     int // bytes counted against ClaimBytes
}

// stored is a complete response kept for repeats.
type stored struct {
	status int
	header http.Header
	body   []byte
}

// claims holds the claims made by this gate, oldest first in order.
type claims struct {
	conf    Config
	figures *figures
	routes  routeIndex

	mu    sync.Mutex
	byKey map[string]*claim
	order []*claim
	bytes int
}

func newClaims(c Config, f *figures) *claims {
	return &claims{conf: c, figures: f, byKey: make(map[string]*claim)}
}

// claim claims the Idempotency-Key of r if its route asks for it. A nil claim
// without an error means that none is needed. A claim with a response answers a
// repeat; any other claim must be finished.
func (g *Gate) claim(ctx context.Context, c *call, r *http.Request) (*claim, *fault.Error) {
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" {
		return nil, nil
	}
	known, claimed := g.claims.routes.find(g.conf.Snapshot(), c.Account, c.route)
	if !known {
		return nil, fault.Newf(fault.NotReady, "route %q is not known here yet, so its claims are not either", c.route)
	}
	if !claimed {
		return nil, nil
	}
	name := string(c.Account) + "/" + c.route + "/" + mesh.DigestOf([]byte(key)).String()
	if !g.claims.has(name) {
		// A repeat must not be refused as not run if its first request ran.
		if e := g.peek(c); e != nil {
			return nil, e
		}
	}
	return g.claims.take(ctx, name)
}

// peek returns the refusal that c would get now, so that a request that cannot
// be admitted costs no write to the table.
func (g *Gate) peek(c *call) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.available(c); e != nil {
		return e
	}
	now := time.Now()
	g.applySnapshot(now)
	if g.machine.PressureOf(now, c.Rank) >= 1 {
		return fault.New(fault.Overloaded, "the rank is refused at present")
	}
	return nil
}

// has reports whether a request with this key was seen here.
func (cs *claims) has(key string) bool {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.byKey[key] != nil
}

// take returns the claim of key, made or found.
func (cs *claims) take(ctx context.Context, key string) (*claim, *fault.Error) {
	for {
		cl, mine := cs.enter(key)
		if mine {
			return cs.write(ctx, cl)
		}
		select {
		case <-cl.ended:
		case <-ctx.Done():
			return nil, undecidable("the first request with this key is still running")
		}
		switch cs.stateOf(cl) {
		case claimStored:
			cs.figures.claims.Add("repeated", 1)
			return cl, nil
		case claimUnknown:
			return nil, undecidable("the first request with this key ended without a kept response")
		}
	}
}

func undecidable(reason string) *fault.Error { return fault.New(fault.OutcomeUnknown, reason) }

// enter returns the claim of key and whether the caller is to make it. After an
// undecided claim the owner is kept: the earlier row, if any, then counts as
// won, which is right because that request did not run.
func (cs *claims) enter(key string) (cl *claim, mine bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	old := cs.byKey[key]
	owner := ""
	if old != nil {
		if old.state != claimUndecided {
			return old, false
		}
		owner = old.owner
		cs.forget(old)
	}
	if owner == "" {
		owner = uuid.NewString()
	}
	cl = &claim{key: key, owner: owner, ended: make(chan struct{}), size: claimOverhead}
	cs.byKey[key] = cl
	cs.order = append(cs.order, cl)
	cs.bytes += cl.size
	cs.shrink()
	return cl, true
}

// write writes the row of cl.
func (cs *claims) write(ctx context.Context, cl *claim) (*claim, *fault.Error) {
	if cs.conf.Claim == nil {
		cs.finish(cl, claimReleased, nil)
		return nil, fault.New(fault.PlatformUnavailable, "claims need a platform and none is configured")
	}
	res, err := cs.conf.Claim(ctx, cl.key, cl.owner, cs.conf.ClaimTTL)
	switch {
	case err != nil:
		cs.figures.claims.Add("failed", 1)
		cs.finish(cl, claimUndecided, nil)
		if ctx.Err() != nil {
			return nil, endOf(ctx.Err(), fault.NotRun)
		}
		return nil, fault.Newf(fault.PlatformUnavailable, "claim: %w", err)
	case !res.Acquired:
		cs.figures.claims.Add("lost", 1)
		cs.finish(cl, claimReleased, nil)
		return nil, undecidable("a request with this key was started before")
	}
	cs.figures.claims.Add("won", 1)
	return cl, nil
}

// release deletes the row of cl, whose request did not run, so that a repeat
// may run anywhere. If that fails, repeats get outcome_unknown until the row
// expires.
func (cs *claims) release(ctx context.Context, cl *claim) {
	defer cs.finish(cl, claimReleased, nil)
	if cs.conf.ReleaseClaim == nil || cs.stateOf(cl) != claimRunning {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	if err := cs.conf.ReleaseClaim(ctx, cl.key, cl.owner); err != nil {
		cs.figures.claims.Add("release_failed", 1)
		cs.conf.Log.Warn("claim of a request that did not run was not released", zap.Error(err))
		return
	}
	cs.figures.claims.Add("released", 1)
}

// finish ends the running cl in state s; later calls have no effect.
func (cs *claims) finish(cl *claim, s claimState, resp *stored) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cl.state != claimRunning {
		return
	}
	cl.state = s
	close(cl.ended)
	if s == claimReleased {
		cs.forget(cl)
		return
	}
	if resp != nil {
		cl.response = resp
		n := resp.size()
		cl.size += n
		cs.bytes += n
	}
	cs.shrink()
}

func (cs *claims) stateOf(cl *claim) claimState {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cl.state
}

// forget takes cl out of the memory. Its place in order is left to shrink.
func (cs *claims) forget(cl *claim) {
	if cs.byKey[cl.key] == cl {
		delete(cs.byKey, cl.key)
		cs.bytes -= cl.size
	}
}

// shrink forgets the oldest claims that are not running until the memory is
// within its bound. Repeats of a forgotten claim find the row of the table.
func (cs *claims) shrink() {
	keep := cs.order[:0]
	for i, cl := range cs.order {
		if cs.byKey[cl.key] != cl {
			continue
		}
		if cs.bytes <= cs.conf.ClaimBytes {
			keep = append(keep, cs.order[i:]...)
			break
		}
		if cl.state == claimRunning {
			keep = append(keep, cl)
			continue
		}
		cs.forget(cl)
	}
	clear(cs.order[len(keep):])
	cs.order = keep
}

func (s *stored) size() int {
	n := len(s.body)
	for k, vs := range s.header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

// routeIndex finds routes by account and name. It is rebuilt for every
// snapshot, at the first request that needs it.
type routeIndex struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	claimed  map[routeKey]bool
}

type routeKey struct {
	account mesh.ClientAccount
	name    string
}

// find reports whether s has the route and whether it asks for claims.
func (x *routeIndex) find(s *config.Snapshot, a mesh.ClientAccount, name string) (known, claimed bool) {
	if s == nil {
		return false, false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.snapshot != s {
		x.snapshot = s
		x.claimed = make(map[routeKey]bool, len(s.Routes))
		for i := range s.Routes {
			r := &s.Routes[i]
			x.claimed[routeKey{r.Account, r.Name}] = r.Claim
		}
	}
	claimed, known = x.claimed[routeKey{a, name}]
	return known, claimed
}
