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

// Secrets of every mesh that this package starts.
const (
	Token     = "trial-operator-token"
	key       = "trial-shared-key-of-peers"
	accessKey = "trial-access"
	secretKey = "trial-secret"
)

// listenAddr is the listen address of nodes and backend servers. The kernel
// gives outgoing connections ports of 127.0.0.1, so a process that starts again
// finds its earlier ports on 127.0.0.2 free.
const listenAddr = "127.0.0.2:0"

// NodeSpec describes one node and its backend server.
type NodeSpec struct {
	Zone       mesh.AvailabilityZone
	Service    mesh.Service // of the backend server; none is started if empty
	NodeArgs   []string     // further arguments of the node
	ServerArgs []string     // further arguments of the backend server
}

// Config configures a Mesh.
type Config struct {
	Dir    string // directory of logs and journals; a temporary one if empty
	Nodes  []NodeSpec
	Relays bool   // a relay in front of the peer listener of each node
	Seed   uint64 // of the relays and stand-ins
	// NoSourceLookup spares the relays the search for the node that owns each
	// connection, which grows with the square of the number of nodes.
	// Partition then has no effect.
	NoSourceLookup bool
	NoJournal      bool // backend servers keep their journals in memory only
}

// NodeSpecs returns nodes spread over zones, whose backend servers belong to
// services in turn: node i is in zone i mod len(zones), and of service
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

	cfg    Config
	bin    Binaries
	temp   bool
	cancel context.CancelFunc // ends the relays
	relays *errgroup.Group

	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// startLimit is the most nodes that start at a time.
const startLimit = 8

// Start builds the programs and starts a mesh. The first node starts alone;
// the others join it.
func Start(ctx context.Context, cfg Config) (m *Mesh, err error) {
	bin, err := Build(ctx)
	if err != nil {
		return nil, err
	}
	m = &Mesh{Dir: cfg.Dir, cfg: cfg, bin: bin, relays: new(errgroup.Group)}
	if m.Dir == "" {
		m.temp = true
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
	if err := m.Nodes[0].startBoth(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(startLimit)
	for _, n := range m.Nodes[1:] {
		g.Go(func() error { return n.startBoth(ctx) })
	}
	return g.Wait()
}

// run starts a program of the mesh.
func (m *Mesh) run(ctx context.Context, name string, addrs any, path string, args ...string) (*Process, error) {
	env := []string{
		settings.KeyEnv + "=" + key,
		settings.TokenEnv + "=" + Token,
		settings.AccessKeyEnv + "=" + accessKey,
		settings.SecretKeyEnv + "=" + secretKey,
	}
	p, err := start(ctx, name, filepath.Join(m.Dir, name+".log"), env, addrs, path, args...)
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

// Executions returns the journals of all backend servers that ever ran in m.
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

// Close kills every process of m that still runs, ends the relays and deletes
// a temporary directory.
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
	if m.temp {
		errs = append(errs, os.RemoveAll(m.Dir))
	}
	return errors.Join(errs...)
}
