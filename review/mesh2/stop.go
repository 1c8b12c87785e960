package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The figures of the sheet of feather mill hosting: the class bale-hist at its usual rate of
// all clients, and one endpoint of its service.
const (
	baleRateTimes10 = 281 // requests in ten seconds
	baleDeadline    = 15 * time.Second
	baleTimeout     = 8 * time.Second
	baleWork        = 880 * time.Millisecond
	lossSlack       = 200 * time.Millisecond
)

const baleConfig = `{"version":"00000007","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"lopu12.example","rules":[
{"name":"r-bale","route-type":"safe","target-latency-ms":5000,"priority":2,"match":{"prefix":"/ti70/"},"action":{"service":"flokkun","timeout-ms":8000,"attempts":2}}]}],
"clusters":[{"name":"flokkun","health-path":"/healthz","max-connections":120},{"name":"lotbok","health-path":"/healthz","max-connections":120}]}`

const (
	baleHost = "lopu12.example"
	balePath = "/ti70/"
	// stopAfter is the time of steady load before the SIGTERM.
	stopAfter = 20 * time.Second
	// leaveTime is the time after a SIGTERM in which clients still use the node: two checks
	// of its readiness, one second apart, miss.
	leaveTime = 2 * time.Second
)

// stopUnderLoad stops the node that takes requests in while more of them wait than it may
// send to the other node at a time.
func stopUnderLoad(t *trial) (bool, error) {
	front, err := t.add("nordur-a", endpointConfig{id: "i-lotbok-1", service: "lotbok", slots: 18, queue: 72, work: 220 * time.Millisecond})
	if err != nil {
		return false, err
	}
	back, err := t.add("nordur-a", endpointConfig{id: "i-flokkun-1", service: "flokkun", slots: 18, queue: 72, work: baleWork})
	if err != nil {
		return false, err
	}
	t.store.Put("op", "config", []byte(baleConfig))
	if err := awaitReady(t.machines, 20*time.Second, func() bool {
		return send(front.outbound(), "GET", baleHost, balePath, 5*time.Second).status == 200
	}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // stability-window-ms, so that the machines are in touch
	var (
		mu   sync.Mutex
		all  []*request
		wg   sync.WaitGroup
		term time.Time
	)
	start := time.Now()
	tick := time.NewTicker(time.Second * 10 / baleRateTimes10)
	defer tick.Stop()
	for now := range tick.C {
		if now.Sub(start) > stopAfter+leaveTime {
			break
		}
		if t.trouble && term.IsZero() && now.Sub(start) > stopAfter {
			term = time.Now()
			if err := front.signal(syscall.SIGTERM); err != nil {
				return false, err
			}
		}
		wg.Go(func() {
			q := send(front.outbound(), "GET", baleHost, balePath, baleDeadline)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, q)
		})
	}
	wg.Wait()
	return t.judgeStop(start, term, all, back.endpoint.allRuns()), nil
}

// judgeStop reports whether the rule LOST held for a SIGTERM at the time term, zero if there
// was none.
func (t *trial) judgeStop(start, term time.Time, all []*request, runs []run) bool {
	byID := make(map[string]run, len(runs))
	for _, x := range runs {
		byID[x.id] = x
	}
	at := func(u time.Time) string {
		if u.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", u.Sub(start).Seconds())
	}
	if !term.IsZero() {
		t.logf("SIGTERM to the node that takes the requests at %s", at(term))
	}
	counts := make(map[string]int)
	lost, lostUnsent := 0, 0
	for _, q := range all {
		x, ran := byID[q.id]
		verdict := "answered"
		switch {
		case q.whole:
			counts[fmt.Sprintf("status %d", q.status)]++
		case q.sent.IsZero():
			verdict = q.how
			counts[q.how]++
		case q.ended.Sub(q.sent) >= baleTimeout-lossSlack:
			verdict = "excused: timeout of the route"
			counts[verdict]++
		case q.ended.Sub(q.sent) <= lossSlack && !ran:
			verdict = "excused: closed within loss-slack-ms, not passed on"
			counts[verdict]++
		case ran && !term.IsZero() && (x.ended.IsZero() || x.ended.Sub(term) >= graceTime*5/6) && q.sent.Sub(term) <= 3*time.Second:
			verdict = "excused: at work in the last sixth of the grace time"
			counts[verdict]++
		default:
			verdict = "LOST"
			counts[verdict]++
			lost++
			if !ran {
				lostUnsent++
			}
		}
		t.logf("request %s sent %s ended %s status %d %s; run %s to %s at %q: %s", q.id, at(q.sent), at(q.ended), q.status, q.how, at(x.began), at(x.ended), x.endpoint, verdict)
	}
	t.logf("outcomes: %v; LOST without having reached an endpoint: %d", counts, lostUnsent)
	fmt.Printf("%v; LOST without having reached an endpoint: %d\n", counts, lostUnsent)
	return lost == 0
}
