package load

import (
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// compile returns the snapshot of a configuration that consists of docs.
func compile(docs []config.Document) (*config.Snapshot, error) {
	var m config.Manifest
	parts := make(map[mesh.Digest]config.Part)
	for _, d := range docs {
		m.Entries = append(m.Entries, config.Entry{Key: d.Key, Revision: 1, Part: d.Part.Digest()})
		parts[d.Part.Digest()] = d.Part
	}
	slices.SortFunc(m.Entries, func(a, b config.Entry) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return config.Compile(1, m, func(d mesh.Digest) (config.Part, bool) {
		p, ok := parts[d]
		return p, ok
	})
}
