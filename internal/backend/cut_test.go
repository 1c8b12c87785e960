package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// framing is a response of a backend server and the positions at which it may end.
type framing struct {
	method string // the only method that gets the response, "" for all but HEAD
	head   string // with identity in place of the headers that name the request
	body   string
	status int // of the complete response

	untilClose bool // the body ends with the connection
	closes     bool // the connection is closed after the response
	refusal    bool // the head states that the request was not run
	never      bool // the response is not valid
}

const identity = "IDENTITY\r\n"

func framings() map[string]framing {
	const (
		ok       = "HTTP/1.1 200 OK\r\n" + identity
		old      = "HTTP/1.0 200 OK\r\n" + identity
		length   = "Content-Length: 12\r\n\r\n"
		body     = "hello, world"
		rejected = identity + "Lavenderrill-Not-Executed: 1\r\n"
	)
	return map[string]framing{
		"length":                      {head: ok + length, body: body, status: 200},
		"length of 0":                 {head: ok + "Content-Length: 0\r\n\r\n", status: 200},
		"equal lengths":               {head: ok + "Content-Length: 12\r\n" + length, body: body, status: 200},
		"list of lengths":             {head: ok + "Content-Length: 12, 12\r\n\r\n", body: body, never: true},
		"length and close":            {head: ok + "Connection: close\r\n" + length, body: body, status: 200, closes: true},
		"length of a failure":         {head: "HTTP/1.1 500 Failed\r\n" + identity + length, body: body, status: 500},
		"chunked":                     {head: ok + "Transfer-Encoding: chunked\r\n\r\n", body: "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", status: 200},
		"chunked with trailer":        {head: ok + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", body: "C;x=y\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n", status: 200},
		"chunked and length":          {head: ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", body: "C\r\n" + body + "\r\n0\r\n\r\n", status: 200},
		"until close":                 {head: ok + "\r\n", body: body, status: 200, untilClose: true},
		"HTTP/1.0 until close":        {head: old + "\r\n", body: body, status: 200, untilClose: true},
		"HTTP/1.0 length":             {head: old + length, body: body, status: 200, closes: true},
		"HTTP/1.0 kept alive, length": {head: old + "Connection: keep-alive\r\n" + length, body: body, status: 200},
		"HTTP/1.0 kept alive":         {head: old + "Connection: keep-alive\r\n\r\n", body: body, status: 200, untilClose: true},
		"no reason phrase":            {head: "HTTP/1.1 200\r\n" + identity + length, body: body, status: 200},
		"line feeds":                  {head: "HTTP/1.1 200 OK\n" + identity + "Content-Length: 12\n\n", body: body, status: 200},
		"204":                         {head: "HTTP/1.1 204 No Content\r\n" + identity + "\r\n", status: 204},
		"304":                         {head: "HTTP/1.1 304 Not Modified\r\n" + identity + length, status: 304},
		"HEAD, length":                {method: http.MethodHead, head: ok + length, status: 200},
		"HEAD, chunked":               {method: http.MethodHead, head: ok + "Transfer-Encoding: chunked\r\n\r\n", status: 200},
		"HEAD, no length":             {method: http.MethodHead, head: ok + "\r\n", status: 200},
		"after 100":                   {head: "HTTP/1.1 100 Continue\r\n\r\n" + ok + length, body: body, status: 200},
		"after 103":                   {head: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + length, body: body, status: 200},
		"rejection":                   {head: "HTTP/1.1 503 Full\r\n" + rejected + length, body: body, refusal: true},
		"rejection after 100":         {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 Full\r\n" + rejected + length, body: body, refusal: true},
		"another instance":            {head: "HTTP/1.1 421 Misdirected\r\n" + identity + length, body: body, refusal: true},
		"another answer in front": {
			head: "HTTP/1.1 200 OK\r\nLavenderrill-Request-Id: r0\r\nLavenderrill-Response-Signature: s0\r\nContent-Length: 2\r\n\r\nok" + ok + length,
			body: body, never: true,
		},
	}
}

// cut is one response that ends early.
type cut struct {
	framing
	name  string
	at    int  // bytes that are written
	reset bool // the connection is reset, not closed
	split bool // the bytes are written in two parts
	early bool // the response is written before the body of the request is read
}

func (c cut) String() string {
	return fmt.Sprintf("%s, cut at %d of %d and %d, reset %t, split %t, early %t", c.name, c.at, len(c.head), len(c.body), c.reset, c.split, c.early)
}

// text returns the whole response to the request id.
func (c cut) text(id string) string {
	return strings.Replace(c.head, identity, "Lavenderrill-Request-Id: "+id+"\r\nLavenderrill-Response-Signature: s1\r\n", 1) + c.body
}

// inIdentity reports whether c ends in the headers that name the request.
func (c cut) inIdentity() bool {
	first := strings.Index(c.head, identity)
	return c.at > first && c.at < len(c.text(cutID))-len(c.body)-(len(c.head)-first-len(identity))
}

// mayBeWhole reports whether the bytes that are written are a complete response.
func (c cut) mayBeWhole() bool {
	switch n := len(c.text(cutID)); {
	case c.never, c.refusal:
		return false
	case c.untilClose:
		return c.at >= n-len(c.body) && !c.reset
	default:
		return c.at >= n
	}
}

// cutID has the length of all ids of requests, so that positions are those of each
// response.
const cutID = "r000000"

// cutServer is a backend server whose responses end as cuts say. Requests name their cut
// by its index.
type cutServer struct {
	cuts     []cut
	received []atomic.Int64 // requests by index of their cut
	reused   atomic.Int64   // requests on a connection after a cut
	open     atomic.Int64   // connections that the gate left open after a cut
}

func (s *cutServer) serve(conn net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		i, err := strconv.Atoi(req.Header.Get("Cut"))
		if err != nil {
			return
		}
		s.received[i].Add(1)
		c := s.cuts[i]
		if !c.early {
			if req.Header.Get("Expect") != "" {
				_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
		}
		text := c.text(req.Header.Get("Lavenderrill-Request-Id"))
		part := text[:c.at]
		if c.split {
			_, _ = io.WriteString(conn, part[:c.at/2])
			time.Sleep(time.Millisecond)
			part = part[c.at/2:]
		}
		_, _ = io.WriteString(conn, part)
		if c.at == len(text) && !c.reset && !c.early && !c.never && !c.untilClose && !c.closes {
			continue
		}
		if c.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if c.early {
			_, err = io.Copy(io.Discard, r)
		} else if _, err = http.ReadRequest(r); err == nil {
			s.reused.Add(1)
		}
		if errors.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			s.open.Add(1)
		}
		return
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// cutRequests are the forms of requests; their bodies are of both sides of the size
// that a hop reads into memory.
var cutRequests = []struct {
	method, body, rank string
	chunked, expect    bool
}{
	{method: http.MethodGet, rank: "urgent"},
	{method: http.MethodPost, body: "seat", rank: "urgent"},
	{method: http.MethodGet, rank: "bulk"},
	{method: http.MethodPost, body: strings.Repeat("x", 5000), rank: "urgent"},
	{method: http.MethodPost, body: strings.Repeat("x", 5000), rank: "urgent", chunked: true},
	{method: http.MethodPost, body: strings.Repeat("x", 5000), rank: "urgent", expect: true},
}

// TestCutResponse guards against a response of the backend server that ends at any byte of
// its head or body and reaches the caller as complete or as a false "not run", holds its
// slot or its connection, or leaves no reason in the log.
func TestCutResponse(t *testing.T) {
	t.Cleanup(runtime.GC) // other tests measure the heap
	s := &cutServer{}
	for name, f := range framings() {
		for variant := range 6 {
			c := cut{framing: f, name: name, reset: variant%2 != 0, split: variant/2 == 1, early: variant/2 == 2}
			n := len(c.text(cutID))
			for c.at = 0; c.at <= n; c.at++ {
				if c.at == n && !c.untilClose && (c.reset || c.early) {
					continue // the next request would meet the end of the connection
				}
				if name != "length" && c.inIdentity() && c.at%8 != 0 {
					continue // the same in all heads
				}
				s.cuts = append(s.cuts, c)
			}
		}
	}
	s.received = make([]atomic.Int64, len(s.cuts))
	core, logs := observer.New(zap.InfoLevel)
	g := newTestGate(t, newFaultyServer(t, s.serve), func(c *Config) {
		c.Dialect = platformHeaders
		c.Pacer = hop.NewPacer(1 << 30)
		c.Log = zap.New(core)
	})
	tr := hop.New(hop.Config{})
	defer tr.CloseIdle()
	const workers = 12
	var wg sync.WaitGroup
	var refused, broken, whole, unsent, repeated, failures atomic.Int64
	var logged, unexplained, interrupted atomic.Int64
	countLogs := func() {
		for _, e := range logs.TakeAll() {
			reason, count := "", &logged
			switch {
			case e.Message == "response interrupted":
				reason, count = "error", &interrupted
			case strings.HasPrefix(e.Message, "request refused at the gate"):
				reason = "reason"
			default:
				continue
			}
			if e.ContextMap()[reason] == "" {
				unexplained.Add(1)
			}
			count.Add(1)
		}
	}
	next := make(chan int)
	for range workers {
		wg.Go(func() {
			for i := range next {
				got, err := cutUnsent, error(nil)
				for try := 0; got == cutUnsent && err == nil && try < 5; try++ {
					got, err = exchangeCut(t, g, tr, i, s.cuts[i])
					if got == cutUnsent {
						repeated.Add(1)
						g.resetFailures()
					}
				}
				countLogs()
				switch {
				case err != nil:
					if failures.Add(1) <= 20 {
						t.Errorf("%v: %v", s.cuts[i], err)
					}
				case got == cutRefused:
					refused.Add(1)
				case got == cutUnsent:
					unsent.Add(1)
				case got == cutBroken:
					broken.Add(1)
				default:
					whole.Add(1)
				}
			}
		})
	}
	for i := range s.cuts {
		next <- i
	}
	close(next)
	wg.Wait()
	t.Logf("%d responses: %d refused, %d broken off, %d complete, %d wrong; %d sent again", len(s.cuts), refused.Load(), broken.Load(), whole.Load(), failures.Load(), repeated.Load())
	require.Zero(t, unsent.Load(), "requests that found only closed connections")
	for i := range s.received {
		require.EqualValues(t, 1, s.received[i].Load(), "requests received for %v", s.cuts[i])
	}
	require.Zero(t, s.reused.Load(), "requests on a connection after a cut response")
	require.Zero(t, s.open.Load(), "connections left open after a cut response")
	require.Eventually(t, func() bool { return g.Status().InFlight == 0 }, time.Second, time.Millisecond)
	countLogs()
	require.Zero(t, unexplained.Load(), "log lines without a reason")
	require.EqualValues(t, refused.Load()+repeated.Load(), logged.Load())
	require.EqualValues(t, broken.Load(), interrupted.Load())
}

// Outcomes of a cut response.
const (
	cutRefused = iota // the caller got a refusal
	cutBroken         // the caller got an incomplete response, or none
	cutWhole          // the caller got a complete response
	cutUnsent         // the gate states that it sent nothing, which its server confirms
)

// exchangeCut sends the request for cut i and returns its outcome, or an error if the cut
// does not allow it.
func exchangeCut(t *testing.T, g *testGate, tr *hop.Transport, i int, c cut) (int, error) {
	form := cutRequests[(c.at+i)%len(cutRequests)]
	if c.method != "" {
		form.method, form.body, form.chunked, form.expect = c.method, "", false, false
	}
	req, err := http.NewRequest(form.method, g.url+"/reservations", strings.NewReader(form.body))
	if err != nil {
		return 0, err
	}
	if form.chunked {
		req.ContentLength = -1
	}
	if form.expect {
		req.Header.Set("Expect", "100-continue")
	}
	for k, v := range map[string]string{
		mesh.RequestHeader: fmt.Sprintf("r%06d", i), mesh.AttemptHeader: "1", mesh.ServiceHeader: "reservasi",
		mesh.RankHeader: form.rank, mesh.AccountHeader: "semarang", mesh.RouteHeader: "reserve",
		mesh.DeadlineHeader: "20000", mesh.VersionHeader: "1", "Cut": strconv.Itoa(i),
	} {
		req.Header.Set(k, v)
	}
	resp, _, err := tr.RoundTrip(t.Context(), req)
	if err != nil {
		return cutBroken, wholeOr(c, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return cutBroken, wholeOr(c, err)
	}
	kind, run := fault.Kind(resp.Header.Get(fault.KindHeader)), fault.RunState(resp.Header.Get(fault.RunHeader))
	if kind == "" {
		switch {
		case !c.mayBeWhole():
			return 0, fmt.Errorf("complete with status %d and body %q", resp.StatusCode, body)
		case resp.StatusCode != c.status:
			return 0, fmt.Errorf("status %d", resp.StatusCode)
		case !strings.HasPrefix("hello, world", string(body)):
			return 0, fmt.Errorf("body %q", body)
		case !c.untilClose && c.body != "" && string(body) != "hello, world":
			return 0, fmt.Errorf("body %q", body)
		}
		return cutWhole, nil
	}
	if kind == fault.NoEndpoint && run == fault.NotRun && resp.Header.Get(fault.SentHeader) == "" {
		return cutUnsent, nil
	}
	switch headWhole := c.at >= len(c.text(cutID))-len(c.body); {
	case run == fault.NotRun && (!c.refusal || !headWhole):
		return 0, fmt.Errorf("refused as not run: %s", body)
	case run != fault.NotRun && c.refusal && headWhole && !c.reset:
		return 0, fmt.Errorf("a rejection is lost: %s", body)
	case run != fault.NotRun && kind != fault.OutcomeUnknown:
		return 0, fmt.Errorf("refused as %s: %s", kind, body)
	case run != fault.NotRun:
		return cutRefused, wholeOr(c, errors.New(string(body)))
	}
	return cutRefused, nil
}

// wholeOr returns err if c must have been complete: then the failure is wrong.
func wholeOr(c cut, err error) error {
	if c.mayBeWhole() && !c.reset {
		return fmt.Errorf("complete response failed: %w", err)
	}
	return nil
}

// TestChunkedHTTP10Response guards against an HTTP/1.0 response with Transfer-Encoding,
// whose framing is faulty by RFC 9112 section 6.1, that reaches the caller as complete.
func TestChunkedHTTP10Response(t *testing.T) {
	const response = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, cut := range []int{0, 5} {
		g := newTestGate(t, newRawServer(t, response[:len(response)-cut]), nil)
		send(t, g.request(t, http.MethodPost, "seat", time.Second)).requireRefusal(t, fault.OutcomeUnknown, fault.RunUnknown)
	}
}
