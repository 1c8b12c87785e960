package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an endpoint began to work on.
type run struct {
	id       string
	endpoint string
	deadline time.Duration // value of Lavenderrill-Deadline-Ms
	arrived  time.Time
	began    time.Time
	ended    time.Time // zero while it runs
	dropped  bool      // its connection closed before it had ended
}

// endpointConfig describes an endpoint.
type endpointConfig struct {
	id, service, address, zone string
	slots, queue               int
	work                       time.Duration
	workOf                     func(path string) time.Duration // nil for work
	control                    string                          // address for heartbeats
}

// endpoint is a backend server. It serves one request at a time on a connection, has slots
// and a short queue, stops at the deadline that it is given, and drops a request when its
// connection closes.
type endpoint struct {
	endpointConfig
	born     int64
	sequence atomic.Int64
	listener net.Listener
	slot     chan struct{}
	waiting  atomic.Int64

	mu       sync.Mutex
	runs     []*run
	draining bool
	shed     float64 // share of requests that are rejected although there is room
	gone     bool
	conns    map[net.Conn]bool
}

func newEndpoint(c endpointConfig) (*endpoint, error) {
	l, err := net.Listen("tcp", c.address)
	if err != nil {
		return nil, err
	}
	e := &endpoint{endpointConfig: c, born: time.Now().UnixMilli(), listener: l, slot: make(chan struct{}, c.slots), conns: make(map[net.Conn]bool)}
	go e.accept()
	return e, nil
}

func (e *endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return // the listener is closed at the end
		}
		go e.serve(c)
	}
}

// serve serves the requests of one connection.
func (e *endpoint) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == "/healthz" {
			status := "200 OK"
			if e.phase() != "ready" {
				status = "503 Service Unavailable"
			}
			_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nLavenderrill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, e.id)
		} else {
			err = e.answer(c, r, req)
		}
		if err != nil {
			return
		}
	}
}

// answer runs req and writes the response. It returns an error if the connection is closed.
func (e *endpoint) answer(c net.Conn, r *bufio.Reader, req *http.Request) error {
	id := req.Header.Get("Lavenderrill-Request-Id")
	ms, err := strconv.Atoi(req.Header.Get("Lavenderrill-Deadline-Ms"))
	if err != nil {
		ms = 60_000
	}
	x := &run{id: id, endpoint: e.id, deadline: time.Duration(ms) * time.Millisecond, arrived: time.Now()}
	if want := req.Header.Get("Lavenderrill-Expect-Instance"); want != "" && want != e.id {
		return reply(c, id, "421 Misdirected Request", "Lavenderrill-Instance-Id: "+e.id, "")
	}
	if e.sheds() {
		return reply(c, id, "503 Service Unavailable", "Lavenderrill-Not-Executed: 1", "")
	}
	closed := watchClose(c, r)
	defer closed.stop()
	ctx, cancel := context.WithTimeout(context.Background(), x.deadline)
	defer cancel()
	if e.waiting.Add(1) > int64(e.slots+e.queue) {
		e.waiting.Add(-1)
		return reply(c, id, "503 Service Unavailable", "Lavenderrill-Not-Executed: 1", "")
	}
	defer e.waiting.Add(-1)
	select {
	case e.slot <- struct{}{}:
	case <-closed.done:
		return net.ErrClosed
	case <-ctx.Done():
		return reply(c, id, "503 Service Unavailable", "Lavenderrill-Not-Executed: 1", "")
	}
	defer func() { <-e.slot }()
	e.begin(x)
	d := e.work
	if e.workOf != nil {
		d = e.workOf(req.URL.Path)
	}
	work := time.NewTimer(d)
	defer work.Stop()
	select {
	case <-work.C:
		e.end(x, false)
		return reply(c, id, "200 OK", "Lavenderrill-Response-Signature: "+e.id+"."+id, e.service+" "+id+"\n")
	case <-ctx.Done():
		e.end(x, false)
		return reply(c, id, "504 Gateway Timeout", "Lavenderrill-Response-Signature: "+e.id+"."+id, "")
	case <-closed.done:
		e.end(x, true)
		return net.ErrClosed
	}
}

func (e *endpoint) begin(x *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.began = time.Now()
	e.runs = append(e.runs, x)
}

func (e *endpoint) end(x *run, dropped bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.ended, x.dropped = time.Now(), dropped
}

// allRuns returns copies of the runs so far.
func (e *endpoint) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]run, len(e.runs))
	for i, x := range e.runs {
		out[i] = *x
	}
	return out
}

// reply writes a response with one header line beside the id.
func reply(w io.Writer, id, status, line, body string) error {
	_, err := fmt.Fprintf(w, "HTTP/1.1 %s\r\nLavenderrill-Request-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, id, line, len(body), body)
	return err
}

// closeWatch reports that the peer has closed a connection.
type closeWatch struct {
	done    chan struct{}
	stopped chan struct{}
	conn    net.Conn
}

// watchClose reads from c until it closes or stop is called. The peer sends nothing before
// the response.
func watchClose(c net.Conn, r *bufio.Reader) *closeWatch {
	w := &closeWatch{done: make(chan struct{}), stopped: make(chan struct{}), conn: c}
	go func() {
		defer close(w.stopped)
		if _, err := r.Peek(1); err != nil {
			if e := net.Error(nil); !errors.As(err, &e) || !e.Timeout() {
				close(w.done)
			}
		}
	}()
	return w
}

func (w *closeWatch) stop() {
	_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed
	<-w.stopped
	_ = w.conn.SetReadDeadline(time.Time{})
}

// heartbeats sends a heartbeat in each interval until ctx ends.
func (e *endpoint) heartbeats(ctx context.Context, interval time.Duration) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if e.isGone() {
			return
		}
		_ = e.heartbeat(ctx, e.phase()) // the node may be down
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *endpoint) setShed(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.shed = share
}

// sheds reports whether the next request is rejected.
func (e *endpoint) sheds() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return rand.Float64() < e.shed
}

func (e *endpoint) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

func (e *endpoint) phase() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return "draining"
	}
	return "ready"
}

// exit sends the leave message and ends e at once.
func (e *endpoint) exit(ctx context.Context) error {
	err := e.call(ctx, http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, e.born))
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	for c := range e.conns {
		c.Close()
	}
	return err
}

// leave makes e report that it is draining, and returns the time of the acknowledgement.
func (e *endpoint) leave(ctx context.Context) (time.Time, error) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	err := e.heartbeat(ctx, "draining")
	return time.Now(), err
}

func (e *endpoint) heartbeat(ctx context.Context, phase string) error {
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "capacity": e.slots,
		"phase": phase, "warmup-left-ms": 0, "sequence": e.sequence.Add(1), "born": e.born,
	})
	if err != nil {
		return err
	}
	return e.call(ctx, http.MethodPut, b)
}

// call sends a message about e to its node.
func (e *endpoint) call(ctx context.Context, method string, b []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.control+"/v1/instances/"+e.id, bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", method, resp.StatusCode)
	}
	return nil
}
