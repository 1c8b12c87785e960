package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exchange sends req and reads the response to its end.
func exchange(ctx context.Context, tr *Transport, req *http.Request) (SendStatus, error) {
	resp, x, err := tr.RoundTrip(ctx, req)
	if err != nil {
		return x.Sent, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return x.Sent, err
}

// TestNoReplay guards against net/http replaying a request by itself after a
// reused connection was closed without a response.
func TestNoReplay(t *testing.T) {
	for _, c := range []struct {
		name, method, body string
		key                bool
	}{
		{"get", http.MethodGet, "", false},
		{"get with key", http.MethodGet, "", true},
		{"post with key", http.MethodPost, "booking", true},
		{"empty post with key", http.MethodPost, "", true},
		{"delete with key", http.MethodDelete, "", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, n := newRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			tr := New(Config{})
			defer tr.CloseIdle()
			send := func() (SendStatus, error) {
				req, err := http.NewRequest(c.method, "http://"+addr+"/", strings.NewReader(c.body))
				require.NoError(t, err)
				if c.key {
					req.Header.Set("Idempotency-Key", "k")
				}
				return exchange(t.Context(), tr, req)
			}
			_, err := send()
			require.NoError(t, err)
			sent, err := send()
			require.Error(t, err)
			require.Equal(t, MayHaveRun, sent)
			require.EqualValues(t, 2, n.Load())
		})
	}
}

// TestNothingSent guards against an unknown outcome for a request that never had
// a connection, and against a false "not run" for one that was written.
func TestNothingSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	l.Close()
	tr := New(Config{})
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", strings.NewReader("x"))
	require.NoError(t, err)
	sent, err := exchange(t.Context(), tr, req)
	require.Error(t, err)
	require.Equal(t, NothingSent, sent)

	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer unresponsive.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	req, err = http.NewRequest(http.MethodGet, unresponsive.URL, nil)
	require.NoError(t, err)
	sent, err = exchange(ctx, tr, req)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, MayHaveRun, sent)
}

// TestSealedWrite guards against a write that reaches the peer after its
// request was reported as not sent.
func TestSealedWrite(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := &conn{Conn: a}
	require.Zero(t, c.abort())
	n, err := c.Write([]byte("late"))
	require.Zero(t, n)
	require.ErrorIs(t, err, errAborted)
}

// TestCancelRace guards against a request that reaches the peer although it was
// reported as not sent, whenever it is canceled while being sent.
func TestCancelRace(t *testing.T) {
	var seen sync.Map
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { seen.Store(r.URL.Path, true) }))
	tr := New(Config{})
	var unsent []string
	for i := range 3000 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%300)*time.Microsecond)
		path := fmt.Sprint("/", i)
		req, err := http.NewRequest(http.MethodPost, s.URL+path, strings.NewReader("x"))
		require.NoError(t, err)
		if sent, err := exchange(ctx, tr, req); err != nil && sent == NothingSent {
			unsent = append(unsent, path)
		}
		cancel()
	}
	tr.CloseIdle()
	s.Close() // waits for requests in flight
	require.NotEmpty(t, unsent)
	for _, path := range unsent {
		_, ran := seen.Load(path)
		require.False(t, ran, "request %s ran but was reported as not sent", path)
	}
}

// TestExchange guards against a log that cannot show on which connection a response
// came, how many requests it has carried, and that bytes came before the request.
func TestExchange(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	client, server := net.Pipe()
	defer server.Close()
	tr := New(Config{Dial: func(context.Context, string, string) (net.Conn, error) { return client, nil }})
	defer tr.CloseIdle()
	go func() {
		for range 2 {
			if _, err := http.ReadRequest(bufio.NewReader(server)); err != nil {
				return
			}
			_, _ = io.WriteString(server, response)
		}
	}()
	roundTrip := func() Exchange {
		req, err := http.NewRequest(http.MethodGet, "http://backend.example/", nil)
		require.NoError(t, err)
		resp, x, err := tr.RoundTrip(t.Context(), req)
		require.NoError(t, err)
		resp.Body.Close()
		require.Less(t, x.Wait, time.Second) // TestWaitForConnection checks its value
		x.Wait = 0
		return x
	}
	first, second := roundTrip(), roundTrip()
	require.NotZero(t, first.Conn)
	require.Equal(t, Exchange{Conn: first.Conn, Requests: 1}, first)
	require.Equal(t, Exchange{Conn: first.Conn, Requests: 2}, second)

	peer, sender := net.Pipe()
	defer sender.Close()
	c := newConn(peer, 1)
	defer c.Close()
	_, early := c.begin()
	go func() { _, _ = io.WriteString(sender, "early") }() // fails if the read below did
	_, err := c.Read(make([]byte, 16))
	require.NoError(t, err)
	require.EqualValues(t, 5, early.Load())
}
