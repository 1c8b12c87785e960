package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFinishAnswersWhatItRead guards against a planned stop that reads a
// request and closes its connection without a response, because the server is
// closed while a handler has just started.
func TestFinishAnswersWhatItRead(t *testing.T) {
	g := newGate(t, "n1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for round := range 20 {
		b := newTestCaller(t, g)
		var read, answered atomic.Int64
		handler := b.Server().Handler
		b.Server().Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			read.Add(1)
			time.Sleep(2 * time.Millisecond) // simulates a scheduling delay
			handler.ServeHTTP(w, r)
		})
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for range 16 {
			clients.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					answered.Add(sendOnce(b.url))
				}
			})
		}
		time.Sleep(time.Duration(20+round) * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		require.NoError(t, b.StopServing(ctx, time.Second))
		cancel()
		close(stop)
		clients.Wait()
		require.Equal(t, read.Load(), answered.Load(), "requests read and answers in round %d", round)
	}
}

// sendOnce sends one request on a new connection and returns the number of
// responses.
func sendOnce(url string) int64 {
	c, err := net.Dial("tcp", url[len("http://"):])
	if err != nil {
		return 0
	}
	defer c.Close()
	if _, err := fmt.Fprint(c, "GET /read HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return 1
}
