package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// joinJitter limits the random delay that spreads the joins of nodes that
	// start together.
	joinJitter          = 200 * time.Millisecond
	joinBaseDelay       = 250 * time.Millisecond
	defaultMaxJoinDelay = 15 * time.Second
	// defaultMergeInterval is the mean time between two attempts to reach
	// addresses from the settings or the node rows that do not belong to known
	// members.
	defaultMergeInterval = 30 * time.Second
	// firstMergeInterval is the mean time from joining to the first search for
	// nodes outside the view, if MergeInterval is set.
	firstMergeInterval = time.Second
	// maxAddrsPerJoin limits the addresses tried in one attempt to join.
	maxAddrsPerJoin = 4
	syncTimeout     = 5 * time.Second
	// maxConcurrentSyncs limits the view exchanges served at a time. Each may
	// hold the whole view, about 200 KB at 2,500 members.
	maxConcurrentSyncs = 16
)

var errTooManySyncs = errors.New("too many nodes join at a time")

// join exchanges views with other nodes: it tries until one has answered, then
// repeats the exchange periodically.
func (p *Peer) join(ctx context.Context) error {
	if wait.For(ctx, time.Duration(rand.Int64N(int64(joinJitter)))) != nil {
		return nil
	}
	for n := 0; ; n++ {
		joined := p.joinOnce(ctx)
		if n == 0 {
			close(p.joinAttempted)
		}
		if joined {
			break
		}
		t := time.NewTimer(backoff(n, joinBaseDelay, p.cfg.MaxJoinDelay))
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case a := <-p.unknownSenders:
			joined = p.syncAny(ctx, []mesh.Addr{a}) == synced
		case <-t.C:
		}
		t.Stop()
		if joined {
			break
		}
	}
	return p.syncPeriodically(ctx)
}

// joinOnce tries to exchange views with a node from the settings, then with one
// from the node rows. It reports whether it succeeded.
func (p *Peer) joinOnce(ctx context.Context) bool {
	switch p.syncAny(ctx, p.cfg.Join) {
	case synced:
		return true
	case busy:
		return false
	}
	nctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	addrs, err := p.cfg.Platform.Nodes(nctx)
	if err != nil {
		p.stats.platform.Add("nodes_failed", 1)
		return false
	}
	p.stats.platform.Add("nodes", 1)
	return p.syncAny(ctx, addrs) == synced
}

// joinResult is the result of an attempt to exchange views.
type joinResult uint8

const (
	unreachable joinResult = iota
	busy                   // a node answered, but serves too many exchanges
	synced
)

// syncAny exchanges views with one of the nodes at addrs. It tries up to
// maxAddrsPerJoin of them in random order.
func (p *Peer) syncAny(ctx context.Context, addrs []mesh.Addr) joinResult {
	tried := 0
	result := unreachable
	for _, i := range rand.Perm(len(addrs)) {
		if addrs[i] == p.cfg.Self.Addr {
			continue
		}
		err := p.sync(ctx, addrs[i])
		if err == nil {
			return synced
		}
		if connect.CodeOf(err) == connect.CodeResourceExhausted {
			result = busy
		}
		p.log.Debug("cannot join", zap.String("addr", string(addrs[i])), zap.Error(err))
		if tried++; tried == maxAddrsPerJoin {
			break
		}
	}
	return result
}

// syncPeriodically exchanges views with random members. It also tries to reach
// nodes outside the view, so that the sides of a partition merge again.
func (p *Peer) syncPeriodically(ctx context.Context) error {
	wait := member.NextSyncInterval(0)
	routine := time.NewTimer(p.nextSyncDelay(wait))
	merge := time.NewTimer(p.nextMergeDelay(true))
	defer routine.Stop()
	defer merge.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.syncNow:
			p.syncRandom(ctx)
		case a := <-p.unknownSenders:
			p.syncAny(ctx, []mesh.Addr{a})
		case <-routine.C:
			p.syncRandom(ctx)
			wait = member.NextSyncInterval(wait)
			routine.Reset(p.nextSyncDelay(wait))
		case <-merge.C:
			p.mergeOnce(ctx)
			merge.Reset(p.nextMergeDelay(false))
		}
	}
}

// nextMergeDelay returns the time until the next search for nodes outside the
// view. Nodes that start at the same time read the node rows before all rows
// are written, so the first search follows soon.
func (p *Peer) nextMergeDelay(first bool) time.Duration {
	switch {
	case p.cfg.MergeInterval <= 0:
		return jitter(defaultMergeInterval)
	case first:
		return jitter(min(firstMergeInterval, p.cfg.MergeInterval))
	}
	return jitter(p.cfg.MergeInterval)
}

