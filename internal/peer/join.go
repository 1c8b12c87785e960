package peer

import (
	"context"
	"errors"
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
	// joinJitter spreads the joins of nodes that start together.
	joinJitter          = 200 * time.Millisecond
	joinBaseDelay       = 250 * time.Millisecond
	defaultMaxJoinDelay = 15 * time.Second
	// mergePeriod is the mean time between two attempts to reach addresses
	// from the settings or the table that are not known as members.
	defaultMergeInterval = 30 * time.Second
	// firstMerge is the mean time from joining to the first search if MergeInterval is set.
	firstMergeInterval = time.Second
	// joinAtOnce is the number of addresses tried in one attempt to join.
	maxAddrsPerJoin = 4
	syncTimeout     = 5 * time.Second
	// maxSyncs is the number of exchanges served at a time. Each may hold the
	// whole view, about 200 KB at 2,500 members.
	maxConcurrentSyncs = 16
)

var errTooManySyncs = errors.New("too many nodes join at a time")

// join exchanges views with other nodes: until one has answered, then now and
// then.
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

// joinOnce tries to reach a node from the settings, else from the table. It
// reports true when a node answered.
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
	busy                   // a node answered, but serves too many others
	synced
)

// syncAny exchanges views with the first node that answers among a few random
// ones of addrs.
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

// keepSynced exchanges views with random members, and tries to reach nodes
// outside the view so that the sides of a partition find each other again.
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

// untilMerge returns the time to the next search for nodes outside the view.
// Nodes that start at the same moment read the rows before all are written, so
// the first search comes soon.
func (p *Peer) nextMergeDelay(first bool) time.Duration {
	switch {
	case p.cfg.MergeInterval <= 0:
		return jitter(defaultMergeInterval)
	case first:
		return jitter(min(firstMergeInterval, p.cfg.MergeInterval))
	}
	return jitter(p.cfg.MergeInterval)
}

// readsRows reports whether this node reads the node rows for the others.
func (p *Peer) readsNodeRows() bool {
	return p.cfg.MergeInterval > 0 && p.Watcher()
}

// untilSync returns the time to the next exchange, about wait. A node that is
// not ready asks often, since it waits for the answer of a ready peer.
func (p *Peer) nextSyncDelay(wait time.Duration) time.Duration {
	if p.cfg.ExternalConfig || p.Ready() {
		return jitter(wait)
	}
	return jitter(headReadInterval)
}

// syncOne exchanges views with a random member.
func (p *Peer) syncRandom(ctx context.Context) {
	for _, m := range p.randomAlive(1) {
		if err := p.sync(ctx, m.Addr); err != nil {
			p.log.Debug("cannot exchange views", zap.String("node", string(m.ID)), zap.Error(err))
		}
	}
}

// mergeOnce tries addresses from the settings that are not members. A node
// that sees less than half of the remembered members tries the table too.
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

// unknown returns the addresses that are not of members alive or suspect.
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

// sync exchanges views with the node at address a: it asks for the buckets
// that differ and sends back what the other node lacks.
func (p *Peer) sync(ctx context.Context, a mesh.Addr) error {
	p.mu.Lock()
	q := p.newSyncRequest()
	q.Digests = p.list.Digests()
	p.mu.Unlock()
	r, err := call(ctx, p, "sync", syncTimeout, p.clientFor(a).Sync, q)
	if err != nil {
		return err
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

// syncRequest returns a request without digests and members. The caller holds
// mu.
func (p *Peer) newSyncRequest() *peerpb.SyncRequest {
	return &peerpb.SyncRequest{
		From:    toMember(member.Update{Member: p.list.Self()}),
		Version: uint64(p.Version()),
	}
}

// lacking returns the updates in own that theirs lacks or has in an older form.
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
