package caller

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

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/standin/raw"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// newRawGate returns the member of a gate whose connections are handled by serve.
func newRawGate(t testing.TB, id string, serve func(c net.Conn, r *bufio.Reader)) member.Member {
	t.Helper()
	s, err := raw.New(serve)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return member.Member{
		ID: mesh.NodeID(id), Zone: "a", Addr: mesh.Addr(s.Addr()),
		Service: "s", Slots: 20, Endpoint: member.Ready, Incarnation: 1,
	}
}

// gateCut is a response of a gate that ends early.
type gateCut struct {
	name, head, body string // with idMark in place of the id
	method           string
	refusal          bool // the head states that the request was not run
	at               int
	reset            bool
	proto            string // of the caller
}

const idMark = "c000000"

func (c gateCut) String() string {
	return fmt.Sprintf("%s, cut at %d of %d and %d, reset %t, %s caller", c.name, c.at, len(c.head), len(c.body), c.reset, c.proto)
}

// gateCuts returns the cuts of all forms of responses of a gate.
func gateCuts() []gateCut {
	const (
		ok      = "HTTP/1.1 200 OK\r\nLavenderrill-Load: 0.1\r\nLavenderrill-Request: " + idMark + "\r\n"
		refused = "HTTP/1.1 503 Service Unavailable\r\nLavenderrill-Kind: overloaded\r\nLavenderrill-Request: " + idMark + "\r\nLavenderrill-Run: not-run\r\n"
		unknown = "HTTP/1.1 502 Bad Gateway\r\nLavenderrill-Kind: outcome_unknown\r\nLavenderrill-Request: " + idMark + "\r\nLavenderrill-Run: unknown\r\n"
		length  = "Content-Length: 12\r\n\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
		body    = "hello, world"
	)
	var cs []gateCut
	for _, c := range []gateCut{
		{name: "length", head: ok + length, body: body},
		{name: "length of 0", head: ok + "Content-Length: 0\r\n\r\n"},
		{name: "chunked", head: ok + chunked, body: "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n"},
		{name: "chunked with trailer", head: ok + "Trailer: X-Sum\r\n" + chunked, body: "C\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n"},
		{name: "with a tag", head: ok + "Etag: \"v1\"\r\n" + length, body: body},
		{name: "HEAD", method: http.MethodHead, head: ok + length},
		{name: "204", head: strings.Replace(ok, "200 OK", "204 No Content", 1) + "\r\n"},
		{name: "refusal", head: refused + length, body: body, refusal: true},
		{name: "unknown outcome", head: unknown + length, body: body},
	} {
		for _, c.proto = range []string{"HTTP/1.1", "HTTP/1.0", "h2c"} {
			for _, c.reset = range []bool{false, true} {
				n := len(c.head) + len(c.body)
				for c.at = 0; c.at <= n; c.at++ {
					if c.at < n || !c.reset {
						cs = append(cs, c)
					}
				}
			}
		}
	}
	return cs
}

// send sends the request for cut i as its caller and returns the response, whose body is
// read by the caller.
func (c gateCut) send(ctx context.Context, url string, i int, h1, h2 *http.Transport) (*http.Response, func(), error) {
	form := []struct{ method, path string }{{"GET", "/read"}, {"POST", "/book"}, {"GET", "/guide"}}[i%3]
	if c.method != "" {
		form.method, form.path = c.method, "/read"
	}
	var in io.Reader
	if form.method == http.MethodPost {
		in = strings.NewReader("seat")
	}
	req, err := http.NewRequestWithContext(ctx, form.method, url+form.path, in)
	if err != nil {
		return nil, nil, err
	}
	req.Host = "h.example"
	req.Header.Set(mesh.RequestHeader, fmt.Sprintf("c%06d", i))
	switch c.proto {
	case "HTTP/1.0":
		conn, err := net.Dial("tcp", req.URL.Host)
		if err != nil {
			return nil, nil, err
		}
		var text strings.Builder
		if err := req.Write(&text); err != nil {
			return nil, nil, err
		}
		_, err = io.WriteString(conn, strings.Replace(text.String(), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1))
		if err != nil {
			return nil, nil, err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), req)
		return resp, func() { conn.Close() }, err
	case "h2c":
		resp, err := h2.RoundTrip(req)
		return resp, func() {}, err
	default:
		resp, err := h1.RoundTrip(req)
		return resp, func() {}, err
	}
}

