package hop

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/raw"
)

// TestRequestAfterForeignResponse guards against a request that is written to a connection
// whose last response turns out to belong to another request.
func TestRequestAfterForeignResponse(t *testing.T) {
	var received atomic.Int64
	s, err := raw.New(func(c net.Conn, r *bufio.Reader) {
		for ; ; received.Add(1) {
			if _, err := raw.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
	})
	require.NoError(t, err)
	tr := New(Config{MaxConnsPerHost: 1})
	defer tr.CloseIdle()
	errForeign := errors.New("foreign")
	type result struct {
		x   Exchange
		err error
	}
	next := make(chan result, 1)
	send := func(ctx context.Context, check func(*http.Response, Exchange) error) result {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Addr()+"/", strings.NewReader("x"))
		require.NoError(t, err)
		resp, x, err := tr.RoundTripChecked(ctx, req, check)
		if err == nil {
			resp.Body.Close()
		}
		return result{x, err}
	}
	own := func(*http.Response, Exchange) error { return nil }
	first := send(t.Context(), func(*http.Response, Exchange) error {
		// The transport has put the connection back into its pool by now.
		go func() { next <- send(t.Context(), own) }()
		time.Sleep(50 * time.Millisecond)
		return errForeign
	})
	require.ErrorIs(t, first.err, errForeign)
	require.Equal(t, MayHaveRun, first.x.Sent)
	require.NoError(t, s.Close()) // a new connection is refused
	second := <-next
	require.Error(t, second.err)
	require.Equal(t, NothingSent, second.x.Sent)
	require.EqualValues(t, 1, received.Load())
}
