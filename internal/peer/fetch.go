package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/core/version"
	"lavenderrill.dev/lavenderrill/internal/peer/peerpb"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	fetchTimeout = 5 * time.Second
	// deltaTimeout limits a request for a delta or a manifest. It is short
	// because a hint may refer to a node that has just stopped.
	deltaTimeout = 2 * time.Second
	// pushWait is the mean time to wait for the push of a version that a
	// message reported, before the version is fetched.
	pushWait = 150 * time.Millisecond
	// maxPartsPerRequest limits the parts requested at a time.
	maxPartsPerRequest = 1000
	// maxPartPeers limits the peers that are asked for parts before the
	// platform.
	maxPartPeers = 2
)

// hint refers to a member that reported a newer version than this node holds.
type hint struct {
	from         member.Member
	version      mesh.Version
	reason       string
	needManifest bool // a delta from this member was rejected
}

func (p *Peer) enqueueHint(h hint) {
	select {
	case p.hints <- h:
	default: // later messages repeat the version
	}
}

// catchUp fetches the versions that hints refer to.
func (p *Peer) catchUp(ctx context.Context) error {
	failures := 0
	for {
		var h hint
		select {
		case <-ctx.Done():
			return nil
		case h = <-p.hints:
		}
		if h.version <= p.Version() {
			continue
		}
		if h.reason == "message" && p.Version() > 0 {
			if wait.For(ctx, jitter(pushWait)) != nil {
				return nil
			}
			if h.version <= p.Version() {
				continue
			}
		}
		if !p.fetchFrom(ctx, h) {
			failures++
			if wait.For(ctx, backoff(failures, pushWait, fetchTimeout)) != nil {
				return nil
			}
			continue
		}
		failures = 0
	}
}

// fetchFrom fetches from the member in h, and from a random one if that fails.
// It reports whether a fetch succeeded.
func (p *Peer) fetchFrom(ctx context.Context, h hint) bool {
	p.stats.fetches.Add(h.reason, 1)
	for _, m := range append([]member.Member{h.from}, p.randomAlive(1)...) {
		h.from = m
		err := p.fetch(ctx, h)
		if err == nil && p.Version() >= h.version {
			return true
		}
		p.stats.fetches.Add("failed", 1)
		p.log.Debug("fetch failed", zap.String("node", string(m.ID)), zap.Error(err))
	}
	return false
}

// fetch updates this node to the version of the member in h. It applies a
// delta, or the complete manifest if there is no delta or the delta is
// rejected.
func (p *Peer) fetch(ctx context.Context, h hint) error {
	have := p.Version()
	if h.needManifest {
		have = 0
	}
	a, err := call(ctx, p, "fetch", deltaTimeout, p.configClientFor(h.from.Addr).Fetch, &peerpb.FetchRequest{Have: uint64(have)})
	if err != nil {
		return err
	}
	if mesh.Version(a.GetVersion()) <= p.Version() {
		return nil
	}
	if a.GetDelta() == nil {
		return p.applyFetchedManifest(ctx, h.from.Addr, a)
	}
	d, err := fromDelta(a.GetDelta())
	if err == nil {
		p.stateMu.Lock()
		err = p.applyDelta(d, fromMillis(a.GetCommitted()))
		p.stateMu.Unlock()
	} else {
		p.stats.rejected.Add("malformed", 1)
	}
	if err == nil || errors.Is(err, version.ErrOld) {
		return nil
	}
	p.stats.fetches.Add("whole", 1)
	a, err = call(ctx, p, "fetch", fetchTimeout, p.configClientFor(h.from.Addr).Fetch, &peerpb.FetchRequest{})
	if err != nil {
		return err
	}
	return p.applyFetchedManifest(ctx, h.from.Addr, a)
}

// applyFetchedManifest applies the manifest in a. It fetches missing parts from
// the node at address from, then from other peers and the platform.
func (p *Peer) applyFetchedManifest(ctx context.Context, from mesh.Addr, a *peerpb.FetchResponse) error {
	digest, err := fromDigest(a.GetDigest())
	if err != nil {
		return err
	}
	es, err := fromEntries(a.GetManifest())
	if err != nil {
		return err
	}
	m := config.Manifest{Entries: es}
	if got := m.Digest(); got != digest {
		p.stats.rejected.Add("digest", 1)
		return fmt.Errorf("%w: manifest has digest %s, want %s", version.ErrDigestMismatch, got, digest)
	}
	parts, remaining, err := p.fetchPartsFrom(ctx, from, p.missingParts(m, nil))
	if err != nil {
		return err
	}
	if len(remaining) > 0 {
		more, err := p.fetchParts(ctx, remaining)
		if err != nil {
			return err
		}
		parts = append(parts, more...)
	}
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	err = p.applyManifest(mesh.Version(a.GetVersion()), digest, m, parts, fromMillis(a.GetCommitted()))
	if errors.Is(err, version.ErrOld) {
		return nil
	}
	return err
}

// fetchPartsFrom fetches parts from the node at address from. It returns them
// and the digests of the parts that the node does not hold.
func (p *Peer) fetchPartsFrom(ctx context.Context, from mesh.Addr, want []mesh.Digest) ([]config.Part, []mesh.Digest, error) {
	var out []config.Part
	for len(want) > 0 {
		n := min(len(want), maxPartsPerRequest)
		q := &peerpb.FetchRequest{Want: make([][]byte, n)}
		for i, d := range want[:n] {
			q.Want[i] = d[:]
		}
		a, err := call(ctx, p, "fetch", fetchTimeout, p.configClientFor(from).Fetch, q)
		if err != nil {
			return out, want, err
		}
		got := make(map[mesh.Digest]bool, n)
		for _, part := range fromParts(a.GetParts()) {
			got[part.Digest()] = true
			out = append(out, part)
		}
		remaining := want[:0:0]
		for _, d := range want {
			if !got[d] {
				remaining = append(remaining, d)
			}
		}
		if len(remaining) == len(want) {
			return out, want, nil
		}
		want = remaining
	}
	return out, nil, nil
}

// fetchParts fetches parts from up to maxPartPeers peers, then from the
// platform.
func (p *Peer) fetchParts(ctx context.Context, want []mesh.Digest) ([]config.Part, error) {
	var out []config.Part
	for _, m := range p.randomAlive(maxPartPeers) {
		got, remaining, err := p.fetchPartsFrom(ctx, m.Addr, want)
		if err != nil {
			p.log.Debug("cannot fetch parts", zap.String("node", string(m.ID)), zap.Error(err))
		}
		out = append(out, got...)
		if want = remaining; len(want) == 0 {
			return out, nil
		}
	}
	for _, d := range want {
		part, err := p.cfg.Platform.Part(ctx, d)
		if err != nil {
			p.stats.platform.Add("part_failed", 1)
			return nil, fmt.Errorf("part %s: %w", d, err)
		}
		p.stats.platform.Add("part", 1)
		if part.Digest() != d {
			p.stats.rejected.Add("digest", 1)
			return nil, fmt.Errorf("%w: part %s", version.ErrDigestMismatch, d)
		}
		out = append(out, part)
	}
	return out, nil
}

// randomAlive returns up to n random other members that are alive.
func (p *Peer) randomAlive(n int) []member.Member {
	var ms []member.Member
	for _, m := range p.members() {
		if m.Status == member.Alive && m.ID != p.cfg.Self.ID {
			ms = append(ms, m)
		}
	}
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	return ms[:min(n, len(ms))]
}
