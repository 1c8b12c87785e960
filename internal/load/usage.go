package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/trial"
)

// tick is the unit of CPU times in /proc, which is 1/100 s on every Linux
// architecture that Go supports.
const tick = 10 * time.Millisecond

// cpuOf returns the user and system time of a process so far.
func cpuOf(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command in parentheses may hold spaces; utime and stime are the 12th
	// and 13th fields after it.
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	const utime, stime = 11, 12
	if len(f) <= stime {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(f))
	}
	u, err := strconv.ParseInt(string(f[utime]), 10, 64)
	if err != nil {
		return 0, err
	}
	s, err := strconv.ParseInt(string(f[stime]), 10, 64)
	return time.Duration(u+s) * tick, err
}

// rssOf returns the resident memory of a process in bytes.
func rssOf(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS", pid)
}

// machine returns the CPU time that all processes of the machine have used, and
// the time for which the hypervisor ran something else although a process of
// the machine was ready to run.
func machine() (busy, stolen time.Duration) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	// Positions in the first line; guest time is part of user time.
	const idle, iowait, steal, guest = 4, 5, 8, 9
	for i, s := range strings.Fields(strings.SplitN(string(b), "\n", 2)[0]) {
		v, _ := strconv.ParseInt(s, 10, 64)
		switch {
		case i == 0 || i == idle || i == iowait || i >= guest:
		case i == steal:
			stolen += time.Duration(v) * tick
		default:
			busy += time.Duration(v) * tick
		}
	}
	return busy, stolen
}

// nodeSample is what one node has used so far.
type nodeSample struct {
	pid            int
	at             time.Time
	cpu            time.Duration
	rss            int64
	heap           int64
	sent, received map[string]int64 // control bytes by kind
	messages       map[string]int64 // sent, by kind
	retries        map[string]int64
	admission      map[string]int64 // refusals of gates by cause
	broken         map[string]int64 // invariants
}

type nodeVars struct {
	Sent     map[string]int64 `json:"control_bytes_sent"`
	Received map[string]int64 `json:"control_bytes_received"`
	Messages map[string]int64 `json:"control_messages_sent"`
	Retries  map[string]int64 `json:"caller_retry"`
	Causes   map[string]int64 `json:"gate_refused_by_admission"`
	Broken   map[string]int64 `json:"invariant_broken"`
	Memory   struct {
		Heap int64 `json:"heap_alloc"`
	} `json:"memory"`
}

func sampleNode(ctx context.Context, n *trial.Node) (nodeSample, error) {
	s := nodeSample{pid: n.Process().PID()}
	var err error
	// The CPU time is read before the counters, whose reading costs CPU time.
	if s.cpu, err = cpuOf(s.pid); err != nil {
		return s, err
	}
	s.at = time.Now()
	if s.rss, err = rssOf(s.pid); err != nil {
		return s, err
	}
	var v nodeVars
	if err := vars(ctx, n, &v); err != nil {
		return s, err
	}
	s.heap, s.sent, s.received, s.retries, s.broken = v.Memory.Heap, v.Sent, v.Received, v.Retries, v.Broken
	s.messages, s.admission = v.Messages, v.Causes
	return s, nil
}

// vars decodes the counters of a node into v.
func vars(ctx context.Context, n *trial.Node, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addrs().Operator+"/debug/vars", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// sample is what the mesh and the machine have used so far.
type sample struct {
	at       time.Time
	nodes    map[int]nodeSample // by index, of those that answered
	arrivals int64              // requests at all backend servers
	own      time.Duration      // CPU time of the load tool and of the processes of the mesh
	busy     time.Duration      // CPU time of the whole machine
	stolen   time.Duration      // by the hypervisor
}

// take samples all nodes, 16 at a time.
func (c *cluster) take(ctx context.Context) sample {
	s := sample{at: time.Now(), nodes: make(map[int]nodeSample)}
	s.busy, s.stolen = machine()
	s.own, _ = cpuOf(os.Getpid())
	if cpu, err := cpuOf(c.Platform.PID()); err == nil {
		s.own += cpu
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	const parallel = 16
	limit := make(chan struct{}, parallel)
	for i, n := range c.Nodes {
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			ns, err := sampleNode(ctx, n)
			var arrived int64
			var cpu time.Duration
			if srv := n.Server(); srv != nil && running(srv.Process) {
				cpu, _ = cpuOf(srv.PID())
				if st, err := srv.Status(ctx); err == nil {
					arrived = int64(st.Runs) + st.Shed
				}
			}
			mu.Lock()
			defer mu.Unlock()
			s.arrivals += arrived
			s.own += cpu + ns.cpu
			if err == nil {
				s.nodes[i] = ns
			}
		})
	}
	wg.Wait()
	return s
}

// platformRequests returns the requests that the platform received by
// operation, and their sums.
func (c *cluster) platformRequests(ctx context.Context) (ops map[string]int64, reads, writes int64) {
	ops = make(map[string]int64)
	st, err := c.Platform.Status(ctx)
	if err != nil {
		return ops, 0, 0
	}
	for _, s := range st {
		for op, n := range s.Counts {
			ops[op] += n
			if isWrite(op) {
				writes += n
			} else {
				reads += n
			}
		}
	}
	return ops, reads, writes
}

func isWrite(op string) bool {
	for _, p := range []string{"Put", "Update", "Delete", "TransactWrite", "BatchWrite", "Create"} {
		if strings.HasPrefix(op, p) {
			return true
		}
	}
	return false
}

func sum(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}
