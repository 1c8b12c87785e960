package hop

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/raw"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// newProxy returns the URL of a server that forwards every request to addr.
func newProxy(t testing.TB, addr string) string {
	t.Helper()
	tr := New(Config{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e := ValidateRequest(r, 1<<20); e != nil {
			fault.Write(w, e, "")
			return
		}
		body := LimitBody(w, r, 1<<20)
		r = r.WithContext(r.Context())
		r.Body = body
		resp, _, err := tr.RoundTrip(r.Context(), OutgoingRequest(r, mesh.Addr(addr)))
		if err != nil {
			fault.Write(w, fault.New(fault.OutcomeUnknown, err.Error()), "")
			return
		}
		if err := CopyResponse(w, resp); err != nil {
			Abort(r)
		}
	}))
	t.Cleanup(s.Close)
	t.Cleanup(tr.CloseIdle)
	return s.URL
}

// newRawServer returns the address of a server that writes answer to the first
// request of each connection and closes the connection after a second request or
// at its end. It also returns the number of requests received.
func newRawServer(t testing.TB, answer string) (addr string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	s, err := raw.New(func(c net.Conn, r *bufio.Reader) {
		for i := range 2 {
			req, err := raw.ReadRequest(r)
			if err != nil {
				return
			}
			requests.Add(1)
			if i == 0 {
				_, _ = io.WriteString(c, answer)
			}
			if req.Header.Get("Cut") != "" {
				return
			}
		}
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	return s.Addr(), requests
}

func get(t testing.TB, url string) (status int, body []byte, err error) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// TestTruncatedBody guards against a truncated body that reaches the caller as
// complete, whatever its framing.
func TestTruncatedBody(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n",
		"short":   "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
		"none":    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := newRawServer(t, answer)
			req, err := http.NewRequest(http.MethodGet, newProxy(t, addr), nil)
			require.NoError(t, err)
			req.Header.Set("Cut", "1")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			require.Error(t, err)
		})
	}
}

// TestTrailers guards against trailers that are lost on the hop, in either
// direction, declared or not.
func TestTrailers(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		got = r.Trailer
		w.Header().Set("Trailer", "Sum")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("Sum", "1")
		w.Header().Set(http.TrailerPrefix+"Late", "2")
	}))
	defer s.Close()
	req, err := http.NewRequest(http.MethodPost, newProxy(t, s.Listener.Addr().String()), struct{ io.Reader }{strings.NewReader("in")})
	require.NoError(t, err)
	req.Trailer = http.Header{"Md": {"3"}}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "body", string(b))
	require.Equal(t, http.Header{"Sum": {"1"}, "Late": {"2"}}, resp.Trailer)
	require.Equal(t, http.Header{"Md": {"3"}}, got)
}

// TestHopHeaders guards against forwarding hop-by-hop fields, including those
// that Connection names.
func TestHopHeaders(t *testing.T) {
	in := httptest.NewRequest(http.MethodGet, "/a%2Fb?q", nil)
	for _, k := range append([]string{"X-Private", "X-Kept"}, hopByHopHeaders...) {
		in.Header.Set(k, "v")
	}
	in.Header["Connection"] = []string{"close, x-private", "keep-alive"}
	in.Header.Set("TE", "deflate, trailers")
	out := OutgoingRequest(in, "127.0.0.1:1")
	require.Equal(t, http.Header{"X-Kept": {"v"}, "Te": {"trailers"}, "User-Agent": nil}, out.Header)
	require.Equal(t, "http://127.0.0.1:1/a%2Fb?q", out.URL.String())
	require.Equal(t, in.Host, out.Host)
	require.Len(t, in.Header["Connection"], 2, "the incoming header was changed")
}

// TestCheck guards against accepting requests that cannot be forwarded over a
// hop.
func TestCheck(t *testing.T) {
	req := httptest.NewRequest(http.MethodGet, "/", nil)
	require.Nil(t, ValidateRequest(req, 0))
	req.Header.Set("Upgrade", "websocket")
	require.Equal(t, fault.BadRequest, ValidateRequest(req, 0).Kind)
	require.Equal(t, fault.MethodNotAllowed, ValidateRequest(httptest.NewRequest(http.MethodConnect, "/", nil), 0).Kind)
	big := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("12345"))
	require.Equal(t, fault.BodyTooLarge, ValidateRequest(big, 4).Kind)
	require.Nil(t, ValidateRequest(big, 5))
}

// TestFlush guards against buffering a stream of unknown length.
func TestFlush(t *testing.T) {
	next := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-next:
				_, _ = io.WriteString(w, "tick")
			case <-r.Context().Done():
				return
			}
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, newProxy(t, s.Listener.Addr().String()), nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req) // needs the header before any part of the body
	require.NoError(t, err)
	defer resp.Body.Close()
	for range 3 {
		next <- struct{}{}
		var b [4]byte
		_, err := io.ReadFull(resp.Body, b[:])
		require.NoError(t, err)
	}
}

// TestConnectionLimit guards against more connections to a backend server than
// it accepts.
func TestConnectionLimit(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) }))
	defer s.Close()
	var open atomic.Int64
	var dialer net.Dialer
	tr := New(Config{MaxConnsPerHost: 2, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		open.Add(1)
		return dialer.DialContext(ctx, network, addr)
	}})
	errs := make(chan error, 10)
	first := make(chan struct{}, 1)
	first <- struct{}{}
	for range 10 {
		go func() {
			req, err := http.NewRequest(http.MethodGet, s.URL, nil)
			if err == nil {
				_, err = exchange(t.Context(), tr, req)
			}
			errs <- err
		}()
	}
	for range 10 {
		require.NoError(t, <-errs)
	}
	require.LessOrEqual(t, open.Load(), int64(2))
}

func BenchmarkCopyBody(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			data := make([]byte, size)
			w := discard{}
			src := bytes.NewReader(data)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				src.Reset(data)
				if _, err := CopyBody(w, src, false); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

type discard struct{}

func (discard) Header() http.Header         { return nil }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// BenchmarkHop compares a request over one hop with a direct one.
func BenchmarkHop(b *testing.B) {
	data := make([]byte, 1<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	defer s.Close()
	for name, url := range map[string]string{"direct": s.URL, "proxied": newProxy(b, s.Listener.Addr().String())} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := get(b, url); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
