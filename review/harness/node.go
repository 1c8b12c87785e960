package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the node as the deploy file builds it, relative to the repository's root.
const program = "target/lavenderrill"

// readyTimeout bounds the wait for a node that starts.
const readyTimeout = 15 * time.Second

// Node is one machine with the process of the system.
type Node struct {
	Name, IP, Zone, Service string

	d       *Deployment
	cmd     *exec.Cmd
	ended   chan struct{}
	started time.Time
}

// AddNode adds a machine whose endpoint is of the given service. Its process isn't started.
func (d *Deployment) AddNode(name, zone, service string) *Node {
	n := &Node{Name: name, Zone: zone, Service: service, d: d, IP: fmt.Sprintf("%s.%d", d.network, 10+len(d.nodes))}
	d.nodes = append(d.nodes, n)
	return n
}

func (n *Node) addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

// StartTime returns the time of the last start of the process.
func (n *Node) StartTime() time.Time { return n.started }

const settingsFormat = `node-name: %q
role: "node"
instance-class: "sidecar"
serves:
  - "sidecar"
ip: %q
zone: %q
region: "nordur"
zones:
  nordur-a: "nordur"
  nordur-b: "nordur"
  nordur-c: "nordur"
listen-addresses:
  inbound: %q
  outbound: %q
  ready: %q
  control: %q
port-range:
  - %d
  - %d
seed-nodes: []
bootstrap: %t
count-loss: false
limits:
  cpu-share: 0.32
  cpu-cores: 1
  memory-mb: 134
  max-fds: 4100
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "static"
ingress: "static"
heartbeat-interval-ms: 1500
policies: ["base", "drain", "config", "cost", "retry", "recover", "platform"]
fault-tolerance:
  machines: 1
  zones: 0
  regions: 0
policy-params:
  - "seed-lag-s=3"
  - "reuse-after-s=2"
  - "stability-window-ms=3000"
  - "ack-ms=4000"
  - "catch-up-s=4"
  - "drain-ms=2000"
  - "grace-s=6"
  - "loss-slack-ms=200"
  - "config-ms=2000"
  - "rollback-slack-ms=250"
  - "max-skew-ms=5000"
  - "retry-budget-ratio=0.2"
  - "budget-window-s=10"
  - "retry-budget-slack=60"
  - "recovery-s=15"
app-address: %q
service: %q
provider:
  address: %q
  form: "table"
  writes-per-s: 400
  reads-per-s: 2000
  tx-ms: 3.0
  append-per-s: 300
  row-bytes: 65536
  across: true
  history-s: 20
  blob-bytes: 8388608
  blob-ms: 25.0
  blob-per-s: 80.0
`

func (n *Node) settingsPath() string { return n.d.path(n.Name + ".yaml") }

func (n *Node) writeSettings(bootstrap bool) error {
	text := fmt.Sprintf(settingsFormat, n.Name, n.IP, n.Zone, n.addr(inboundPort), n.addr(outboundPort), n.addr(readyPort),
		n.addr(controlPort), firstPeerPort, lastPeerPort, bootstrap, n.addr(endpointPort), n.Service, n.d.storeAddr)
	next := n.settingsPath() + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(next, n.settingsPath())
}

// Reassign changes the service in the settings file of a running node, without a signal.
func (n *Node) Reassign(service string) error {
	n.Service = service
	n.d.Record.Printf("%s: the settings name the service %s now", n.Name, service)
	return n.writeSettings(false)
}

// Start starts the process. Bootstrap is true at the first start of the whole system.
func (n *Node) Start(bootstrap bool) error {
	if err := n.writeSettings(bootstrap); err != nil {
		return err
	}
	logPath := n.d.path(n.Name + ".log")
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		logPath = filepath.Join(dir, n.Name+".log")
	}
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }() // the process has its own descriptor
	n.cmd = exec.Command(program, "hosted", "--metrics", n.addr(9464))
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERRILL_NODE_FILE=" + n.settingsPath()}
	n.cmd.Stdout, n.cmd.Stderr = logFile, logFile
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.started = time.Now()
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		err := cmd.Wait()
		n.d.Record.Printf("%s: process ended: %v", n.Name, err)
		close(ended)
	}()
	n.d.Record.Printf("%s: process started", n.Name)
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.d.Record.Printf("%s: signal %s", n.Name, s)
	_ = n.cmd.Process.Signal(s) // fails if the process has ended
}

// AwaitEnd waits for the end of the process.
func (n *Node) AwaitEnd() { <-n.ended }

// Running reports whether the process runs.
func (n *Node) Running() bool {
	if n.cmd == nil {
		return false
	}
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process without notice, if it runs.
func (n *Node) Kill() {
	if n.Running() {
		n.Signal(syscall.SIGKILL)
		n.AwaitEnd()
	}
}

// Terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace
// time of 6 s.
func (n *Node) Terminate() {
	n.Signal(syscall.SIGTERM)
	select {
	case <-n.ended:
	case <-time.After(6 * time.Second):
		n.Kill()
	}
}

var errNotReady = errors.New("the node isn't ready in time")

// AwaitReady waits until the node says that it is ready.
func (n *Node) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr(readyPort)+"/v1/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n.d.Record.Printf("%s: ready", n.Name)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %w", n.Name, errNotReady)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
