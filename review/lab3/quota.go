package main

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The bounds of the rule QUOTA in the site files with tenants.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	quotaParams  = `, "quota-window-s=5", "quota-overage=0.1", "quota-slack=20"`
	quotaPolicy  = `, "tenants", "quota"`
)

// tenantConfig is a configuration with one limited tenant.
func tenantConfig(rate, burst int) []byte {
	return fmt.Appendf(nil, `{"version":"00000007",
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"tenant-0","api-keys":["key-of-tenant-0"],"priority":1,"rate-per-s":%d,"burst":%d}],
"listeners":[{"host":"shop.example","rules":[{"name":"r-1","route-type":"safe","target-latency-ms":500,"priority":0,"public":false,
"match":{"prefix":"/shop/"},"action":{"service":"shop","timeout-ms":1500,"attempts":2}}]}],
"clusters":[{"name":"shop","health-path":"/healthz","max-connections":550,"protocol":"h1","tls":false}]}`, rate, burst)
}

// startQuotaMesh starts machines in two zones, and returns once all serve.
func startQuotaMesh(l *lab, machines, rate, burst int) (*clients, error) {
	l.store.Put("op", "config", tenantConfig(rate, burst))
	for i := range machines {
		zone := string(rune('a' + i%2))
		if _, err := l.add(fmt.Sprintf("sidecar-%s-%d", zone, i/2+1), "z-"+zone, "shop", "v1", true); err != nil {
			return nil, err
		}
	}
	if err := awaitReady(l.nodes); err != nil {
		return nil, err
	}
	for _, n := range l.nodes { // the platform sets this only at the first start
		if err := n.writeSettings(false); err != nil {
			return nil, err
		}
	}
	return &clients{host: "shop.example", path: "/shop/x", key: "key-of-tenant-0", method: "GET", deadline: 1500 * time.Millisecond}, nil
}

// checkQuota returns the most requests of a window that were sent and ran in it, and the
// bound.
func checkQuota(c *clients, runs map[string]run, rate, burst int) (most int, bound float64, from time.Time) {
	bound = (float64(rate)*quotaWindow.Seconds()+float64(burst))*(1+quotaOverage) + quotaSlack
	type span struct{ sent, ran time.Time }
	var all []span
	for _, a := range c.attempts {
		if r, ok := runs[a.id]; ok {
			all = append(all, span{a.sent, r.at})
		}
	}
	slices.SortFunc(all, func(a, b span) int { return a.sent.Compare(b.sent) })
	for i, first := range all {
		n := 0
		for _, s := range all[i:] {
			if s.ran.Sub(first.sent) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, bound, from
}

func finishQuota(l *lab, c *clients, rate, burst int) bool {
	c.running.Wait()
	runs := runsOf(l.nodes)
	c.write(l.record, runs)
	most, bound, from := checkQuota(c, runs, rate, burst)
	l.record.printf("QUOTA: at most %d requests were sent and ran within %s, from %.3f; the bound is (%d x 5 + %d) x 1.1 + 20 = %.1f", most, quotaWindow, from.Sub(l.record.begin).Seconds(), rate, burst, bound)
	fmt.Printf("most %d, bound %.1f\n", most, bound)
	return float64(most) <= bound
}

// quotaKill kills all processes while a tenant uses its burst.
func quotaKill(l *lab, trouble bool) (held bool, err error) {
	const rate, burst = 20, 300
	c, err := startQuotaMesh(l, 8, rate, burst)
	if err != nil {
		return false, err
	}
	time.Sleep(14 * time.Second) // without requests, so that the burst is saved up
	var down sync.Map
	use := func(n *node) bool { _, off := down.Load(n.name); return !off }
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(l.nodes, 400, 6*time.Second, use)
	}()
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		l.record.printf("SIGKILL to all processes")
		for _, n := range l.nodes {
			down.Store(n.name, true)
			if err := n.signal(syscall.SIGKILL); err != nil {
				return false, err
			}
		}
		time.Sleep(restartDelay)
		for _, n := range l.nodes {
			n.awaitEnd(time.Second)
			if err := n.start(); err != nil {
				return false, err
			}
		}
		l.record.printf("all processes started again")
		for _, n := range l.nodes {
			go func() {
				if awaitReady([]*node{n}) == nil {
					l.record.printf("%s is ready", n.name)
					down.Delete(n.name)
				}
			}()
		}
	}
	<-done
	return finishQuota(l, c, rate, burst), nil
}

// quotaFreeze stops the process that keeps the account of a tenant for some seconds, as a
// machine that is suspended.
func quotaFreeze(l *lab, trouble bool) (held bool, err error) {
	const (
		rate, burst = 90, 400
		frozen      = 8 * time.Second
	)
	c, err := startQuotaMesh(l, 12, rate, burst)
	if err != nil {
		return false, err
	}
	owner := l.nodes[11] // of the account of tenant-0; it follows from the names
	var others []*node
	for _, n := range l.nodes {
		if n != owner {
			others = append(others, n)
		}
	}
	for range 2 {
		time.Sleep(14 * time.Second) // without requests, so that the burst is saved up
		if err := freezeDuringBurst(l, c, owner, others, frozen, trouble); err != nil {
			return false, err
		}
	}
	return finishQuota(l, c, rate, burst), nil
}

// freezeDuringBurst stops the process of owner. From one second before it goes on, the tenant
// sends more than its limit to the others.
func freezeDuringBurst(l *lab, c *clients, owner *node, others []*node, frozen time.Duration, trouble bool) error {
	signal := func(s syscall.Signal, name string) error {
		if !trouble {
			return nil
		}
		l.record.printf("%s to %s", name, owner.name)
		return owner.signal(s)
	}
	if err := signal(syscall.SIGSTOP, "SIGSTOP"); err != nil {
		return err
	}
	time.Sleep(frozen - time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.load(others, 600, 7*time.Second, func(*node) bool { return true })
	}()
	time.Sleep(time.Second)
	err := signal(syscall.SIGCONT, "SIGCONT")
	<-done
	return err
}
