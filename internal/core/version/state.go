package version

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxDeltas is the number of deltas that a node keeps to serve to other nodes.
const maxDeltas = 64

// The causes for refusing a version. Reason returns their names for counters.
var (
	// ErrOld means that the offered version is not newer than the current one.
	ErrOld = errors.New("version is not newer than the one held")
	// ErrBaseAhead means that the base of a delta is newer than the current
	// version.
	ErrBaseAhead = errors.New("delta base is newer than the version held")
	// ErrConflict means that the offered version is held already but has
	// another digest.
	ErrConflict = errors.New("version is already held with another manifest")
	// ErrDigestMismatch means that content does not have the digest that names it.
	ErrDigestMismatch = errors.New("content does not match its digest")
	// ErrMissingPart means that a part named by the manifest is missing.
	ErrMissingPart = errors.New("part is missing")
	// ErrInvalid means that the configuration does not compile.
	ErrInvalid = errors.New("configuration does not compile")
)

// Reason returns the name under which a refusal is counted.
func Reason(err error) string {
	switch {
	case errors.Is(err, ErrOld):
		return "old"
	case errors.Is(err, ErrBaseAhead):
		return "base"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrDigestMismatch):
		return "digest"
	case errors.Is(err, ErrMissingPart):
		return "part"
	case errors.Is(err, ErrInvalid):
		return "invalid"
	}
	return "other"
}

// State is the configuration held by a node. It is not safe for concurrent use.
type State struct {
	snapshot  *config.Snapshot
	manifest  config.Manifest
	parts     map[mesh.Digest]config.Part
	deltas    []config.Delta // without parts, oldest first
	lastDelta config.Delta   // delta applied last, with parts
	committed time.Time
}

// New returns a state that holds no configuration.
func New() *State {
	return &State{parts: make(map[mesh.Digest]config.Part)}
}

// Snapshot returns the current snapshot, or nil if there is none.
func (s *State) Snapshot() *config.Snapshot { return s.snapshot }

// Version returns the current version, or 0 if there is none.
func (s *State) Version() mesh.Version {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Digest returns the manifest digest of the current version.
func (s *State) Digest() mesh.Digest {
	if s.snapshot == nil {
		return mesh.Digest{}
	}
	return s.snapshot.Digest
}

// Committed returns the commit time of the current version, if it is known.
func (s *State) Committed() time.Time { return s.committed }

// Manifest returns the manifest held. The caller must not change it.
func (s *State) Manifest() config.Manifest { return s.manifest }

// Part returns a part of the manifest held.
func (s *State) Part(d mesh.Digest) (config.Part, bool) {
	p, ok := s.parts[d]
	return p, ok
}

// MissingParts returns the distinct parts of m that are not held.
func (s *State) MissingParts(m config.Manifest) []mesh.Digest {
	var ds []mesh.Digest
	seen := make(map[mesh.Digest]bool)
	for _, e := range m.Entries {
		if _, ok := s.parts[e.Part]; !ok && !seen[e.Part] {
			seen[e.Part] = true
			ds = append(ds, e.Part)
		}
	}
	return ds
}

// Action is the response to an offered version.
type Action uint8

// The actions.
const (
	Ignore Action = iota
	ApplyDelta
	Fetch
)

// Decide returns the action for a version that another node offers, with a
// delta that starts at base if hasDelta is set.
func (s *State) Decide(v, base mesh.Version, hasDelta bool) Action {
	switch {
	case v <= s.Version():
		return Ignore
	case hasDelta && base <= s.Version() && (base > 0) == (s.Version() > 0):
		return ApplyDelta
	}
	return Fetch
}

// ApplyDelta verifies d completely and moves to its target version. The base of
// a delta may be older than the current version: the delta then names all that
// changed since, because each accepted edit raises the revision of its
// document, and the digest of the result is checked. An error leaves the state
// unchanged.
func (s *State) ApplyDelta(d config.Delta, committed time.Time) (*config.Snapshot, error) {
	if err := s.checkNewer(d.Target, d.Digest); err != nil {
		return nil, err
	}
	if d.Base > s.Version() {
		return nil, fmt.Errorf("%w: base %d, held %d", ErrBaseAhead, d.Base, s.Version())
	}
	m, err := config.Apply(s.manifest, d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigestMismatch, err)
	}
	return s.apply(d.Target, d.Digest, m, d.Parts, committed)
}

