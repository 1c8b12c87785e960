package config

import (
	"errors"
	"fmt"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// ErrDelta is wrapped by the errors of Apply: the delta does not turn the given
// manifest into the one that it names.
var ErrDelta = errors.New("delta does not apply")

// Diff returns the entries of target that are missing from base or differ from
// it, and the keys that only base lists. Both are sorted by key.
func Diff(base, target Manifest) (changed []Entry, removed []DocumentKey) {
	b, t := base.Entries, target.Entries
	for len(b) > 0 || len(t) > 0 {
		switch {
		case len(t) == 0 || len(b) > 0 && b[0].Key < t[0].Key:
			removed = append(removed, b[0].Key)
			b = b[1:]
		case len(b) == 0 || t[0].Key < b[0].Key:
			changed = append(changed, t[0])
			t = t[1:]
		default:
			if b[0] != t[0] {
				changed = append(changed, t[0])
			}
			b, t = b[1:], t[1:]
		}
	}
	return changed, removed
}

// Apply returns the result of applying d to base. It returns an error that wraps
// ErrDelta if the result is not valid or its digest is not d.Digest. Each
// part of d must be named by a changed entry; parts that the receiver already
// has may be omitted.
func Apply(base Manifest, d Delta) (Manifest, error) {
	if err := d.checkParts(); err != nil {
		return Manifest{}, err
	}
	changed := make(map[DocumentKey]Entry, len(d.Changed))
	for _, e := range d.Changed {
		changed[e.Key] = e
	}
	removed := make(map[DocumentKey]bool, len(d.Removed))
	for _, k := range d.Removed {
		removed[k] = true
	}
	m := Manifest{Entries: make([]Entry, 0, len(base.Entries)+len(changed))}
	next := d.Changed
	for _, e := range base.Entries {
		for len(next) > 0 && next[0].Key < e.Key {
			m.Entries = append(m.Entries, next[0])
			next = next[1:]
		}
		if c, ok := changed[e.Key]; ok {
			m.Entries = append(m.Entries, c)
			if len(next) > 0 && next[0].Key == e.Key {
				next = next[1:]
			}
		} else if !removed[e.Key] {
			m.Entries = append(m.Entries, e)
		}
	}
	m.Entries = append(m.Entries, next...)
	if err := m.Check(); err != nil {
		return Manifest{}, fmt.Errorf("%w: %w", ErrDelta, err)
	}
	if got := m.Digest(); got != d.Digest {
		return Manifest{}, fmt.Errorf("%w: target manifest has digest %s, want %s", ErrDelta, got, d.Digest)
	}
	return m, nil
}

func (d Delta) checkParts() error {
	named := make(map[mesh.Digest]bool, len(d.Changed))
	for _, e := range d.Changed {
		named[e.Part] = true
	}
	for _, p := range d.Parts {
		if !named[p.Digest()] {
			return fmt.Errorf("%w: no changed entry names part %s", ErrDelta, p.Digest())
		}
	}
	return nil
}
