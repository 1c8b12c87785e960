package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	graceTime     = 6 * time.Second
	downloads     = 12
	downloadBytes = 1_100_000
	// narrowLink is the lowest rate of a link on the sheet of the deployment, in Mbit/s.
	narrowLink = 21
)

const downloadConfig = `{"version":"00000007",
"limits":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"listeners":[{"host":"mill.example","rules":[
{"name":"r-1","route-type":"safe","target-latency-ms":1000,"priority":0,"match":{"prefix":"/lot/"},"action":{"service":"lotbok","timeout-ms":6000,"attempts":2}},
{"name":"r-2","route-type":"download","target-latency-ms":1000,"priority":1,"match":{"prefix":"/cert/"},"action":{"service":"flokkun","timeout-ms":6000,"attempts":2}}]}],
"clusters":[{"name":"lotbok","health-path":"/healthz","max-connections":530,"protocol":"h1","tls":false},
{"name":"flokkun","health-path":"/healthz","max-connections":530,"protocol":"h1","tls":false}]}`

// stopDuringDownloads stops the process that passes some downloads on from the backend server
// of another machine, right after it has read the requests.
func stopDuringDownloads(l *lab, trouble bool) (held bool, err error) {
	l.slots, l.work = 16, 200*time.Millisecond
	l.store.Put("op", "config", []byte(downloadConfig))
	for _, m := range []struct {
		name, service string
		link          float64
	}{{"sidecar-nordur-a-1", "lotbok", 140}, {"sidecar-nordur-b-1", "flokkun", narrowLink}, {"sidecar-nordur-c-1", "lotbok", 140}} {
		l.link = m.link
		if _, err := l.add(m.name, m.name[8:16], m.service, "v1", true); err != nil {
			return false, err
		}
	}
	if err := awaitReady(l.nodes); err != nil {
		return false, err
	}
	for _, n := range l.nodes {
		if err := n.writeSettings(false); err != nil {
			return false, err
		}
	}
	front, server := l.nodes[0], l.nodes[1]
	server.server.PadBytes = downloadBytes
	c := &clients{host: "mill.example", path: "/cert/x", method: "GET", deadline: 6 * time.Second}
	time.Sleep(4 * time.Second) // longer than stability-window-ms
	for range 3 {               // one after the other, so that the nodes know the times of the route
		c.send(front)
	}
	for range downloads {
		c.running.Go(func() { c.send(front) })
	}
	time.Sleep(60 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		l.record.printf("SIGTERM to %s", front.name)
		if err := front.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		if front.awaitEnd(graceTime) {
			l.record.printf("%s ended %.3f s after the signal", front.name, time.Since(stopped).Seconds())
		} else {
			l.record.printf("%s has not ended after grace-s", front.name)
		}
	}
	c.running.Wait()
	runs := runsOf(l.nodes)
	c.write(l.record, runs)
	return checkDownloads(l, c, server, stopped), nil
}

// checkDownloads counts the requests that ended without a whole answer, although their
// deadline had not passed and their backend server had done its work before the last sixth
// of the grace time.
func checkDownloads(l *lab, c *clients, server *node, stopped time.Time) bool {
	done := make(map[string]time.Time)
	for _, e := range server.server.Events() {
		if e.Kind == "ended" {
			done[e.Request] = e.Time
		}
	}
	lost, late := 0, 0
	for _, a := range c.attempts {
		if a.status != 0 {
			continue
		}
		at, ok := done[a.id]
		if !ok || at.Sub(stopped) >= graceTime*5/6 {
			continue
		}
		if a.ended.Sub(a.sent) > c.deadline-20*time.Millisecond {
			late++
			continue
		}
		lost++
	}
	l.record.printf("LOST: %d of %d requests that had run were broken off before their deadline, %d at their deadline", lost, len(c.attempts), late)
	fmt.Printf("lost %d, at the deadline %d, of %d\n", lost, late, len(c.attempts))
	return lost == 0
}
