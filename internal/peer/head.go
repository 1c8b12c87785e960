package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// headReadInterval is the mean time between two reads of the platform's
	// head by one reader.
	headReadInterval = time.Second
	// maxReadBackoff limits the delay after failed reads.
	maxReadBackoff = 30 * time.Second
	// platformReadTimeout limits one read of the platform.
	platformReadTimeout = 5 * time.Second
	// commitPushWait is the mean time to wait for a push before a new version
	// is read from the platform. A reader may see a commit before the push
	// arrives.
	commitPushWait = 200 * time.Millisecond
	// peerConfigWait is the time that a node without a configuration waits for
	// its peers to send one before it reads the platform.
	peerConfigWait = 2 * time.Second
	// firstJoinWait limits the wait for the first attempt to join.
	firstJoinWait = time.Second
	// firstReadsPerSecond is the rate to which nodes that started recently
	// spread their first reads of the head. When half of 2,500 nodes restart,
	// their reads stay near 10% of the 2,000 reads/s of the platform.
	firstReadsPerSecond = 75
	// recentStartWindow is the age up to which a node counts as recently
	// started.
	recentStartWindow = 15 * time.Second
	maxFirstReadDelay = 20 * time.Second
)

// pollHead reads the platform's head: on every node until the node is ready,
// after a pause, and each second on the readers of an availability zone.
func (p *Peer) pollHead(ctx context.Context) error {
	select { // the view is empty before the first attempt to join
	case <-p.joinAttempted:
	case <-time.After(firstJoinWait):
	case <-ctx.Done():
		return nil
	}
	if wait.For(ctx, p.firstReadDelay(time.Now())) != nil {
		return nil
	}
	failures := 0
	readDue := true // this node must read even if it is not a reader
	for {
		ready := p.Ready()
		if readDue || !ready || version.IsReader(p.cfg.Self.ID, p.cfg.Self.Zone, p.members()) {
			err := p.pollHeadOnce(ctx)
			if err != nil {
				failures++
			} else {
				failures = 0
			}
			readDue = false
		}
		wait := jitter(headReadInterval)
		if failures > 0 {
			wait = backoff(failures-1, headReadInterval, maxReadBackoff)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-p.readHeadNow:
			t.Stop()
			readDue = true
		case <-t.C:
		}
	}
}

// firstReadDelay returns a random delay before the first read of the head. Its
// range grows with the number of nodes that started recently. The first
// incarnation of a node is its start time in Unix milliseconds, so the member
// list shows when nodes started.
func (p *Peer) firstReadDelay(now time.Time) time.Duration {
	n := 0
	for _, m := range p.members() {
		age := now.Sub(time.UnixMilli(int64(m.Incarnation)))
		if m.ID != p.cfg.Self.ID && m.Status == member.Alive && age < recentStartWindow {
			n++
		}
	}
	limit := min(time.Duration(n)*time.Second/firstReadsPerSecond, maxFirstReadDelay)
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// pollHeadOnce reads the platform's head and updates this node if the head is
// newer.
func (p *Peer) pollHeadOnce(ctx context.Context) error {
	hctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	v, d, err := p.cfg.Platform.Head(hctx)
	cancel()
	if err != nil {
		p.stats.platform.Add("head_failed", 1)
		p.readinessMu.Lock()
		p.readiness.ObservePlatformFailure()
		p.readinessMu.Unlock()
		return err
	}
	p.stats.platform.Add("head", 1)
	p.readinessMu.Lock()
	p.readiness.ObservePlatform(v)
	p.readinessMu.Unlock()
	p.stateMu.Lock()
	held, digest := p.state.Version(), p.state.Digest()
	p.stateMu.Unlock()
	switch {
	case v < held:
		p.stats.platform.Add("head_behind", 1)
		return nil
	case v == held:
		if v > 0 && d != digest {
			p.stats.rejected.Add("conflict", 1)
			p.log.Error("platform has a different manifest for the current version; keeping the current one", zap.Uint64("version", uint64(v)))
		}
		return nil
	}
	return p.fetchFromPlatform(ctx, v, d)
}

// fetchFromPlatform fetches version v from the platform unless a push delivers
// it first.
func (p *Peer) fetchFromPlatform(ctx context.Context, v mesh.Version, d mesh.Digest) error {
	maxWait := jitter(commitPushWait)
	if p.Version() == 0 && len(p.randomAlive(1)) > 0 {
		maxWait = peerConfigWait
	}
	for end := time.Now().Add(maxWait); time.Now().Before(end); {
		if err := wait.For(ctx, min(time.Until(end), commitPushWait/4)); err != nil {
			return err
		}
		if p.Version() >= v {
			return nil
		}
	}
	p.stats.fetches.Add("platform", 1)
	mctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	m, err := p.cfg.Platform.Manifest(mctx, d)
	if err != nil {
		p.stats.platform.Add("manifest_failed", 1)
		return err
	}
	p.stats.platform.Add("manifest", 1)
	parts, err := p.fetchParts(ctx, p.missingParts(m, nil))
	if err != nil {
		return err
	}
	p.stateMu.Lock()
	err = p.applyManifest(v, d, m, parts, time.Time{})
	last := p.state.LastDelta()
	p.stateMu.Unlock()
	if errors.Is(err, version.ErrOld) {
		return nil
	}
	if err != nil {
		return err
	}
	p.enqueuePush(pushJob{delta: last, origin: p.cfg.Self.ID, scope: scopeZone})
	return nil
}
