package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// idBytes is the length of the request ids. With it, a header has less than
	// max-header-bytes, which is 16384.
	idBytes = 15_900
	// shedShare is the share of requests that an endpoint rejects while its health check is
	// good, for shedTime, and calmTime is the time between.
	shedShare = 0.55
	shedTime  = 8500 * time.Millisecond
	calmTime  = 4 * time.Second
	// idClients is the number of clients that send requests one after the other.
	idClients = 32
	// restartDelay is the time after which a process that ended is started again.
	restartDelay = 500 * time.Millisecond
	// memoryTime is the length of the load.
	memoryTime = 85 * time.Second
	// endsInDay is the number of ends by themselves at which a machine counts for the rule.
	endsInDay = 3
)

const memoryConfig = `{"version":"00000007","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"lopu30.example","rules":[
{"name":"r-ship","route-type":"unsafe","target-latency-ms":800,"priority":1,"match":{"prefix":"/puba11/"},"action":{"service":"sendir","timeout-ms":2500,"attempts":2}}]}],
"clusters":[{"name":"lotbok","health-path":"/healthz","max-connections":120},{"name":"sendir","health-path":"/healthz","max-connections":120}]}`

// residentMB returns the resident memory of the node of x in MiB, and the part of it that no
// file backs, 0 if it does not run.
func (x *machine) residentMB() (all, anonymous int) {
	x.mu.Lock()
	pid := x.cmd.Process.Pid
	x.mu.Unlock()
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, 0
	}
	for line := range bytes.Lines(b) {
		name, rest, _ := strings.Cut(string(line), ":")
		kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
		switch {
		case err != nil:
		case name == "VmRSS":
			all = kb / 1024
		case name == "RssAnon":
			anonymous = kb / 1024
		}
	}
	return all, anonymous
}

// guardMemory plays the platform for x: it kills the node when it exceeds its memory, and
// starts it again, until stop is closed. Pages of files, such as those of the program, do not
// count. It returns the number of kills and the highest memory seen.
func (t *trial) guardMemory(x *machine, stop <-chan struct{}) (kills, peak int, err error) {
	start := time.Now()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return kills, peak, nil
		case <-tick.C:
		}
		mb, anonymous := x.residentMB()
		peak = max(peak, anonymous)
		if anonymous <= t.memoryMB {
			continue
		}
		kills++
		t.logf("at %.2f the node of %s has %d MiB of anonymous memory, %d resident in all, and may have %d: killed", time.Since(start).Seconds(), x.name, anonymous, mb, t.memoryMB)
		if err := x.signal(syscall.SIGKILL); err != nil {
			return kills, peak, err
		}
		<-x.ended()
		time.Sleep(restartDelay)
		if err := x.start(); err != nil {
			return kills, peak, err
		}
	}
}

// longIDs sends requests with long ids, inside the limits of the configuration.
func longIDs(t *trial) (bool, error) {
	length := 16
	if t.trouble {
		length = idBytes
	}
	front, err := t.add("nordur-a", endpointConfig{id: "i-lotbok-1", service: "lotbok", slots: 18, queue: 72, work: 220 * time.Millisecond})
	if err != nil {
		return false, err
	}
	var gates []*machine
	for i := range 2 {
		x, err := t.add("nordur-a", endpointConfig{id: fmt.Sprintf("i-sendir-%d", i+1), service: "sendir", slots: 18, queue: 72, work: 10 * time.Millisecond})
		if err != nil {
			return false, err
		}
		gates = append(gates, x)
	}
	t.store.Put("op", "config", []byte(memoryConfig))
	if err := awaitReady(t.machines, 20*time.Second, func() bool {
		return send(front.outbound(), "POST", "lopu30.example", "/puba11/", 4*time.Second).status == 200
	}); err != nil {
		return false, err
	}
	for _, x := range t.machines {
		if err := x.rewriteSettings(false); err != nil {
			return false, err
		}
	}
	stop := make(chan struct{})
	var sent, answered atomic.Int64
	var wg sync.WaitGroup
	for range idClients {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if sendWithID(front.outbound(), "POST", "lopu30.example", "/puba11/", 5*time.Second, longID(length)).whole {
					answered.Add(1)
				}
			}
		})
	}
	wg.Go(func() { shedInTurn(gates, stop) })
	type outcome struct {
		kills, peak int
		err         error
	}
	outcomes := make([]outcome, len(t.machines))
	for i, x := range t.machines {
		wg.Go(func() { o := &outcomes[i]; o.kills, o.peak, o.err = t.guardMemory(x, stop) })
	}
	time.Sleep(memoryTime)
	close(stop)
	wg.Wait()
	over := 0
	for i, x := range t.machines {
		o := outcomes[i]
		if o.err != nil {
			return false, o.err
		}
		t.logf("%s: ended %d times for its memory, peak %d MiB of %d", x.name, o.kills, o.peak, t.memoryMB)
		fmt.Printf("%s: ended %d times for its memory, peak %d MiB of %d\n", x.name, o.kills, o.peak, t.memoryMB)
		if o.kills >= endsInDay {
			over++
		}
	}
	t.logf("requests sent %d, answered %d, id of %d bytes, endpoints of the service %d", sent.Load(), answered.Load(), length, len(gates))
	fmt.Printf("requests sent %d, answered %d\n", sent.Load(), answered.Load())
	return over < 2, nil // two machines at least
}

// shedInTurn makes the endpoints of xs reject requests from time to time until stop is closed.
func shedInTurn(xs []*machine, stop <-chan struct{}) {
	for share, d := shedShare, shedTime; ; {
		for _, x := range xs {
			x.endpoint.setShed(share)
		}
		select {
		case <-stop:
			return
		case <-time.After(d):
		}
		if share > 0 {
			share, d = 0, calmTime
		} else {
			share, d = shedShare, shedTime
		}
	}
}

// longID returns a new request id of n bytes.
func longID(n int) string {
	id := fmt.Sprintf("%016x", lastID.Add(1))
	return strings.Repeat("0", max(n-len(id), 0)) + id
}
