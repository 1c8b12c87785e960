package trial

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Secrets shared by every mesh that this package starts.
const (
	Token     = "trial-operator-token"
	peerKey   = "trial-shared-key-of-peers"
	accessKey = "trial-access"
	secretKey = "trial-secret"
)

// listenAddr is the listen address of nodes and backend servers. Outgoing
// connections take ephemeral ports on 127.0.0.1, so the previous ports of a
// restarted process on 127.0.0.2 are still free.
const listenAddr = "127.0.0.2:0"

// NodeSpec describes one node and its backend server.
type NodeSpec struct {
	Zone       mesh.AvailabilityZone
	Service    mesh.Service // of the backend server; if empty, none is started
	NodeArgs   []string     // additional arguments of the node
	ServerArgs []string     // additional arguments of the backend server
}

// Config configures a Mesh.
type Config struct {
	Dir    string // directory of logs and journals; a temporary one if empty
	Nodes  []NodeSpec
	Relays bool   // a relay in front of the peer listener of each node
	Seed   uint64 // of the relays and stand-ins
	// NoSourceLookup disables the lookup of the node that owns each relayed
	// connection. Its cost grows with the square of the number of nodes.
	// Without the lookup, Partition has no effect.
	NoSourceLookup bool
	NoJournal      bool // backend servers keep their journals in memory only
}

// NodeSpecs returns n nodes spread over zones and services: node i is in zone
// i mod len(zones), and its backend server belongs to service
// i / len(zones) mod len(services).
func NodeSpecs(n int, zones []mesh.AvailabilityZone, services []mesh.Service, serverArgs ...string) []NodeSpec {
	specs := make([]NodeSpec, n)
	for i := range specs {
		specs[i] = NodeSpec{Zone: zones[i%len(zones)], ServerArgs: serverArgs}
		if len(services) > 0 {
			specs[i].Service = services[i/len(zones)%len(services)]
		}
	}
	return specs
}

// Mesh is a running mesh.
type Mesh struct {
	Dir      string
	Platform *Platform
	Nodes    []*Node

	cfg       Config
	bin       Binaries
	removeDir bool
	cancel    context.CancelFunc // stops the relays
	relays    *errgroup.Group

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// maxConcurrentStarts is the maximum number of nodes that start concurrently.
const maxConcurrentStarts = 8

// Start builds the programs and starts a mesh. The first node starts alone;
// the others join it.
func Start(ctx context.Context, cfg Config) (m *Mesh, err error) {
	bin, err := Build(ctx)
	if err != nil {
		return nil, err
	}
	m = &Mesh{Dir: cfg.Dir, cfg: cfg, bin: bin, relays: new(errgroup.Group)}
	if m.Dir == "" {
		m.removeDir = true
		if m.Dir, err = os.MkdirTemp("", "lavenderrill-mesh-"); err != nil {
			return nil, err
		}
	}
	relayCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	m.cancel = cancel
	defer func() {
		if err != nil {
			err = errors.Join(err, m.Close())
		}
	}()
	if m.Platform, err = m.startPlatform(ctx); err != nil {
		return nil, err
	}
	for i, spec := range cfg.Nodes {
		n := &Node{m: m, Index: i, Spec: spec, Name: fmt.Sprintf("node-%d", i)}
		if cfg.Relays {
			if err := n.startRelay(relayCtx); err != nil {
				return nil, err
			}
		}
		m.Nodes = append(m.Nodes, n)
	}
	return m, m.startNodes(ctx)
}

func (m *Mesh) startNodes(ctx context.Context) error {
	if len(m.Nodes) == 0 {
		return nil
	}
	if err := m.Nodes[0].startWithServer(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentStarts)
	for _, n := range m.Nodes[1:] {
		g.Go(func() error { return n.startWithServer(ctx) })
	}
	return g.Wait()
}

// startProgram starts a program with the secrets of the mesh in its environment.
func (m *Mesh) startProgram(ctx context.Context, name string, addrs any, path string, args ...string) (*Process, error) {
	env := []string{
		settings.KeyEnv + "=" + peerKey,
		settings.TokenEnv + "=" + Token,
		settings.AccessKeyEnv + "=" + accessKey,
		settings.SecretKeyEnv + "=" + secretKey,
	}
	p, err := startProcess(ctx, name, filepath.Join(m.Dir, name+".log"), env, addrs, path, args...)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.processes = append(m.processes, p)
	if m.closed {
		return nil, errors.Join(errors.New("mesh is closed"), p.Kill())
	}
	return p, nil
}

// Executions returns the journal entries of all backend servers that have run in
// m.
func (m *Mesh) Executions() ([]backend.Execution, error) {
	paths, err := filepath.Glob(filepath.Join(m.Dir, "*.journal"))
	if err != nil {
		return nil, err
	}
	var all []backend.Execution
	for _, path := range paths {
		runs, err := readJournal(path)
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

func readJournal(path string) ([]backend.Execution, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	runs, err := backend.ReadJournal(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return runs, nil
}

// Close kills every process of m that still runs, stops the relays and deletes
// Dir if it is temporary.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	ps := m.processes
	m.mu.Unlock()
	var errs []error
	for _, p := range ps {
		errs = append(errs, p.Kill())
	}
	m.cancel()
	errs = append(errs, m.relays.Wait())
	if m.removeDir {
		errs = append(errs, os.RemoveAll(m.Dir))
	}
	return errors.Join(errs...)
}
