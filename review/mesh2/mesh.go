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

	"lavenderrill.dev/lavenderrill/platform/standin"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	graceTime         = 6 * time.Second
)

// mesh is a small deployment: the store, and machines with a node and an endpoint each.
type mesh struct {
	binary    string
	dir       string
	store     *standin.Store
	storeAddr string
	storeSrv  *http.Server
	machines  []*machine
	memoryMB  int
	ctx       context.Context
}

// machine is a node process and the endpoint beside it.
type machine struct {
	m        *mesh
	name     string
	zone     string
	ip       string
	port     int // first of the ports of the machine
	service  string
	settings string
	endpoint *endpoint

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when cmd has ended
}

func newMesh(ctx context.Context, binary, dir string) (*mesh, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &mesh{binary: binary, dir: dir, store: standin.NewStore(1), storeAddr: l.Addr().String(), memoryMB: 134, ctx: ctx}
	m.storeSrv = &http.Server{Handler: m.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = m.storeSrv.Serve(l) }() // until close
	return m, nil
}

// place starts a machine with an endpoint that sends no heartbeats.
func (m *mesh) place(zone string, c endpointConfig) (*machine, error) {
	i := len(m.machines)
	pid := os.Getpid()
	x := &machine{m: m, name: fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone: zone, service: c.service,
		ip: fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, i+1)}
	l, err := net.Listen("tcp", x.ip+":0")
	if err != nil {
		return nil, err
	}
	x.port = min(l.Addr().(*net.TCPAddr).Port, 65000)
	l.Close()
	c.address, c.control, c.zone = x.addr(1), x.addr(6), zone
	if x.endpoint, err = newEndpoint(c); err != nil {
		return nil, err
	}
	x.settings = filepath.Join(m.dir, x.name+".yaml")
	if err := x.rewriteSettings(true); err != nil {
		return nil, err
	}
	m.machines = append(m.machines, x)
	if err := x.start(); err != nil {
		return nil, err
	}
	return x, nil
}

// add starts a machine with an endpoint of the given service.
func (m *mesh) add(zone string, c endpointConfig) (*machine, error) {
	x, err := m.place(zone, c)
	if err != nil {
		return nil, err
	}
	go x.endpoint.heartbeats(m.ctx, heartbeatInterval)
	return x, nil
}

func (x *machine) rewriteSettings(bootstrap bool) error {
	return os.WriteFile(x.settings, []byte(x.settingsYAML(bootstrap)), 0o600)
}

// addr returns the address of port i of x.
func (x *machine) addr(i int) string { return fmt.Sprintf("%s:%d", x.ip, x.port+i) }

func (x *machine) outbound() string { return x.addr(4) }

// settingsYAML returns the settings file in the form of the platform.
func (x *machine) settingsYAML(bootstrap bool) string {
	return fmt.Sprintf(`node-name: %q
role: "node"
instance-class: "sidecar"
serves: ["sidecar"]
ip: %q
zone: %q
region: "nordur"
listen-addresses: {inbound: %q, outbound: %q, ready: %q, control: %q}
port-range: [%d, %d]
seed-nodes: []
bootstrap: %t
limits: {cpu-share: 0.32, cpu-cores: 1, memory-mb: %d, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}
heartbeat-interval-ms: %d
policies: ["base", "drain", "config", "cost", "retry", "recover", "platform"]
policy-params: ["seed-lag-s=3", "reuse-after-s=2", "stability-window-ms=3000", "ack-ms=4000", "catch-up-s=4", "drain-ms=2000", "grace-s=%d", "loss-slack-ms=200", "config-ms=2000", "rollback-slack-ms=250", "max-skew-ms=5000", "retry-budget-ratio=0.2", "budget-window-s=10", "retry-budget-slack=60", "recovery-s=15"]
app-address: %q
service: %q
provider: {address: %q, form: "table", writes-per-s: 400, reads-per-s: 2000, tx-ms: 3.0, append-per-s: 300, row-bytes: 65536, across: true, history-s: 20}
`, x.name, x.ip, x.zone, x.addr(0), x.addr(4), x.addr(2), x.addr(6), x.port+8, x.port+15, bootstrap, x.m.memoryMB,
		heartbeatInterval.Milliseconds(), int(graceTime.Seconds()), x.endpoint.address, x.service, x.m.storeAddr)
}

// start starts the node with the command of the deploy file.
func (x *machine) start() error {
	log, err := os.OpenFile(filepath.Join(x.m.dir, x.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the node has its own descriptor
	cmd := exec.Command(x.m.binary, "hosted", "--metrics", x.ip+":9464")
	cmd.Env = append(os.Environ(), "LAVENDERRILL_NODE_FILE="+x.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	x.mu.Lock()
	x.cmd, x.done = cmd, done
	x.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the end shows in the record
		close(done)
	}()
	return nil
}

func (x *machine) signal(s syscall.Signal) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cmd.Process.Signal(s)
}

// ended returns the channel that is closed when the process has ended.
func (x *machine) ended() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.done
}

// ready reports whether the node is ready.
func (x *machine) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + x.addr(2) + "/v1/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes of m.
func (m *mesh) close() {
	for _, x := range m.machines {
		_ = x.signal(syscall.SIGCONT) // fails if it has ended
		_ = x.signal(syscall.SIGKILL)
		<-x.ended()
		x.endpoint.listener.Close()
	}
	m.storeSrv.Close()
}

// awaitReady waits until the nodes of xs are ready and f holds.
func awaitReady(xs []*machine, d time.Duration, f func() bool) error {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		ok := true
		for _, x := range xs {
			ok = ok && x.ready()
		}
		if ok && f() {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the mesh was not ready after %v", d)
}
