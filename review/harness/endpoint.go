package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	healthPath        = "/healthz"
	heartbeatInterval = 1500 * time.Millisecond
	capacity          = 18 // requests that an endpoint runs at the same time
	ackTimeout        = time.Second
)

// Run is one run of a request at an endpoint, or its arrival there.
type Run struct {
	ID       string // of the request
	Endpoint string
	Caller   string
	At       time.Time
}

// Endpoint is a stand-in for an application endpoint.
type Endpoint struct {
	ID   string
	Born time.Time

	// Work is how long a request runs.
	Work time.Duration
	// Full reports whether the endpoint is full now and rejects the request. Nil means never.
	Full func() bool
	// CopyLate reports whether a second copy of the answer is sent late, where the next
	// answer on the connection is expected. Nil means never.
	CopyLate func(rejected bool) bool
	// Answer returns the bytes of the answer to a request that has run, and whether the
	// connection is kept. Nil means a whole answer with a length.
	Answer func(r *http.Request, id string) (head, body []byte, keep bool)

	node     *Node
	rec      *Record
	listener net.Listener
	slots    chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	sequence int64
	leaving  bool
	arrivals []Run
	runs     []Run
	stopped  chan struct{}
}

// AddEndpoint starts an endpoint beside n. Its heartbeats begin with Beat.
func (d *Deployment) AddEndpoint(n *Node, id string, work time.Duration) (*Endpoint, error) {
	l, err := net.Listen("tcp", n.addr(endpointPort))
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		ID: id, Born: time.Now(), Work: work, node: n, rec: d.Record, listener: l,
		slots: make(chan struct{}, capacity), conns: make(map[net.Conn]struct{}), stopped: make(chan struct{}),
	}
	d.endpoints = append(d.endpoints, e)
	go e.accept()
	d.Record.Printf("endpoint %s: started beside %s", id, n.Name)
	return e, nil
}

// Stop ends the endpoint and closes its connections.
func (e *Endpoint) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stopped:
		return
	default:
	}
	close(e.stopped)
	e.listener.Close()
	for c := range e.conns {
		c.Close()
	}
	e.rec.Printf("endpoint %s: ended", e.ID)
}

// Runs returns the runs so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Arrivals returns the requests whose head has arrived so far.
func (e *Endpoint) Arrivals() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.arrivals...)
}

// SetLeaving makes health checks fail, as those of an endpoint that is leaving.
func (e *Endpoint) SetLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.rec.Printf("endpoint %s: is going to leave", e.ID)
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return // Stop closed the listener
		}
		e.mu.Lock()
		e.conns[c] = struct{}{}
		e.mu.Unlock()
		go e.serve(c)
	}
}

// serve serves one request at a time on c.
func (e *Endpoint) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	var late []byte // copy of an earlier answer that is still to be sent
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		e.arrived(req)
		if req.Header.Get("Expect") == "100-continue" {
			if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
				return
			}
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.URL.Path == healthPath {
			if _, err := c.Write(e.health()); err != nil {
				return
			}
			continue
		}
		id := requestID(req)
		if late != nil {
			e.rec.Printf("endpoint %s: sends an answer a second time, before that to %s: %.12s", e.ID, id, late)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, rejected, keep := e.handle(req, id)
		if _, err := c.Write(answer); err != nil {
			e.rec.Printf("endpoint %s: cannot send the answer to %s: %v", e.ID, id, err)
			return
		}
		if !keep {
			return
		}
		if e.CopyLate != nil && e.CopyLate(rejected) {
			late = answer
		}
	}
}

func requestID(req *http.Request) string { return req.Header.Get("Lavenderrill-Request-Id") }

// arrived records that the head of a request has been read.
func (e *Endpoint) arrived(req *http.Request) {
	if req.URL.Path == healthPath {
		return
	}
	e.rec.Printf("endpoint %s: %s arrives, expects %s, from %s", e.ID, requestID(req),
		req.Header.Get("Lavenderrill-Expect-Instance"), req.Header.Get("Lavenderrill-Caller-Service"))
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, Run{ID: requestID(req), Endpoint: e.ID, At: time.Now()})
}

