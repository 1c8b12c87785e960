package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCancelAmongStrayAnswers guards against a request that reaches the peer although it
// was reported as not sent, and against one that reaches it twice, when requests are
// canceled while the peer repeats earlier answers and closes connections.
func TestCancelAmongStrayAnswers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	seen := make(map[string]int) // by the path of the request
	var conns sync.WaitGroup
	serve := func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		last := ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return // the connection was closed, or the request canceled while it was written
			}
			mu.Lock()
			seen[req.URL.Path]++
			mu.Unlock()
			if rand.IntN(4) == 0 {
				_, _ = io.WriteString(c, last)
			}
			_, _ = io.Copy(io.Discard, req.Body)
			last = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Path: %s\r\nContent-Length: 0\r\n\r\n", req.URL.Path)
			_, _ = io.WriteString(c, last)
			switch rand.IntN(8) {
			case 0:
				_, _ = io.WriteString(c, last)
			case 1:
				time.Sleep(100 * time.Microsecond)
				_, _ = io.WriteString(c, last)
			case 2:
				return
			}
		}
	}
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Go(func() { serve(c) })
		}
	}()
	tr := New(Config{MaxConnsPerHost: 8})
	type result struct {
		path string
		sent SendStatus
	}
	results := make(chan result)
	const callers, requests = 8, 600
	for n := range callers {
		go func() {
			for i := range requests {
				path := fmt.Sprintf("/%d/%d", n, i)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(600))*time.Microsecond)
				var body io.Reader
				switch i % 3 {
				case 0:
					body = strings.NewReader("x")
				case 1:
					body = io.LimitReader(endless{}, 40_000) // chunked
				}
				req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+path, body)
				if err == nil {
					if sent, err := exchange(ctx, tr, req); err != nil {
						results <- result{path, sent}
					}
				}
				cancel()
			}
			results <- result{}
		}()
	}
	unsent := make(map[string]bool)
	for ended := 0; ended < callers; {
		r := <-results
		if r.path == "" {
			ended++
		} else if r.sent == NothingSent {
			unsent[r.path] = true
		}
	}
	tr.CloseIdle()
	require.NoError(t, l.Close())
	<-accepted
	conns.Wait()
	require.NotEmpty(t, unsent)
	require.NotEmpty(t, seen)
	for path, n := range seen {
		require.Equal(t, 1, n, path)
		require.False(t, unsent[path], "request %s arrived but was reported as not sent", path)
	}
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// TestStatusLineInHeader guards against an ordinary header value that counts as a second
// status line.
func TestStatusLineInHeader(t *testing.T) {
	for _, s := range []string{"", "HTTP/1.1", "1.1 proxy", "HTTP/1.1 proxy", "SimpleHTTP/0.6 Python/3.12", "HTTP/1.1 2000", "HTTP/1.1  200", "HTTP/1.1 20", "HTTP/2 200"} {
		require.False(t, hasStatusLine(s), s)
	}
	for _, s := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 503", "text/plHTTP/1.1 200 OK", "a\rHTTP/1.1 200 OK", "HTTP/1.1 HTTP/1.1 200 OK", "421 HTTP/1.1 200 "} {
		require.True(t, hasStatusLine(s), s)
	}
}
