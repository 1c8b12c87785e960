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

// clockTick is the unit of CPU times in /proc: 1/100 s on every Linux
// architecture that Go supports.
const clockTick = 10 * time.Millisecond

// readCPUTime returns the total user and system time of a process.
func readCPUTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command in parentheses may contain spaces; utime and stime are the 12th
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
	return time.Duration(u+s) * clockTick, err
}

// readRSS returns the resident set size of a process in bytes.
func readRSS(pid int) (int64, error) {
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

// readMachineCPU returns the CPU time that all processes of the machine have used,
// and the steal time, during which a process was runnable but the hypervisor did
// not run the machine.
func readMachineCPU() (busy, stolen time.Duration) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	// Field positions in the first line. Guest time is part of user time.
	const idle, iowait, steal, guest = 4, 5, 8, 9
	for i, s := range strings.Fields(strings.SplitN(string(b), "\n", 2)[0]) {
		v, _ := strconv.ParseInt(s, 10, 64)
		switch {
		case i == 0 || i == idle || i == iowait || i >= guest:
		case i == steal:
			stolen += time.Duration(v) * clockTick
		default:
			busy += time.Duration(v) * clockTick
		}
	}
	return busy, stolen
}

// nodeSample holds the resource usage and counters of one node since its start.
type nodeSample struct {
	pid               int
	at                time.Time
	cpu               time.Duration
	rss               int64
	heap              int64
	sent, received    map[string]int64 // control bytes by kind
	messages          map[string]int64 // sent, by kind
	retries           map[string]int64
	admissionRefusals map[string]int64 // refusals by admission, by cause
	brokenInvariants  map[string]int64 // violations by invariant
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
	// The CPU time is read first, since reading the counters costs CPU time.
	if s.cpu, err = readCPUTime(s.pid); err != nil {
		return s, err
	}
	s.at = time.Now()
	if s.rss, err = readRSS(s.pid); err != nil {
		return s, err
	}
	var v nodeVars
	if err := fetchVars(ctx, n, &v); err != nil {
		return s, err
	}
	s.heap, s.sent, s.received, s.retries, s.brokenInvariants = v.Memory.Heap, v.Sent, v.Received, v.Retries, v.Broken
	s.messages, s.admissionRefusals = v.Messages, v.Causes
	return s, nil
}

// fetchVars fetches the counters of a node and decodes them into v.
func fetchVars(ctx context.Context, n *trial.Node, v any) error {
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

// sample holds the cumulative resource usage of the mesh and the machine.
type sample struct {
	at        time.Time
	nodes     map[int]nodeSample // by node index; nodes that did not respond are missing
	arrivals  int64              // requests that reached all backend servers
	ownCPU    time.Duration      // CPU time of the load tool and the processes of the mesh
	busyCPU   time.Duration      // CPU time of the whole machine
	stolenCPU time.Duration      // steal time of the machine
}

// takeSample samples the machine and all nodes, up to maxParallel nodes at a time.
func (c *cluster) takeSample(ctx context.Context) sample {
	s := sample{at: time.Now(), nodes: make(map[int]nodeSample)}
	s.busyCPU, s.stolenCPU = readMachineCPU()
	s.ownCPU, _ = readCPUTime(os.Getpid())
	if cpu, err := readCPUTime(c.Platform.PID()); err == nil {
		s.ownCPU += cpu
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	const maxParallel = 16
	sem := make(chan struct{}, maxParallel)
	for i, n := range c.Nodes {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			ns, err := sampleNode(ctx, n)
			var arrived int64
			var cpu time.Duration
			if srv := n.Server(); srv != nil && isRunning(srv.Process) {
				cpu, _ = readCPUTime(srv.PID())
				if st, err := srv.Status(ctx); err == nil {
					arrived = int64(st.Runs) + st.Shed
				}
			}
			mu.Lock()
			defer mu.Unlock()
			s.arrivals += arrived
			s.ownCPU += cpu + ns.cpu
			if err == nil {
				s.nodes[i] = ns
			}
		})
	}
	wg.Wait()
	return s
}

// platformRequests returns the number of requests that the platform received, by
// operation and in total for reads and writes.
func (c *cluster) platformRequests(ctx context.Context) (ops map[string]int64, reads, writes int64) {
	ops = make(map[string]int64)
	st, err := c.Platform.Status(ctx)
	if err != nil {
		return ops, 0, 0
	}
	for _, s := range st {
		for op, n := range s.Counts {
			ops[op] += n
			if isWriteOp(op) {
				writes += n
			} else {
				reads += n
			}
		}
	}
	return ops, reads, writes
}

func isWriteOp(op string) bool {
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
