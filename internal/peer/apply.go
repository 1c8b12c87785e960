package peer

import (
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// pushedDelta is a delta received in a push from another node.
type pushedDelta struct {
	delta     config.Delta
	origin    mesh.NodeID // node that started the push
	from      mesh.NodeID // node that sent the push to this node
	committed time.Time
}

// handlePush applies a pushed delta and forwards it. If the delta does not
// apply to the current version, it queues a fetch from the sender.
func (p *Peer) handlePush(d pushedDelta) {
	p.stateMu.Lock()
	action := p.state.Decide(d.delta.Target, d.delta.Base, true)
	var err error
	if action == version.ApplyDelta {
		err = p.applyDelta(d.delta, d.committed)
	}
	p.stateMu.Unlock()
	switch {
	case action == version.Ignore:
		p.stats.pushes.Add("received_again", 1)
	case action == version.ApplyDelta && err == nil:
		p.stats.pushes.Add("applied", 1)
		p.enqueuePush(pushJob{delta: d.delta, origin: d.origin, committed: d.committed, scope: scopeChildren})
	default:
		p.mu.Lock()
		m, ok := p.list.Lookup(d.from)
		p.mu.Unlock()
		if ok {
			p.enqueueHint(hint{from: m, version: d.delta.Target, reason: "push", needManifest: err != nil})
		}
	}
}

// applyDelta applies d. The caller holds stateMu.
func (p *Peer) applyDelta(d config.Delta, committed time.Time) error {
	s, err := p.state.ApplyDelta(d, committed)
	return p.finishApply(s, committed, err)
}

// applyManifest applies a complete manifest. The caller holds stateMu.
func (p *Peer) applyManifest(v mesh.Version, digest mesh.Digest, m config.Manifest, parts []config.Part, committed time.Time) error {
	s, err := p.state.ApplyManifest(v, digest, m, parts, committed)
	return p.finishApply(s, committed, err)
}

// finishApply makes s the current snapshot, or counts err. The caller holds
// stateMu.
func (p *Peer) finishApply(s *config.Snapshot, committed time.Time, err error) error {
	if err != nil {
		reason := version.Reason(err)
		p.stats.rejected.Add(reason, 1)
		if reason != "old" {
			p.log.Warn("configuration rejected", zap.String("reason", reason), zap.Error(err))
		}
		return err
	}
	if s.Digest != p.state.Manifest().Digest() {
		p.stats.metrics.InvariantBroken("version_digest")
	}
	p.cfg.OnSnapshot(s)
	if old := p.snapshot.Swap(s); old != nil && old.Version >= s.Version {
		p.stats.metrics.InvariantBroken("version_order")
	}
	if !committed.IsZero() {
		p.stats.convergence.observe(time.Since(committed))
	}
	p.mu.Lock()
	p.list.SetVersion(s.Version)
	p.mu.Unlock()
	return nil
}

// observeVersion records the version that another node reported, and queues a
// fetch if it is newer.
func (p *Peer) observeVersion(now time.Time, from member.Member, v mesh.Version) {
	if p.cfg.ExternalConfig {
		if v > mesh.Version(p.externalVersion.Load()) {
			p.cfg.OnVersion(v)
		}
		return
	}
	p.readinessMu.Lock()
	p.readiness.ObservePeer(now, v, false)
	p.readinessMu.Unlock()
	if v > p.Version() {
		p.enqueueHint(hint{from: from, version: v, reason: "message"})
	}
}