// readsNodeRows reports whether this node reads the node rows on behalf of the
// mesh.
func (p *Peer) readsNodeRows() bool {
	return p.cfg.MergeInterval > 0 && p.Watcher()
}

// nextSyncDelay returns the time until the next exchange, about wait. It is
// shorter on a node that is not ready, which waits for the answer of a ready
// peer.
func (p *Peer) nextSyncDelay(wait time.Duration) time.Duration {
	if p.cfg.ExternalConfig || p.Ready() {
		return jitter(wait)
	}
	return jitter(headReadInterval)
}

// syncRandom exchanges views with a random member.
func (p *Peer) syncRandom(ctx context.Context) {
	for _, m := range p.randomAlive(1) {
		if err := p.sync(ctx, m.Addr); err != nil {
			p.log.Debug("cannot exchange views", zap.String("node", string(m.ID)), zap.Error(err))
		}
	}
}

// mergeOnce tries addresses from the settings that do not belong to known
// members. A node that sees less than half of the remembered members, or that
// reads the node rows for the mesh, also tries the addresses in the rows.
func (p *Peer) mergeOnce(ctx context.Context) {
	p.syncAny(ctx, p.unknownAddrs(p.cfg.Join))
	alive, lost := 0, 0
	for _, m := range p.members() {
		switch m.Status {
		case member.Alive:
			alive++
		case member.Suspect, member.Dead:
			lost++
		}
	}
	if alive > 1 && lost <= alive && !p.readsNodeRows() {
		return
	}
	nctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	addrs, err := p.cfg.Platform.Nodes(nctx)
	if err != nil {
		p.stats.platform.Add("nodes_failed", 1)
		return
	}
	p.stats.platform.Add("nodes", 1)
	p.syncAny(ctx, p.unknownAddrs(addrs))
}

// unknownAddrs returns the addresses that do not belong to a member that is
// alive or suspect.
func (p *Peer) unknownAddrs(addrs []mesh.Addr) []mesh.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []mesh.Addr
	for _, a := range addrs {
		if !p.list.HasAddr(a) {
			out = append(out, a)
		}
	}
	return out
}

// sync exchanges views with the node at address a. It requests the buckets that
// differ and sends the updates that the other node lacks.
func (p *Peer) sync(ctx context.Context, a mesh.Addr) error {
	p.mu.Lock()
	q := p.newSyncRequest()
	q.Digests = p.list.Digests()
	p.mu.Unlock()
	r, err := call(ctx, p, "sync", syncTimeout, p.clientFor(a).Sync, q)
	if err != nil {
		return err
	}
	if r.GetFrom() == "" {
		return fmt.Errorf("%w: the response names no sender", errMalformed)
	}
	us, err := fromMembers(r.GetMembers())
	if err != nil {
		return err
	}
	now := time.Now()
	p.mu.Lock()
	p.list.MergeResponse(now, us)
	updates := missingUpdates(p.list.BucketUpdates(now, fromBuckets(r.GetBuckets())), us)
	updateReq := p.newSyncRequest()
	p.mu.Unlock()
	p.wakeListTasks()
	p.readinessMu.Lock()
	p.readiness.ObservePeer(now, mesh.Version(r.GetVersion()), r.GetReady())
	p.readinessMu.Unlock()
	if v := mesh.Version(r.GetVersion()); v > p.Version() {
		from := member.Member{ID: mesh.NodeID(r.GetFrom()), Addr: a}
		p.enqueueHint(hint{from: from, version: v, reason: "join"})
	}
	if len(updates) == 0 {
		return nil
	}
	updateReq.Members = toMembers(updates)
	_, err = call(ctx, p, "sync", syncTimeout, p.clientFor(a).Sync, updateReq)
	return err
}

// newSyncRequest returns a request without digests and members. The caller
// holds mu.
func (p *Peer) newSyncRequest() *peerpb.SyncRequest {
	return &peerpb.SyncRequest{
		From:    toMember(member.Update{Member: p.list.Self()}),
		Version: uint64(p.Version()),
	}
}

// missingUpdates returns the updates in own that are missing or older in
// theirs.
func missingUpdates(own, theirs []member.Update) []member.Update {
	has := make(map[mesh.NodeID]member.Member, len(theirs))
	for _, u := range theirs {
		has[u.ID] = u.Member
	}
	var out []member.Update
	for _, u := range own {
		h, ok := has[u.ID]
		if !ok && u.Status < member.Dead || ok && u.Overrides(h) {
			out = append(out, u)
		}
	}
	return out
}

func fromBuckets(bs []uint32) []int {
	out := make([]int, len(bs))
	for i, b := range bs {
		out[i] = int(b)
	}
	return out
}
