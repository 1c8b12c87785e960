package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, begin: time.Now()}, err
}

// printf writes one line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.f, "%8.3f  %s\n", t.Sub(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// attempt is one request of a client.
type attempt struct {
	id     string
	node   string
	sent   time.Time
	ended  time.Time
	status int // 0 if there was no whole answer
	note   string
}

// clients sends requests and keeps what became of them.
type clients struct {
	host, path, key string
	method          string
	deadline        time.Duration

	mu       sync.Mutex
	attempts []attempt
	running  sync.WaitGroup
}

var lastID atomic.Uint64

// newID returns a request id that is used once.
func newID() string { return fmt.Sprintf("%08x%08x", uint32(os.Getpid()), lastID.Add(1)) }

var transport = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
}

// send sends one request to n and returns when it is answered or its deadline has passed.
func (c *clients) send(n *node) attempt {
	a := attempt{id: newID(), node: n.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	a.status, a.note = c.exchange(ctx, n, a.id)
	a.ended = time.Now()
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	return a
}

func (c *clients) exchange(ctx context.Context, n *node, id string) (int, string) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+n.addrOf(0)+c.path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = c.host
	req.Header.Set("Lavenderrill-Request-Id", id)
	req.Header.Set("Lavenderrill-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		req.Header.Set("Authorization", "Token "+c.key)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, "answer broke off"
	}
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// load sends perSecond requests each second to the nodes in turn, until stop is closed or d
// has passed. Nodes for which use is false get none.
func (c *clients) load(nodes []*node, perSecond int, d time.Duration, use func(*node) bool) {
	begin := time.Now()
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		if at.Sub(begin) >= d {
			return
		}
		time.Sleep(time.Until(at))
		n := nodes[i%len(nodes)]
		if use(n) {
			c.running.Go(func() { c.send(n) })
		}
	}
}

// write writes the attempts and the runs into the record.
func (c *clients) write(r *record, runs map[string]run) {
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortFunc(c.attempts, func(a, b attempt) int { return a.sent.Compare(b.sent) })
	for _, a := range c.attempts {
		line := fmt.Sprintf("request %s to %s, answered %d %q after %d ms", a.id, a.node, a.status, a.note, a.ended.Sub(a.sent).Milliseconds())
		if at, ok := runs[a.id]; ok {
			line += fmt.Sprintf(", run at %.3f by %s", at.at.Sub(r.begin).Seconds(), at.node)
		}
		r.at(a.sent, "%s", line)
	}
}

// run is the first run of a request.
type run struct {
	at   time.Time
	node string
}

// runsOf returns the runs at the backend servers of nodes by request.
func runsOf(nodes []*node) map[string]run {
	out := make(map[string]run)
	for _, n := range nodes {
		for _, e := range n.server.Events() {
			if e.Kind == "began" {
				out[e.Request] = run{e.Time, n.name}
			}
		}
	}
	return out
}
