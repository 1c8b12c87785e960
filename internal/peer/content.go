package peer

import (
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Content returns the version, manifest and parts that this node serves. The
// map belongs to the caller; the bytes of the parts are shared and must not be
// changed.
func (p *Peer) Content() (mesh.Version, config.Manifest, map[mesh.Digest]config.Part) {
	p.stateMu.Lock()
	defer p.stateMu.Unlock()
	m := p.state.Manifest()
	parts := make(map[mesh.Digest]config.Part, len(m.Entries))
	for _, e := range m.Entries {
		if part, ok := p.state.Part(e.Part); ok {
			parts[e.Part] = part
		}
	}
	return p.state.Version(), m, parts
}
