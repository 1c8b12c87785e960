package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lavenderrill.dev/lavenderrill/platform"
	"lavenderrill.dev/lavenderrill/platform/standin"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second // a heartbeat without an acknowledgement by then is repeated
	startTimeout      = 20 * time.Second
	// restartDelay is the time after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// portsPerNode are the ports of one node: requests, readiness, heartbeats, the backend
	// server, the metrics and those between nodes.
	portsPerNode = 8
)

// lab is a small deployment: processes of the project, with stand-ins for the store and the
// backend servers in this process.
type lab struct {
	record *record
	dir    string
	binary string
	store  *standin.Store
	addr   string        // of the store
	params string        // further entries of policy-params
	polic  string        // further entries of policies
	slots  int           // of a backend server
	work   time.Duration // of a request
	link   float64       // rate of the link of the next machines, in Mbit/s
	nodes  []*node
	ctx    context.Context
	beats  sync.WaitGroup
}

// node is a machine: a process of the project and the backend server beside it.
type node struct {
	l        *lab
	name     string
	zone     string
	ip       string
	port     int
	settings string
	service  string
	link     float64 // Mbit/s
	backend  string  // address of the backend server
	server   *standin.Server

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when the process has ended
}

func newLab(ctx context.Context, r *record, binary, params, policies string) (*lab, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: r, dir: dir, binary: binary, store: standin.NewStore(1), params: params, polic: policies, ctx: ctx, slots: 18, work: 8 * time.Millisecond, link: 1000}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.addr = listener.Addr().String()
	srv := &http.Server{Handler: l.store}
	go func() { _ = srv.Serve(listener) }()
	return l, nil
}

// add adds a machine with a backend server of the given version, and starts both.
func (l *lab) add(name, zone, service, version string, bootstrap bool) (*node, error) {
	i := len(l.nodes)
	n := &node{l: l, name: name, zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, os.Getpid()%250, i+1)}
	var err error
	if n.port, err = freePorts(n.ip); err != nil {
		return nil, err
	}
	if n.server, err = standin.NewServer(n.addrOf(3), fmt.Sprintf("i-%s", name), service, l.work); err != nil {
		return nil, err
	}
	n.service, n.backend, n.link = service, n.server.Address, l.link
	n.server.Version = version
	n.server.SetFaults(l.faults(i))
	n.settings = filepath.Join(l.dir, name+".yaml")
	if err := n.writeSettings(bootstrap); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	l.beats.Go(n.sendHeartbeats)
	return n, n.start()
}

// faults returns the properties of backend server i, which has no faults.
func (l *lab) faults(i int) standin.Faults {
	return standin.Faults{Seed: uint64(i), Slots: l.slots, Queue: 4 * l.slots}
}

// freePorts returns the first of portsPerNode free ports of ip.
func freePorts(ip string) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if port > 60000 {
			continue
		}
		free := true
		for i := range portsPerNode {
			t, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
			if err != nil {
				free = false
				break
			}
			t.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// addrOf returns the address of port i of n.
func (n *node) addrOf(i int) string { return fmt.Sprintf("%s:%d", n.ip, n.port+i) }

// writeSettings writes the settings file as the platform does.
func (n *node) writeSettings(bootstrap bool) error {
	return os.WriteFile(n.settings, fmt.Appendf(nil, `node-name: %q
role: "node"
instance-class: "sidecar"
serves:
  - "sidecar"
ip: %q
zone: %q
region: "r"
zones:
  %s: "r"
listen-addresses:
  outbound: %q
  ready: %q
  control: %q
port-range:
  - %d
  - %d
seed-nodes: []
bootstrap: %t
limits:
  cpu-share: 0.32
  cpu-cores: 1
  memory-mb: 284
  max-fds: 4100
  link-mbps: %.1f
  disk-mb: 0
heartbeat-interval-ms: %d
policies: ["base", "drain", "config", "cost", "retry", "recover", "platform"%s]
policy-params: ["seed-lag-s=3", "reuse-after-s=2", "stability-window-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=6", "loss-slack-ms=200", "config-ms=2000", "rollback-slack-ms=250", "max-skew-ms=5000", "retry-budget-ratio=0.2", "budget-window-s=10", "retry-budget-slack=56", "recovery-s=15"%s]
app-address: %q
service: %q
provider:
  address: %q
  form: "table"
`, n.name, n.ip, n.zone, n.zone, n.addrOf(0), n.addrOf(1), n.addrOf(2), n.port+5, n.port+7, bootstrap, n.link, heartbeatInterval.Milliseconds(),
		n.l.polic, n.l.params, n.backend, n.service, n.l.addr), 0o600)
}

// start starts the process of n with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.l.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }() // the process has its own descriptor
	cmd := exec.Command(n.l.binary, "hosted", "--metrics", n.addrOf(4))
	cmd.Env = []string{platform.SettingsEnv + "=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	go func() {
		_ = cmd.Wait() // a process that is killed ends with an error
		close(end)
	}()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd, n.end = cmd, end
	return nil
}

// signal sends s to the process of n.
func (n *node) signal(s syscall.Signal) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Signal(s)
}

// awaitEnd waits for the end of the process of n, and reports whether it ended in time.
func (n *node) awaitEnd(d time.Duration) bool {
	n.mu.Lock()
	end := n.end
	n.mu.Unlock()
	select {
	case <-end:
		return true
	case <-time.After(d):
		return false
	}
}

// sendHeartbeats sends the heartbeats of the backend server of n until the lab ends. One
// that is not acknowledged is repeated soon.
func (n *node) sendHeartbeats() {
	for n.l.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(n.l.ctx, heartbeatTimeout)
		err := n.server.SendHeartbeat(ctx, n.addrOf(2))
		cancel()
		d := heartbeatInterval
		if err != nil {
			d = 200 * time.Millisecond
		}
		select {
		case <-n.l.ctx.Done():
		case <-time.After(d):
		}
	}
}

// ready reports the answer of n to the readiness check of the platform.
func (n *node) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + n.addrOf(1) + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all of nodes are ready.
func awaitReady(nodes []*node) error {
	end := time.Now().Add(startTimeout)
	for _, n := range nodes {
		for !n.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %s", n.name, startTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all processes. The temporary folder is kept if LAB3_KEEP is set.
func (l *lab) stop() {
	for _, n := range l.nodes {
		if n.cmd != nil {
			_ = n.signal(syscall.SIGKILL) // fails if it has ended
			n.awaitEnd(5 * time.Second)
		}
		_ = n.server.Close() // ends with this process anyway
	}
	if os.Getenv("LAB3_KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", l.dir)
	}
}
