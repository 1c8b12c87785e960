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

// history is the number of deltas that a node keeps for others.
const history = 64

// The causes of a refusal. Reason names them for counters.
var (
	// ErrOld means that the offered version is not above the one held.
	ErrOld = errors.New("version is not above the one held")
	// ErrBaseAhead means that a delta starts above the version held.
	ErrBaseAhead = errors.New("delta starts above the version held")
	// ErrConflict means that the version held has another digest.
	ErrConflict = errors.New("version is bound to another manifest")
	// ErrDigestMismatch means that content does not have the digest that names it.
	ErrDigestMismatch = errors.New("content does not match its digest")
	// ErrMissingPart means that a part of the manifest is absent.
	ErrMissingPart = errors.New("a part is missing")
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

// State is the configuration that a node holds. It is not safe for concurrent
// use.
type State struct {
	snapshot  *config.Snapshot
	manifest  config.Manifest
	parts     map[mesh.Digest]config.Part
	deltas    []config.Delta // without parts, oldest first
	last      config.Delta   // the delta applied last, with parts
	committed time.Time
}

// New returns a state that holds no configuration.
func New() *State {
	return &State{parts: make(map[mesh.Digest]config.Part)}
}

// Snapshot returns the current snapshot, or nil if there is none.
func (s *State) Snapshot() *config.Snapshot { return s.snapshot }

// Version returns the version held, 0 without one.
func (s *State) Version() mesh.Version {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.Version
}

// Digest returns the manifest digest of the version held.
func (s *State) Digest() mesh.Digest {
	if s.snapshot == nil {
		return mesh.Digest{}
	}
	return s.snapshot.Digest
}

// Committed returns the commit time of the version held, if it is known.
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

// Action says what to do about an offered version.
type Action uint8

// The actions.
const (
	Ignore Action = iota
	ApplyDelta
	Fetch
)

// Decide returns what to do about a version that another node offers, with a
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

// ApplyDelta verifies d completely and moves to its target. A delta may start
// below the version held: it then names all that changed since, because each
// accepted edit raises the revision of its document, and the digest of the
// result is checked. An error leaves the state
// unchanged.
func (s *State) ApplyDelta(d config.Delta, committed time.Time) (*config.Snapshot, error) {
	if err := s.check(d.Target, d.Digest); err != nil {
		return nil, err
	}
	if d.Base > s.Version() {
		return nil, fmt.Errorf("%w: %d above %d", ErrBaseAhead, d.Base, s.Version())
	}
	m, err := config.Apply(s.manifest, d)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDigestMismatch, err)
	}
	return s.move(d.Target, d.Digest, m, d.Parts, committed)
}

// ApplyManifest verifies a complete manifest and moves to it. Parts that are held
// already may be absent from parts. An error leaves the state unchanged.
func (s *State) ApplyManifest(v mesh.Version, digest mesh.Digest, m config.Manifest, parts []config.Part, committed time.Time) (*config.Snapshot, error) {
	if err := s.check(v, digest); err != nil {
		return nil, err
	}
	return s.move(v, digest, m, parts, committed)
}

// check refuses versions that are not above the one held.
func (s *State) check(v mesh.Version, digest mesh.Digest) error {
	if v == s.Version() && v > 0 && digest != s.Digest() {
		return fmt.Errorf("%w: version %d", ErrConflict, v)
	}
	if v <= s.Version() {
		return fmt.Errorf("%w: %d, held %d", ErrOld, v, s.Version())
	}
	return nil
}

func (s *State) move(v mesh.Version, digest mesh.Digest, m config.Manifest, parts []config.Part, committed time.Time) (*config.Snapshot, error) {
	if got := m.Digest(); got != digest {
		return nil, fmt.Errorf("%w: manifest of version %d has digest %s, want %s", ErrDigestMismatch, v, got, digest)
	}
	next, err := s.collect(m, parts)
	if err != nil {
		return nil, err
	}
	snap, err := config.Compile(v, m, func(d mesh.Digest) (config.Part, bool) { p, ok := next[d]; return p, ok })
	if err != nil {
		return nil, fmt.Errorf("%w: version %d: %w", ErrInvalid, v, err)
	}
	s.remember(v, digest, m, next)
	s.snapshot, s.manifest, s.parts, s.committed = snap, m, next, committed
	return snap, nil
}

// collect returns the parts that m names, from parts and those held.
func (s *State) collect(m config.Manifest, parts []config.Part) (map[mesh.Digest]config.Part, error) {
	fresh := make(map[mesh.Digest]config.Part, len(parts))
	for _, p := range parts {
		fresh[mesh.DigestOf(p)] = p
	}
	next := make(map[mesh.Digest]config.Part, len(m.Entries))
	for _, e := range m.Entries {
		p, ok := s.parts[e.Part]
		if !ok {
			p, ok = fresh[e.Part]
		}
		if !ok {
			return nil, fmt.Errorf("%w: %s of %s", ErrMissingPart, e.Part, e.Key)
		}
		next[e.Part] = p
	}
	return next, nil
}

// remember keeps the delta from the version held to v, whose parts are given.
func (s *State) remember(v mesh.Version, digest mesh.Digest, m config.Manifest, parts map[mesh.Digest]config.Part) {
	changed, removed := config.Diff(s.manifest, m)
	d := config.Delta{Base: s.Version(), Target: v, Digest: digest, Changed: changed, Removed: removed}
	if d.Base > 0 {
		if len(s.deltas) == history {
			s.deltas = slices.Delete(s.deltas, 0, 1)
		}
		s.deltas = append(s.deltas, d)
	}
	d.Parts = partsOf(changed, parts)
	s.last = d
}

// LastDelta returns the delta that led to the version held, with parts. Its base
// is 0 for the first version.
func (s *State) LastDelta() config.Delta { return s.last }

// DeltaFrom returns the delta from version base to the one held, with parts,
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
	out.Parts = partsOf(out.Changed, s.parts)
	return out, true
}

// partsOf returns each part that es names once.
func partsOf(es []config.Entry, parts map[mesh.Digest]config.Part) []config.Part {
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
