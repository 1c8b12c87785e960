package version

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// fill sets nil functions. The functions below stand in for those of package
// config until it has them.
func (c *Config) fill() {
	if c.Compile == nil {
		c.Compile = compile
	}
	if c.Apply == nil {
		c.Apply = apply
	}
	if c.Diff == nil {
		c.Diff = diff
	}
	if c.Digest == nil {
		c.Digest = digest
	}
}

func digest(m config.Manifest) mesh.Digest {
	b, err := json.Marshal(m)
	if err != nil {
		return mesh.Digest{}
	}
	return mesh.DigestOf(b)
}

func compile(v mesh.Version, m config.Manifest, part func(mesh.Digest) (config.Part, bool)) (*config.Snapshot, error) {
	for _, e := range m.Entries {
		if _, ok := part(e.Part); !ok {
			return nil, fmt.Errorf("part %s of %s is missing", e.Part, e.Key)
		}
	}
	return &config.Snapshot{Version: v, Digest: digest(m)}, nil
}

func diff(base, target config.Manifest) ([]config.Entry, []config.DocumentKey) {
	var changed []config.Entry
	var removed []config.DocumentKey
	for _, e := range target.Entries {
		if !slices.Contains(base.Entries, e) {
			changed = append(changed, e)
		}
	}
	for _, e := range base.Entries {
		if !slices.ContainsFunc(target.Entries, func(t config.Entry) bool { return t.Key == e.Key }) {
			removed = append(removed, e.Key)
		}
	}
	return changed, removed
}

func apply(base config.Manifest, d config.Delta) (config.Manifest, error) {
	m := config.Manifest{Entries: slices.Clone(d.Changed)}
	for _, e := range base.Entries {
		if slices.Contains(d.Removed, e.Key) || slices.ContainsFunc(d.Changed, func(c config.Entry) bool { return c.Key == e.Key }) {
			continue
		}
		m.Entries = append(m.Entries, e)
	}
	slices.SortFunc(m.Entries, func(a, b config.Entry) int { return strings.Compare(string(a.Key), string(b.Key)) })
	if got := digest(m); got != d.Digest {
		return config.Manifest{}, fmt.Errorf("target manifest has digest %s, want %s", got, d.Digest)
	}
	return m, nil
}