// TestCutGateResponse guards against a response of another node that ends at any byte of
// its head or body and reaches a caller as complete or as a false "not run", or that holds
// its endpoint.
func TestCutGateResponse(t *testing.T) {
	t.Cleanup(runtime.GC) // other tests measure the heap
	cuts := gateCuts()
	received := make([]atomic.Int64, len(cuts))
	m := newRawGate(t, "e1", func(conn net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(mesh.RequestHeader)
			i, err := strconv.Atoi(strings.TrimPrefix(id, "c"))
			if err != nil {
				return
			}
			received[i].Add(1)
			c := cuts[i]
			text := strings.Replace(c.head+c.body, idMark, id, 1)
			_, _ = io.WriteString(conn, text[:c.at])
			if c.at == len(text) {
				continue
			}
			if c.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	})
	b := newTestCaller(t)
	b.SetMembers([]member.Member{m})
	h1 := &http.Transport{DisableKeepAlives: true} // does not repeat requests then
	h2 := &http.Transport{Protocols: new(http.Protocols)}
	h2.Protocols.SetUnencryptedHTTP2(true)
	defer h2.CloseIdleConnections()
	var outcomes [4]atomic.Int64
	var failures, unsent atomic.Int64
	next := make(chan int)
	var wg sync.WaitGroup
	for range 12 {
		wg.Go(func() {
			for i := range next {
				for range 5 {
					o, err := exchangeGateCut(t.Context(), b, cuts[i], i, h1, h2)
					if err != nil && failures.Add(1) <= 20 {
						t.Errorf("%v: %v", cuts[i], err)
					}
					outcomes[o].Add(1)
					if o != gateCutUnsent {
						break
					}
				}
				// A download is resumed at any endpoint, here the same one.
				if n := received[i].Load(); n != 1 && (n != 2 || cuts[i].name != "with a tag") {
					unsent.Add(1)
				}
			}
		})
	}
	for i := range cuts {
		next <- i
	}
	close(next)
	wg.Wait()
	t.Logf("%d responses: %d refused, %d broken off, %d complete, %d sent again, %d wrong", len(cuts),
		outcomes[gateCutRefused].Load(), outcomes[gateCutBroken].Load(), outcomes[gateCutWhole].Load(), outcomes[gateCutUnsent].Load(), failures.Load())
	require.Zero(t, unsent.Load(), "requests that were not received once")
	b.requireIdle()
	require.Equal(t, "{}", b.reg.CounterGroup("invariant_broken").String())
}

// Outcomes of a cut response of a gate.
const (
	gateCutRefused = iota
	gateCutBroken
	gateCutWhole
	gateCutUnsent
)

func exchangeGateCut(ctx context.Context, b *testCaller, c gateCut, i int, h1, h2 *http.Transport) (int, error) {
	whole := c.at == len(c.head)+len(c.body)
	failed := func(err error) error {
		if whole {
			return fmt.Errorf("complete response failed: %w", err)
		}
		return nil
	}
	resp, end, err := c.send(ctx, b.url, i, h1, h2)
	if err != nil {
		return gateCutBroken, failed(err)
	}
	defer end()
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return gateCutBroken, failed(err)
	}
	kind, run := fault.Kind(resp.Header.Get(fault.KindHeader)), fault.RunState(resp.Header.Get(fault.RunHeader))
	switch headWhole := c.at >= len(c.head); {
	case kind == "" && (!whole || c.refusal || c.name == "unknown outcome"):
		return 0, fmt.Errorf("complete with status %d and body %q", resp.StatusCode, body)
	case kind == "" && c.body != "" && string(body) != "hello, world":
		return 0, fmt.Errorf("body %q", body)
	case kind == "":
		return gateCutWhole, nil
	case kind == fault.NoEndpoint && run == fault.NotRun:
		return gateCutUnsent, nil
	case run == fault.NotRun && (!c.refusal || !headWhole):
		return 0, fmt.Errorf("refused as not run: %s", body)
	case run != fault.NotRun && kind != fault.OutcomeUnknown:
		return 0, fmt.Errorf("refused as %s: %s", kind, body)
	case run != fault.NotRun && !c.refusal && c.name != "unknown outcome":
		return gateCutRefused, failed(errors.New(string(body)))
	}
	return gateCutRefused, nil
}