func (e *Endpoint) health() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := "200 OK"
	if e.leaving {
		status = "503 Service Unavailable"
	}
	e.rec.Printf("endpoint %s: health check answered %s", e.ID, status)
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nLavenderrill-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, e.ID)
}

// handle rejects or runs a request and returns the answer.
func (e *Endpoint) handle(req *http.Request, id string) (answer []byte, rejected, keep bool) {
	if want := req.Header.Get("Lavenderrill-Expect-Instance"); want != "" && want != e.ID {
		e.rec.Printf("endpoint %s: %s is answered 421, not run", e.ID, id)
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nLavenderrill-Request-Id: %s\r\nLavenderrill-Instance-Id: %s\r\n"+
			"Lavenderrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, e.ID), true, true
	}
	if e.Full != nil && e.Full() {
		e.rec.Printf("endpoint %s: %s is answered 503, not run", e.ID, id)
		return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\nLavenderrill-Request-Id: %s\r\n"+
			"Lavenderrill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id), true, true
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.runs = append(e.runs, Run{ID: id, Endpoint: e.ID, Caller: req.Header.Get("Lavenderrill-Caller-Service"), At: time.Now()})
	e.mu.Unlock()
	e.rec.Printf("endpoint %s: %s runs", e.ID, id)
	time.Sleep(e.Work)
	e.rec.Printf("endpoint %s: %s has run", e.ID, id)
	if e.Answer != nil {
		head, body, keep := e.Answer(req, id)
		return append(head, body...), false, keep
	}
	body := "answer to " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nLavenderrill-Request-Id: %s\r\nLavenderrill-Response-Signature: %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, e.Signature(id), len(body), body), false, true
}

// Signature returns the signature of the answer to a request.
func (e *Endpoint) Signature(id string) string { return e.ID + "." + id }

// Heartbeat is a report of an endpoint that may be sent later than it was made.
type Heartbeat struct {
	id   string
	body []byte
}

// NewHeartbeat makes the next heartbeat.
func (e *Endpoint) NewHeartbeat(phase string) (Heartbeat, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b, err := json.Marshal(map[string]any{
		"service": e.node.Service, "address": e.node.addr(endpointPort), "zone": e.node.Zone, "version": "v1",
		"capacity": capacity, "phase": phase, "warmup-left-ms": 0, "sequence": e.sequence, "born": e.Born.UnixMilli(),
	})
	e.rec.Printf("endpoint %s: makes heartbeat %d, %s", e.ID, e.sequence, phase)
	return Heartbeat{id: e.ID, body: b}, err
}

// Deliver sends h to the node and reports whether it was acknowledged.
func (e *Endpoint) Deliver(ctx context.Context, h Heartbeat) bool {
	return e.call(ctx, http.MethodPut, h.id, h.body)
}

// Leave reports to the node that the endpoint leaves, and reports whether that was
// acknowledged.
func (e *Endpoint) Leave(ctx context.Context) bool {
	return e.call(ctx, http.MethodDelete, e.ID, fmt.Appendf(nil, `{"born":%d}`, e.Born.UnixMilli()))
}

func (e *Endpoint) call(ctx context.Context, method, id string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.node.addr(controlPort)+"/v1/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		e.rec.Printf("endpoint %s: %s has no answer: %v", e.ID, method, err)
		return false
	}
	defer resp.Body.Close()
	e.rec.Printf("endpoint %s: %s %s answered %d", e.ID, method, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

// Beat sends heartbeats until ctx is done.
func (e *Endpoint) Beat(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		h, err := e.NewHeartbeat("ready")
		if err != nil {
			return
		}
		e.Deliver(ctx, h)
		select {
		case <-ctx.Done():
			return
		case <-e.stopped:
			return
		case <-t.C:
		}
	}
}
