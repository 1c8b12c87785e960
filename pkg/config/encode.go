package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Encode returns the canonical encoding of m. Manifests with the same entries
// have the same encoding.
func (m Manifest) Encode() []byte {
	if m.Entries == nil {
		m.Entries = []Entry{}
	}
	b, err := marshal(m) // cannot fail: a manifest contains only strings and integers
	if err != nil {
		panic(fmt.Sprintf("config: encode manifest: %v", err))
	}
	return b
}

// Digest returns the digest of the canonical encoding of m, which identifies
// the whole configuration.
func (m Manifest) Digest() mesh.Digest { return mesh.DigestOf(m.Encode()) }

// DecodeManifest decodes the result of Encode. Any other encoding of the same
// entries is an error, so that one configuration has one digest.
func DecodeManifest(b []byte) (Manifest, error) {
	var m Manifest
	if len(b) > MaxManifestBytes {
		return m, fmt.Errorf("manifest has %d bytes, want at most %d", len(b), MaxManifestBytes)
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return Manifest{}, fmt.Errorf("manifest: %w", err)
	}
	if err := m.Check(); err != nil {
		return Manifest{}, err
	}
	if !bytes.Equal(m.Encode(), b) {
		return Manifest{}, fmt.Errorf("manifest: encoding is not canonical")
	}
	return m, nil
}

// Check returns an error unless the entries of m are complete, sorted and
// distinct.
func (m Manifest) Check() error {
	c := &collector{file: "manifest"}
	checkCount(c, "entries", len(m.Entries), MaxDocuments)
	for i, e := range m.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		if err := CheckKey(e.Key); err != nil {
			c.addf(path+".key", "%v", err)
		}
		if i > 0 && m.Entries[i-1].Key >= e.Key {
			c.addf(path+".key", "%q does not follow %q in sorted order", e.Key, m.Entries[i-1].Key)
		}
		if e.Revision == 0 {
			c.addf(path+".revision", "must be at least 1")
		}
		if e.Part.IsZero() {
			c.addf(path+".part", "must be set")
		}
	}
	return c.err()
}

// CheckKey returns an error unless k is a well-formed document key.
func CheckKey(k DocumentKey) error {
	if k == FleetKey {
		return nil
	}
	kind, name, _ := strings.Cut(string(k), "/")
	if kind+"/" != templatePrefix && kind+"/" != accountPrefix {
		return fmt.Errorf("%q is not a document key: want fleet, template/NAME or account/NAME", k)
	}
	return mesh.CheckName(name)
}

// Entry returns the entry of document k, and false if m does not list it.
func (m Manifest) Entry(k DocumentKey) (Entry, bool) {
	i, ok := m.search(k)
	if !ok {
		return Entry{}, false
	}
	return m.Entries[i], true
}

// With returns a copy of m in which e is the entry of its document.
func (m Manifest) With(e Entry) Manifest {
	i, ok := m.search(e.Key)
	es := slices.Clone(m.Entries)
	if ok {
		es[i] = e
	} else {
		es = slices.Insert(es, i, e)
	}
	return Manifest{Entries: es}
}

// Without returns a copy of m that does not list document k.
func (m Manifest) Without(k DocumentKey) Manifest {
	es := slices.Clone(m.Entries)
	if i, ok := m.search(k); ok {
		es = slices.Delete(es, i, i+1)
	}
	return Manifest{Entries: es}
}

func (m Manifest) search(k DocumentKey) (int, bool) {
	return slices.BinarySearchFunc(m.Entries, k, func(e Entry, k DocumentKey) int {
		return strings.Compare(string(e.Key), string(k))
	})
}