// TestCutGateResponseElsewhere guards against a safe request that fails, and an unsafe one
// that runs twice, although only its first gate ends the head of its response early.
func TestCutGateResponseElsewhere(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nLavenderrill-Request: " + idMark + "\r\nContent-Length: 0\r\n\r\n"
	for at := range head {
		var first, second atomic.Int64
		m := newRawGate(t, "e1", func(conn net.Conn, r *bufio.Reader) {
			if req, err := http.ReadRequest(r); err == nil {
				first.Add(1)
				_, _ = io.WriteString(conn, strings.Replace(head, idMark, req.Header.Get(mesh.RequestHeader), 1)[:at])
			}
		})
		other := newGate(t, "e2", func(w http.ResponseWriter, _ *http.Request) {
			second.Add(1)
			_, _ = io.WriteString(w, "whole")
		})
		b := newTestCaller(t)
		o := other.member()
		o.Zone = "b"
		b.SetMembers([]member.Member{m, o})
		a := b.do(http.MethodPost, "/book", "seat", mesh.RequestHeader, idMark)
		require.Equal(t, fault.OutcomeUnknown, a.kind(), "cut at %d", at)
		require.Equal(t, fault.RunUnknown, a.run())
		require.EqualValues(t, 1, first.Load())
		require.Zero(t, second.Load())
		a = b.do(http.MethodGet, "/read", "", mesh.RequestHeader, idMark)
		require.Equal(t, "whole", a.body, "cut at %d", at)
		require.EqualValues(t, 1, second.Load())
	}
}

// TestEndlessGateBytes guards against bytes of another node without end that hold an
// endpoint, memory or a connection beyond the deadline of the request, or look like a
// complete response.
func TestEndlessGateBytes(t *testing.T) {
	const (
		slack   = 2 * time.Second
		maxHeap = 64 << 20
		ok      = "HTTP/1.1 200 OK\r\nLavenderrill-Request: " + idMark + "\r\n"
	)
	block := strings.Repeat("a", 4<<10)
	for name, c := range map[string]struct {
		head, repeat string
		complete     bool
	}{
		"no protocol":         {"", block, false},
		"status line":         {"HTTP/1.1 200 ", block, false},
		"header line":         {ok + "X: ", block, false},
		"header lines":        {ok, "X: " + block + "\r\n", false},
		"empty header lines":  {ok, "X: \r\n", false},
		"informational":       {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		"chunk size":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "0", false},
		"chunk extension":     {ok + "Transfer-Encoding: chunked\r\n\r\n1;", block, false},
		"chunked body":        {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + block + "\r\n", false},
		"trailer":             {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", block, false},
		"trailers":            {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", false},
		"body without length": {ok + "\r\n", block, false},
		"body of huge length": {ok + "Content-Length: 9000000000000000000\r\n\r\n", block, false},
		"refusal":             {strings.Replace(ok, "200 OK", "503 Full", 1) + "Lavenderrill-Kind: overloaded\r\nLavenderrill-Run: not-run\r\n\r\n", block, false},
		"after the response":  {ok + "Content-Length: 2\r\n\r\nok", block, true},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{}, 16)
			b := newTestCaller(t)
			b.SetMembers([]member.Member{newRawGate(t, "e1", func(conn net.Conn, r *bufio.Reader) {
				defer func() { closed <- struct{}{} }()
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, err = io.WriteString(conn, strings.Replace(c.head, idMark, req.Header.Get(mesh.RequestHeader), 1))
				for err == nil {
					_, err = io.WriteString(conn, c.repeat)
				}
			})})
			start := time.Now()
			req, err := http.NewRequest(http.MethodPost, b.url+"/short", strings.NewReader("seat"))
			require.NoError(t, err)
			req.Host = "h.example"
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			require.Less(t, mem.HeapInuse, uint64(maxHeap))
			require.Less(t, time.Since(start), slack)
			switch {
			case c.complete:
				require.Equal(t, http.StatusOK, resp.StatusCode)
				require.NoError(t, err)
			case resp.StatusCode == http.StatusOK:
				require.Error(t, err, "a body without end is not complete")
			case name == "refusal":
				require.Equal(t, string(fault.NotRun), resp.Header.Get(fault.RunHeader))
			default:
				require.Equal(t, string(fault.RunUnknown), resp.Header.Get(fault.RunHeader))
			}
			select {
			case <-closed:
			case <-time.After(slack):
				t.Fatal("the connection to the gate is still open")
			}
			b.requireIdle()
		})
	}
}
