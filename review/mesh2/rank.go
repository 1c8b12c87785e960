package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	shortWork = 220 * time.Millisecond
	longWork  = 2600 * time.Millisecond
	// rankHistory is the time for which only short requests run.
	rankHistory = 12 * time.Second
	// ownLongAt is when, after the SIGTERM, a client of the stopping node sends a long request,
	// and longFrom to longTo when clients of the other node do.
	ownLongAt = 2200 * time.Millisecond
	longFrom  = 3100 * time.Millisecond
	longTo    = 3700 * time.Millisecond
	longEvery = 100 * time.Millisecond
)

const rankConfig = `{"version":"00000007","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"lopu12.example","rules":[
{"name":"r-short","route-type":"safe","target-latency-ms":5000,"priority":2,"match":{"prefix":"/ti70/"},"action":{"service":"flokkun","timeout-ms":8000,"attempts":2}},
{"name":"r-long","route-type":"unsafe","target-latency-ms":5000,"priority":2,"match":{"prefix":"/ku31/"},"action":{"service":"flokkun","timeout-ms":8000,"attempts":2}}]}],
"clusters":[{"name":"flokkun","health-path":"/healthz","max-connections":120},{"name":"lotbok","health-path":"/healthz","max-connections":120}]}`

const (
	shortPath = "/ti70/"
	longPath  = "/ku31/"
)

// stopAdmitsLong stops the node beside an endpoint that has run short requests only, while
// long ones of the same rank arrive.
func stopAdmitsLong(t *trial) (bool, error) {
	front, err := t.add("nordur-a", endpointConfig{id: "i-lotbok-1", service: "lotbok", slots: 18, queue: 72, work: shortWork})
	if err != nil {
		return false, err
	}
	back, err := t.add("nordur-a", endpointConfig{id: "i-flokkun-1", service: "flokkun", slots: 18, queue: 72, work: shortWork, workOf: func(path string) time.Duration {
		if strings.HasPrefix(path, longPath) {
			return longWork
		}
		return shortWork
	}})
	if err != nil {
		return false, err
	}
	t.store.Put("op", "config", []byte(rankConfig))
	if err := awaitReady(t.machines, 20*time.Second, func() bool {
		return send(front.outbound(), "GET", baleHost, shortPath, 5*time.Second).status == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stability-window-ms, so that the machines are in touch
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		long  []*request
		start = time.Now()
	)
	request := func(to *machine, path string) {
		method := "GET"
		if path == longPath {
			method = "POST"
		}
		wg.Go(func() {
			q := send(to.outbound(), method, baleHost, path, baleDeadline)
			mu.Lock()
			defer mu.Unlock()
			t.logf("request %s to %s%s sent %.3f ended %.3f status %d signed %t %s", q.id, to.name, path, q.sent.Sub(start).Seconds(), q.ended.Sub(start).Seconds(), q.status, q.signed, q.how)
			if path == longPath {
				long = append(long, q)
			}
		})
	}
	var term time.Time
	ownSent, nextLong := false, longFrom
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for now := range tick.C {
		since := now.Sub(start) - rankHistory
		if since >= longTo {
			break
		}
		if since >= 0 && term.IsZero() {
			term = time.Now()
			if t.trouble {
				t.logf("SIGTERM to the node beside %s at %.3f", back.endpoint.id, term.Sub(start).Seconds())
				if err := back.signal(syscall.SIGTERM); err != nil {
					return false, err
				}
			}
		}
		request(front, shortPath)
		if !ownSent && since >= ownLongAt {
			ownSent = true
			request(back, longPath)
		}
		if since >= nextLong {
			nextLong += longEvery
			request(front, longPath)
		}
	}
	wg.Wait()
	byID := make(map[string]run)
	for _, x := range back.endpoint.allRuns() {
		byID[x.id] = x
	}
	brokenOff := 0
	for _, q := range long {
		x, ran := byID[q.id]
		// Own answers, or none, in place of that of an endpoint that was at work.
		if ran && x.dropped && !q.signed && q.sent.Sub(term) > 3*time.Second && q.ended.Sub(q.sent) < baleTimeout-lossSlack {
			brokenOff++
			t.logf("request %s, sent %.3f s after the SIGTERM, was at work from %.3f to %.3f: broken off, status %d", q.id, q.sent.Sub(term).Seconds(), x.began.Sub(start).Seconds(), x.ended.Sub(start).Seconds(), q.status)
		}
	}
	t.logf("long requests: %d; broken off at work: %d", len(long), brokenOff)
	fmt.Printf("long requests: %d; broken off at work: %d\n", len(long), brokenOff)
	return brokenOff == 0, nil
}
