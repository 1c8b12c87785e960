package hosted

import (
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// versionLifetime is the time for which the version that a node reported counts.
	versionLifetime = 4 * time.Second
	// versionsDelay is the time from the first report of a service after which most of its
	// nodes have reported. Nodes whose backend server waits report every ordersGap, once a
	// heartbeat has told its version.
	versionsDelay = 700 * time.Millisecond
	// baseFactor is how many times as many nodes another version needs to take the place
	// of the base while that still serves.
	baseFactor = 2
)

// versionTable holds the versions of the backend servers beside the nodes that follow a
// watcher. The base of a service is the version that most of them ran when it was first
// known. It stays while it serves, so that new servers do not become the base by their
// number.
type versionTable struct {
	mu       sync.Mutex
	services map[mesh.Service]*serviceVersions
}

type serviceVersions struct {
	first time.Time // time of the first report
	last  time.Time // time of the last report
	nodes map[mesh.NodeID]nodeVersion
	base  mesh.SoftwareVersion
	known bool
}

type nodeVersion struct {
	version mesh.SoftwareVersion
	at      time.Time
}

func newVersionTable() *versionTable {
	return &versionTable{services: make(map[mesh.Service]*serviceVersions)}
}

// record records that the backend server beside id runs version v.
func (t *versionTable) record(id mesh.NodeID, service mesh.Service, v mesh.SoftwareVersion, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil || now.Sub(s.last) > versionLifetime {
		s = &serviceVersions{first: now, nodes: make(map[mesh.NodeID]nodeVersion)}
		t.services[service] = s
	}
	s.last = now
	s.nodes[id] = nodeVersion{v, now}
}

// base returns the base of a service, or false while too little is known.
func (t *versionTable) base(service mesh.Service, now time.Time) (mesh.SoftwareVersion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil || now.Sub(s.first) < versionsDelay || now.Sub(s.last) > versionLifetime {
		return "", false
	}
	counts := make(map[mesh.SoftwareVersion]int)
	for id, n := range s.nodes {
		if now.Sub(n.at) > versionLifetime {
			delete(s.nodes, id)
			continue
		}
		counts[n.version]++
	}
	best := s.base
	for v, n := range counts {
		if n > counts[best] || n == counts[best] && v < best && best != s.base {
			best = v
		}
	}
	if !s.known || counts[s.base] == 0 || counts[best] > baseFactor*counts[s.base] {
		s.base, s.known = best, true
	}
	return s.base, true
}
