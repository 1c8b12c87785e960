package trial

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/internal/standin/relay"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Addrs holds the id and the listen addresses of a node.
type Addrs struct {
	ID       mesh.NodeID `json:"id"`
	Caller   string      `json:"caller"`
	Peer     string      `json:"peer"`
	Operator string      `json:"operator"`
	Backend  string      `json:"backend"`
}

// Node is one node of a mesh with its backend server.
type Node struct {
	Index int
	Name  string
	Spec  NodeSpec
	Relay *relay.Relay // nil without relays

	m *Mesh

	mu           sync.Mutex
	addrs        Addrs
	process      *Process
	server       *Server
	serverStarts int // of the backend server, for file names
}

// Addrs returns the current id and addresses of n. A restart changes only the
// id.
func (n *Node) Addrs() Addrs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.addrs
}

// Process returns the current process of n.
func (n *Node) Process() *Process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// Server returns the current backend server of n, or nil without one.
func (n *Node) Server() *Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server
}

// AdvertisedAddr returns the peer address that n advertises to other nodes, or ""
// before it is known.
func (n *Node) AdvertisedAddr() string {
	if n.Relay != nil {
		return n.Relay.Addr()
	}
	return n.Addrs().Peer
}

func (n *Node) startRelay(ctx context.Context) error {
	cfg := relay.Config{Listen: listenAddr, Seed: n.m.cfg.Seed + uint64(n.Index)}
	if !n.m.cfg.NoSourceLookup {
		cfg.Source = func(client net.Addr) string { return n.m.sourceName(client, n.Relay.Addr()) }
	}
	r, err := relay.New(cfg)
	if err != nil {
		return err
	}
	n.Relay = r
	n.m.relays.Go(func() error { return r.Run(ctx) })
	return nil
}

// maxJoinAddrs is the maximum number of --join arguments of a starting node.
const maxJoinAddrs = 3

// Start starts the node, at its previous addresses if it ran before. The
// previous process must have ended.
func (n *Node) Start(ctx context.Context) error {
	prev := n.Addrs()
	args := []string{
		"node",
		"--zone", string(n.Spec.Zone),
		"--caller", addrOrDefault(prev.Caller),
		"--peer", addrOrDefault(prev.Peer),
		"--operator", addrOrDefault(prev.Operator),
		"--backend", addrOrDefault(prev.Backend),
		"--table-url", "http://" + n.m.Platform.Table,
		"--object-url", "http://" + n.m.Platform.Object,
	}
	if n.Relay != nil {
		args = append(args, "--advertise", n.Relay.Addr())
	}
	joins := 0
	for _, o := range n.m.Nodes {
		if a := o.AdvertisedAddr(); o != n && a != "" && o.Process() != nil && joins < maxJoinAddrs {
			args = append(args, "--join", a)
			joins++
		}
	}
	var addrs Addrs
	p, err := n.m.startProgram(ctx, n.Name, &addrs, n.m.bin.Node, append(args, n.Spec.NodeArgs...)...)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.addrs, n.process = addrs, p
	n.mu.Unlock()
	if n.Relay != nil {
		return n.Relay.SetTarget(addrs.Peer)
	}
	return nil
}

func addrOrDefault(addr string) string {
	if addr == "" {
		return listenAddr
	}
	return addr
}

// startWithServer starts the node and its backend server.
func (n *Node) startWithServer(ctx context.Context) error {
	if err := n.Start(ctx); err != nil {
		return err
	}
	if n.Spec.Service == "" {
		return nil
	}
	return n.StartServer(ctx)
}

// Replace kills the node and its backend server and starts both at the same
// addresses, as when a VM is replaced.
func (n *Node) Replace(ctx context.Context) error {
	if err := n.KillWithServer(); err != nil {
		return err
	}
	return n.startWithServer(ctx)
}

// KillWithServer kills the node and its backend server.
func (n *Node) KillWithServer() error {
	if err := n.Process().Kill(); err != nil {
		return err
	}
	if s := n.Server(); s != nil {
		return s.Kill()
	}
	return nil
}

// Vars returns the metrics of the node from /debug/vars.
func (n *Node) Vars(ctx context.Context) (map[string]any, error) {
	var v map[string]any
	return v, getJSON(ctx, "http://"+n.Addrs().Operator+"/debug/vars", &v)
}

// Get sends GET path to the operator API and decodes the response into v.
func (n *Node) Get(ctx context.Context, path string, v any) error {
	return getJSON(ctx, "http://"+n.Addrs().Operator+path, v)
}

// Server is a running backend stand-in.
type Server struct {
	*Process
	Addr    string `json:"addr"`
	Control string `json:"control"`
	Journal string `json:"-"` // path of the journal file
}

// StartServer starts the backend server of n. The previous one must have ended.
func (n *Node) StartServer(ctx context.Context) error {
	a := n.Addrs()
	n.mu.Lock()
	n.serverStarts++
	name := fmt.Sprintf("server-%d.%d", n.Index, n.serverStarts)
	n.mu.Unlock()
	s := &Server{Journal: filepath.Join(n.m.Dir, name+".journal")}
	args := []string{
		"backend",
		"--service", string(n.Spec.Service),
		"--listen", listenAddr,
		"--node", a.Backend,
		"--caller", a.Caller,
		"--seed", fmt.Sprint(n.m.cfg.Seed + uint64(n.Index)),
	}
	if !n.m.cfg.NoJournal {
		args = append(args, "--journal", s.Journal)
	}
	p, err := n.m.startProgram(ctx, name, s, n.m.bin.Standin, append(args, n.Spec.ServerArgs...)...)
	if err != nil {
		return err
	}
	s.Process = p
	n.mu.Lock()
	defer n.mu.Unlock()
	n.server = s
	return nil
}

// SetBehavior replaces the behavior settings of the backend server.
func (s *Server) SetBehavior(ctx context.Context, b backend.Behavior) error {
	return postJSON(ctx, "http://"+s.Control+"/control", b)
}

// Status returns the state and counters of the backend server.
func (s *Server) Status(ctx context.Context) (backend.Status, error) {
	var st backend.Status
	return st, getJSON(ctx, "http://"+s.Control+"/control", &st)
}

// Executions reads the journal file of the backend server, which remains after
// the process has ended.
func (s *Server) Executions() ([]backend.Execution, error) { return readJournal(s.Journal) }