// ApplyManifest verifies a complete manifest and moves to it. Parts that are
// already held may be omitted from parts. An error leaves the state unchanged.
func (s *State) ApplyManifest(v mesh.Version, digest mesh.Digest, m config.Manifest, parts []config.Part, committed time.Time) (*config.Snapshot, error) {
	if err := s.checkNewer(v, digest); err != nil {
		return nil, err
	}
	return s.apply(v, digest, m, parts, committed)
}

// checkNewer refuses versions that are not newer than the current one.
func (s *State) checkNewer(v mesh.Version, digest mesh.Digest) error {
	if v == s.Version() && v > 0 && digest != s.Digest() {
		return fmt.Errorf("%w: version %d", ErrConflict, v)
	}
	if v <= s.Version() {
		return fmt.Errorf("%w: %d, held %d", ErrOld, v, s.Version())
	}
	return nil
}

func (s *State) apply(v mesh.Version, digest mesh.Digest, m config.Manifest, parts []config.Part, committed time.Time) (*config.Snapshot, error) {
	if got := m.Digest(); got != digest {
		return nil, fmt.Errorf("%w: manifest of version %d has digest %s, want %s", ErrDigestMismatch, v, got, digest)
	}
	next, err := s.collectParts(m, parts)
	if err != nil {
		return nil, err
	}
	snap, err := config.Compile(v, m, func(d mesh.Digest) (config.Part, bool) { p, ok := next[d]; return p, ok })
	if err != nil {
		return nil, fmt.Errorf("%w: version %d: %w", ErrInvalid, v, err)
	}
	s.recordDelta(v, digest, m, next)
	s.snapshot, s.manifest, s.parts, s.committed = snap, m, next, committed
	return snap, nil
}

// collectParts returns the parts that m names, taken from parts and from those
// held.
func (s *State) collectParts(m config.Manifest, parts []config.Part) (map[mesh.Digest]config.Part, error) {
	given := make(map[mesh.Digest]config.Part, len(parts))
	for _, p := range parts {
		given[mesh.DigestOf(p)] = p
	}
	next := make(map[mesh.Digest]config.Part, len(m.Entries))
	for _, e := range m.Entries {
		p, ok := s.parts[e.Part]
		if !ok {
			p, ok = given[e.Part]
		}
		if !ok {
			return nil, fmt.Errorf("%w: %s of document %s", ErrMissingPart, e.Part, e.Key)
		}
		next[e.Part] = p
	}
	return next, nil
}

// recordDelta stores the delta from the current version to v, whose parts are
// given.
func (s *State) recordDelta(v mesh.Version, digest mesh.Digest, m config.Manifest, parts map[mesh.Digest]config.Part) {
	changed, removed := config.Diff(s.manifest, m)
	d := config.Delta{Base: s.Version(), Target: v, Digest: digest, Changed: changed, Removed: removed}
	if d.Base > 0 {
		if len(s.deltas) == maxDeltas {
			s.deltas = slices.Delete(s.deltas, 0, 1)
		}
		s.deltas = append(s.deltas, d)
	}
	d.Parts = distinctParts(changed, parts)
	s.lastDelta = d
}

// LastDelta returns the delta that led to the current version, with parts. Its
// base is 0 for the first version.
func (s *State) LastDelta() config.Delta { return s.lastDelta }

// DeltaFrom returns the delta from version base to the current one, with parts,
// and false if the deltas kept do not reach back to base.
func (s *State) DeltaFrom(base mesh.Version) (config.Delta, bool) {
	if base == 0 || base >= s.Version() || len(s.deltas) == 0 || s.deltas[0].Base > base {
		return config.Delta{}, false
	}
	changed := make(map[config.DocumentKey]config.Entry)
	removed := make(map[config.DocumentKey]bool)
	for _, d := range s.deltas {
		if d.Target <= base {
			continue
		}
		for _, k := range d.Removed {
			delete(changed, k)
			removed[k] = true
		}
		for _, e := range d.Changed {
			changed[e.Key] = e
			delete(removed, e.Key)
		}
	}
	out := config.Delta{Base: base, Target: s.Version(), Digest: s.Digest()}
	out.Changed = slices.SortedFunc(maps.Values(changed), func(a, b config.Entry) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	out.Removed = slices.Sorted(maps.Keys(removed))
	out.Parts = distinctParts(out.Changed, s.parts)
	return out, true
}

// distinctParts returns each part that es names once.
func distinctParts(es []config.Entry, parts map[mesh.Digest]config.Part) []config.Part {
	var out []config.Part
	seen := make(map[mesh.Digest]bool)
	for _, e := range es {
		if !seen[e.Part] {
			seen[e.Part] = true
			out = append(out, parts[e.Part])
		}
	}
	return out
}
