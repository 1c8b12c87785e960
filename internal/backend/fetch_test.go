package backend

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// download sends a bulk request and returns the response with its body unread.
func (r *testGate) download(t *testing.T, method string) *http.Response {
	t.Helper()
	req := r.request(t, method, "", 5*time.Second)
	req.Header.Set(mesh.RankHeader, "bulk")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	return resp
}

// TestFetch guards against a slot that is held during a slow download although the
// backend server is done, against a drain that ends before such a download, and
// against a body truncated by the backend server that looks complete.
func TestFetch(t *testing.T) {
	const size = 7 << 20 // below maxBufferedBytes; a connection that nobody reads holds 4 MiB and more
	truncated := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		n := size
		if truncated {
			n /= 2
		}
		_, _ = w.Write(make([]byte, n))
	}))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(1 << 30) })

	resp := r.download(t, http.MethodGet)
	defer func() { resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Eventually(t, func() bool { return r.Status().InFlight == 0 }, 2*time.Second, time.Millisecond)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, r.Drain(ctx), context.DeadlineExceeded, "the response is still being sent")
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, b, size)
	end, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	require.NoError(t, r.Drain(end))
	require.Zero(t, r.bufferedBytes.Load())

	r = newTestGate(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(1 << 30) })
	head := r.download(t, http.MethodHead)
	defer head.Body.Close()
	require.Equal(t, http.StatusOK, head.StatusCode)
	truncated = true
	partial := r.download(t, http.MethodGet)
	defer partial.Body.Close()
	require.Equal(t, string(fault.OutcomeUnknown), partial.Header.Get(fault.KindHeader))
	require.Zero(t, r.bufferedBytes.Load())
}

// TestHugeContentLength guards against bulk responses of a huge length that together
// overflow the count of buffered bytes, so that a buffer of that length is allocated.
func TestHugeContentLength(t *testing.T) {
	g := newTestGate(t, "", func(c *Config) { c.Pacer = hop.NewPacer(1 << 30) })
	var pending sync.WaitGroup
	for range 64 {
		pending.Go(func() {
			for range 2000 {
				resp := &http.Response{ContentLength: math.MaxInt64, Body: io.NopCloser(strings.NewReader(""))}
				n, err := g.bufferBody(resp)
				require.NoError(t, err)
				require.Zero(t, n)
			}
		})
	}
	pending.Wait()
	require.Zero(t, g.bufferedBytes.Load())
}
