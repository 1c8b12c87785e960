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
	// readPeriod is the mean time between two reads of the platform's head by
	// one reader.
	readPeriod = time.Second
	// readLimit is the longest wait after failed reads.
	readLimit = 30 * time.Second
	// readTimeout bounds one read of the platform.
	readTimeout = 5 * time.Second
	// commitWait is the wait for a push before a new head is read from the
	// platform: a reader may see a commit before its push arrives.
	commitWait = 200 * time.Millisecond
	// peersWait is how long a node without a configuration waits for its peers
	// to send one before it reads the platform.
	peersWait = 2 * time.Second
	// joinWait bounds the wait for the first attempt to join.
	joinWait = time.Second
	// startRate is the number of nodes that started lately for which the first
	// read of the head is spread over one second. When half of 2,500 nodes
	// restart, their reads stay near 10% of the 2,000 reads/s of the platform.
	startRate = 75
	// startWindow is the age up to which a node has started lately.
	startWindow = 15 * time.Second
	startLimit  = 20 * time.Second
)

// readHead reads the platform's head: on every node until the node is ready,
// after a pause, and each second on the readers of an availability zone.
func (p *Peer) readHead(ctx context.Context) error {
	select { // the view is empty before the first attempt to join
	case <-p.attempted:
	case <-time.After(joinWait):
	case <-ctx.Done():
		return nil
	}
	if wait.For(ctx, p.startWait(time.Now())) != nil {
		return nil
	}
	failures := 0
	due := true // a read is due on this node although it is no reader
	for {
		ready := p.Ready()
		if due || !ready || version.IsReader(p.cfg.Self.ID, p.cfg.Self.Zone, p.members()) {
			err := p.readOnce(ctx)
			if err != nil {
				failures++
			} else {
				failures = 0
			}
			due = false
		}
		wait := jitter(readPeriod)
		if failures > 0 {
			wait = backoff(failures-1, readPeriod, readLimit)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return nil
		case <-p.heads:
			t.Stop()
			due = true
		case <-t.C:
		}
	}
}

// startWait returns a random wait before the first read of the head, which
// grows with the number of nodes that started lately. Incarnations start at
// the clock of a node in milliseconds, so the view shows when nodes started.
func (p *Peer) startWait(now time.Time) time.Duration {
	n := 0
	for _, m := range p.members() {
		age := now.Sub(time.UnixMilli(int64(m.Incarnation)))
		if m.ID != p.cfg.Self.ID && m.Status == member.Alive && age < startWindow {
			n++
		}
	}
	limit := min(time.Duration(n)*time.Second/startRate, startLimit)
	return time.Duration(rand.Int64N(int64(limit) + 1))
}

// readOnce reads the platform's head and moves to it if it is higher.
func (p *Peer) readOnce(ctx context.Context) error {
	hctx, cancel := context.WithTimeout(ctx, readTimeout)
	v, d, err := p.cfg.Platform.Head(hctx)
	cancel()
	if err != nil {
		p.stats.platform.Add("head_failed", 1)
		p.rmu.Lock()
		p.readiness.ObservePlatformFailure()
		p.rmu.Unlock()
		return err
	}
	p.stats.platform.Add("head", 1)
	p.rmu.Lock()
	p.readiness.ObservePlatform(v)
	p.rmu.Unlock()
	p.vmu.Lock()
	held, digest := p.state.Version(), p.state.Digest()
	p.vmu.Unlock()
	switch {
	case v < held:
		p.stats.platform.Add("head_behind", 1)
		return nil
	case v == held:
		if v > 0 && d != digest {
			p.stats.rejected.Add("conflict", 1)
			p.log.Error("the platform binds the version held to another manifest", zap.Uint64("version", uint64(v)))
		}
		return nil
	}
	return p.readVersion(ctx, v, d)
}

// readVersion fetches version v from the platform unless a push brings it.
func (p *Peer) readVersion(ctx context.Context, v mesh.Version, d mesh.Digest) error {
	longest := jitter(commitWait)
	if p.Version() == 0 && len(p.someAlive(1)) > 0 {
		longest = peersWait
	}
	for end := time.Now().Add(longest); time.Now().Before(end); {
		if err := wait.For(ctx, min(time.Until(end), commitWait/4)); err != nil {
			return err
		}
		if p.Version() >= v {
			return nil
		}
	}
	p.stats.fetches.Add("platform", 1)
	mctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	m, err := p.cfg.Platform.Manifest(mctx, d)
	if err != nil {
		p.stats.platform.Add("manifest_failed", 1)
		return err
	}
	p.stats.platform.Add("manifest", 1)
	parts, err := p.gather(ctx, p.missing(m, nil))
	if err != nil {
		return err
	}
	p.vmu.Lock()
	err = p.applyWhole(v, d, m, parts, time.Time{})
	last := p.state.LastDelta()
	p.vmu.Unlock()
	if errors.Is(err, version.ErrOld) {
		return nil
	}
	if err != nil {
		return err
	}
	p.enqueueSpread(spread{delta: last, origin: p.cfg.Self.ID, scope: zoneEntry})
	return nil
}
