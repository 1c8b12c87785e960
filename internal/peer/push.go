package peer

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// pushTimeout limits one push.
	pushTimeout = 2 * time.Second
	// takeOverDelay is the time without a response to a push after which the
	// sender also pushes to the children of the silent node. If that node is
	// only slow, it pushes to them again, which costs one delta each.
	takeOverDelay = 200 * time.Millisecond
	// maxConcurrentPushes limits the versions that are pushed at a time.
	maxConcurrentPushes = 8
)

// pushScope selects the members that a node pushes a version to.
type pushScope uint8

const (
	scopeChildren pushScope = iota // the children of this node
	scopeZone                      // also the entry nodes of its availability zone
	scopeMesh                      // also the entry nodes of all availability zones
)

// pushJob is a version to push.
type pushJob struct {
	delta     config.Delta
	origin    mesh.NodeID
	committed time.Time
	scope     pushScope
}

func (p *Peer) enqueuePush(j pushJob) {
	select {
	case p.pushQueue <- j:
	default:
		p.stats.pushes.Add("dropped", 1)
	}
}

// runPushes pushes queued versions until ctx is done.
func (p *Peer) runPushes(ctx context.Context) error {
	done := make(chan struct{})
	running := 0
	for {
		next := p.pushQueue
		if running == maxConcurrentPushes {
			next = nil
		}
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return nil
		case <-done:
			running--
		case j := <-next:
			running++
			go func() {
				p.pushAll(ctx, j)
				done <- struct{}{}
			}()
		}
	}
}

// pushTargets returns the members that this node pushes j to.
func (p *Peer) pushTargets(j pushJob, ms []member.Member) []member.Member {
	self := p.cfg.Self
	ts := version.Children(j.delta.Target, self.ID, ms)
	if j.scope == scopeChildren {
		return ts
	}
	seen := make(map[mesh.NodeID]bool)
	for _, t := range ts {
		seen[t.ID] = true
	}
	for _, e := range version.EntryMembers(j.delta.Target, ms) {
		if !seen[e.ID] && (j.scope == scopeMesh || e.Zone == self.Zone) {
			ts = append(ts, e)
		}
	}
	return ts
}

// pushAll pushes j to the targets of this node and returns when all pushes are
// done.
func (p *Peer) pushAll(ctx context.Context, j pushJob) {
	ms := p.members()
	q := &peerpb.PushRequest{
		Delta:     toDelta(j.delta),
		Origin:    string(j.origin),
		From:      string(p.cfg.Self.ID),
		Committed: toMillis(j.committed),
	}
	p.pushEach(ctx, q, p.pushTargets(j, ms), ms)
}

func (p *Peer) pushEach(ctx context.Context, q *peerpb.PushRequest, targets, ms []member.Member) {
	done := make(chan struct{})
	started := 0
	for _, t := range targets {
		if t.ID == p.cfg.Self.ID || string(t.ID) == q.GetOrigin() {
			continue
		}
		started++
		go func() {
			p.push(ctx, q, t, ms)
			done <- struct{}{}
		}()
	}
	for range started {
		<-done
	}
}

// push pushes to one member, and also to its children if the push fails or is
// not answered in time.
func (p *Peer) push(ctx context.Context, q *peerpb.PushRequest, t member.Member, ms []member.Member) {
	answer := make(chan error, 1)
	go func() {
		_, err := call(ctx, p, "push", pushTimeout, p.clientFor(t.Addr).Push, q)
		answer <- err
	}()
	takeOverTimer := time.NewTimer(takeOverDelay)
	defer takeOverTimer.Stop()
	select {
	case err := <-answer:
		if p.recordPushResult(t, err) {
			return
		}
		p.pushToChildren(ctx, q, t, ms)
	case <-takeOverTimer.C:
		p.stats.pushes.Add("late", 1)
		p.pushToChildren(ctx, q, t, ms)
		p.recordPushResult(t, <-answer)
	}
}

// pushToChildren pushes to the children of t on its behalf.
func (p *Peer) pushToChildren(ctx context.Context, q *peerpb.PushRequest, t member.Member, ms []member.Member) {
	v := mesh.Version(q.GetDelta().GetTarget())
	p.pushEach(ctx, q, version.Children(v, t.ID, ms), ms)
}

// recordPushResult counts the result of a push and reports whether it
// succeeded.
func (p *Peer) recordPushResult(t member.Member, err error) bool {
	if err == nil {
		p.stats.pushes.Add("sent", 1)
		return true
	}
	p.stats.pushes.Add("failed", 1)
	p.log.Debug("push failed", zap.String("node", string(t.ID)), zap.Error(err))
	return false
}

// Publish applies a version that this node committed and starts to push it to
// all nodes. Parts of the manifest that are neither given nor held are fetched
// first. A version that is not higher than the current one is already superseded,
// which is not an error.
func (p *Peer) Publish(ctx context.Context, v mesh.Version, m config.Manifest, parts []config.Part) error {
	committed := time.Now()
	digest := m.Digest()
	missingParts := p.missingParts(m, parts)
	if len(missingParts) > 0 {
		got, err := p.fetchParts(ctx, missingParts)
		if err != nil {
			return fmt.Errorf("publish version %d: %w", v, err)
		}
		parts = append(got, parts...)
	}
	p.stateMu.Lock()
	action := p.state.Decide(v, 0, false)
	var err error
	if action != version.Ignore {
		err = p.applyManifest(v, digest, m, parts, committed)
	}
	d := p.state.LastDelta()
	p.stateMu.Unlock()
	if err != nil {
		return fmt.Errorf("publish version %d: %w", v, err)
	}
	if action != version.Ignore {
		p.enqueuePush(pushJob{delta: d, origin: p.cfg.Self.ID, committed: committed, scope: scopeMesh})
	}
	return nil
}

// missingParts returns the parts of m that are neither held nor in parts.
func (p *Peer) missingParts(m config.Manifest, parts []config.Part) []mesh.Digest {
	given := make(map[mesh.Digest]bool, len(parts))
	for _, part := range parts {
		given[part.Digest()] = true
	}
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	var out []mesh.Digest
	for _, d := range p.state.MissingParts(m) {
		if !given[d] {
			out = append(out, d)
		}
	}
	return out
}
