package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The bounds of the rule EXPOSURE in the site files with roll-outs.
const (
	exposureShare   = 0.1
	exposureSlack   = 50
	rollbackTime    = 5 * time.Second
	touchTime       = 3 * time.Second // stability-window-ms
	exposureParams  = `, "exposure-share=0.1", "exposure-slack=50", "rollback-ms=5000"`
	exposurePolicy  = `, "rollout"`
	serversPerZone  = 3 // of each version
	orderTime       = 10 * time.Second
	drainDelay      = 6 * time.Second // from the status rolled_back until the new servers drain
	drainTime       = 2500 * time.Millisecond
	badShare        = 0.2
	oldVersion      = "v9"
	newVersion      = "v10"
	requestsASecond = 460
)

const shopConfig = `{"version":"00000007",
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"shop.example","rules":[{"name":"r-1","route-type":"safe","target-latency-ms":500,"priority":0,
"match":{"prefix":"/shop/"},"action":{"service":"shop","timeout-ms":1500,"attempts":1}}]}],
"clusters":[{"name":"shop","health-path":"/healthz","max-connections":550,"protocol":"h1","tls":false}]}`

// restarts records when processes were told to stop and were started.
type restarts struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (r *restarts) add(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[n.name] = append(r.at[n.name], time.Now())
}

// inTouch reports whether the process beside a client ran undisturbed before t.
func (r *restarts) inTouch(name string, t time.Time) bool {
	for _, at := range r.at[name] {
		if d := t.Sub(at); d > -10*time.Millisecond && d < touchTime {
			return false
		}
	}
	return true
}

// phase returns the phase of the roll-out that the operator reads.
func (l *lab) phase() string {
	var v struct{ Phase string }
	_ = json.Unmarshal(l.store.Value("status", "rollout/shop"), &v) // no status yet
	return v.Phase
}

// drainAfterRollback does what the operator and the new servers do once the status is
// rolled_back: they drain some seconds later.
func (l *lab) drainAfterRollback(added []*node) {
	for l.ctx.Err() == nil && l.phase() != "rolled_back" && l.phase() != "completed" {
		time.Sleep(20 * time.Millisecond)
	}
	l.record.printf("the operator reads %s", l.phase())
	if l.phase() == "completed" {
		return
	}
	select {
	case <-l.ctx.Done():
		return
	case <-time.After(drainDelay):
	}
	for _, n := range added {
		n.server.Drain()
	}
	l.record.printf("the new servers drain")
	ctx, cancel := context.WithTimeout(l.ctx, drainTime)
	defer cancel()
	for _, n := range added {
		_ = n.server.SendHeartbeat(ctx, n.addrOf(2)) // repeated by sendHeartbeats
	}
	<-ctx.Done()
	for _, n := range added {
		_ = n.server.Close() // the new servers exit
	}
}

// killed are the machines whose processes are killed: two of three new ones of each zone.
var killed = map[string]bool{
	"sidecar-nordur-a-5": true, "sidecar-nordur-a-6": true,
	"sidecar-nordur-c-4": true, "sidecar-nordur-c-5": true,
	"sidecar-nordur-h-5": true, "sidecar-nordur-h-6": true,
}

// addServers adds serversPerZone machines of a version to each zone.
func (l *lab) addServers(from int, version string, first bool) error {
	for i := range serversPerZone {
		for _, zone := range []string{"nordur-a", "nordur-c", "nordur-h"} {
			if _, err := l.add(fmt.Sprintf("sidecar-%s-%d", zone, from+i), zone, "shop", version, first); err != nil {
				return err
			}
		}
	}
	return nil
}

// exposure kills a third of the processes shortly after the order to bring in a version that
// fails a part of its requests.
func exposure(l *lab, trouble bool) (held bool, err error) {
	l.slots, l.work = 6, 100*time.Millisecond
	l.store.Put("op", "config", []byte(shopConfig))
	if err := l.addServers(1, oldVersion, true); err != nil {
		return false, err
	}
	if err := awaitReady(l.nodes); err != nil {
		return false, err
	}
	old := l.nodes
	for _, n := range old {
		if err := n.writeSettings(false); err != nil {
			return false, err
		}
	}
	c := &clients{host: "shop.example", path: "/shop/x", method: "GET", deadline: 1500 * time.Millisecond}
	var down sync.Map
	var loaded sync.WaitGroup
	loaded.Go(func() {
		c.load(old, requestsASecond, 4*time.Second+orderTime+rollbackTime, func(n *node) bool { _, off := down.Load(n.name); return !off })
	})
	time.Sleep(4 * time.Second)
	ordered := time.Now()
	l.record.printf("order: target %s within %s", newVersion, orderTime)
	l.store.Put("op", "rollout/shop", fmt.Appendf(nil, `{"service":"shop","target":%q,"duration-s":%g}`, newVersion, orderTime.Seconds()))
	if err := l.addServers(1+serversPerZone, newVersion, false); err != nil {
		return false, err
	}
	added := l.nodes[len(old):]
	for i, n := range added {
		f := l.faults(len(old) + i)
		f.Failed = badShare
		n.server.SetFaults(f)
	}
	go l.drainAfterRollback(added)
	r := &restarts{at: make(map[string][]time.Time)}
	time.Sleep(1800 * time.Millisecond)
	if trouble {
		for _, n := range l.nodes {
			if !killed[n.name] {
				continue
			}
			down.Store(n.name, true)
			r.add(n)
			l.record.printf("SIGKILL to %s", n.name)
			if err := n.signal(syscall.SIGKILL); err != nil {
				return false, err
			}
		}
		time.Sleep(restartDelay)
		for _, n := range l.nodes {
			if !killed[n.name] {
				continue
			}
			n.awaitEnd(time.Second)
			l.record.printf("%s started again", n.name)
			r.add(n)
			if err := n.start(); err != nil {
				return false, err
			}
			go func() {
				if awaitReady([]*node{n}) == nil {
					down.Delete(n.name)
				}
			}()
		}
	}
	loaded.Wait()
	c.running.Wait()
	runs := runsOf(l.nodes)
	c.write(l.record, runs)
	return checkExposure(l, c, runs, r, added, ordered), nil
}

// checkExposure checks the first sentence of the rule.
func checkExposure(l *lab, c *clients, runs map[string]run, r *restarts, added []*node, ordered time.Time) bool {
	isNew := make(map[string]bool)
	for _, n := range added {
		isNew[n.name] = true
	}
	reached, exposed, all := 0, 0, 0
	for _, a := range c.attempts {
		x, ok := runs[a.id]
		if !ok || x.at.Before(ordered) {
			continue
		}
		if x.at.Sub(ordered) < orderTime {
			reached++
		}
		if !isNew[x.node] {
			continue
		}
		all++
		if r.inTouch(a.node, a.sent) {
			exposed++
		}
	}
	bound := exposureShare*float64(reached) + exposureSlack
	l.record.printf("EXPOSURE: %d requests reached the service until the deadline; the bad version got %d from machines in touch (%d from all); the bound is %.1f", reached, exposed, all, bound)
	fmt.Printf("reached %d, exposed %d (all %d), bound %.1f, phase %s\n", reached, exposed, all, bound, l.phase())
	return float64(exposed) <= bound
}
