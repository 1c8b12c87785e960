package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// download sends a bulk request whose body is not read yet.
func (r *rig) download(t *testing.T, method string) *http.Response {
	t.Helper()
	req := r.request(t, method, "", 5*time.Second)
	req.Header.Set(mesh.RankHeader, "bulk")
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(t, err)
	return resp
}

// TestFetch guards against a slot that is held while a download goes over a slow link
// although its backend server is done, against a stop that cuts such a download, and
// against one that was cut short by the backend server and looks whole.
func TestFetch(t *testing.T) {
	const size = 4 << 20 // more than the buffers of a connection
	cut := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		n := size
		if cut {
			n /= 2
		}
		_, _ = w.Write(make([]byte, n))
	}))
	defer s.Close()
	r := newRig(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(1 << 30) })

	resp := r.download(t, http.MethodGet)
	defer func() { resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Eventually(t, func() bool { return r.Status().InFlight == 0 }, 2*time.Second, time.Millisecond)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, r.Drain(ctx), context.DeadlineExceeded, "the response is still passed on")
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, b, size)
	end, stop := context.WithTimeout(t.Context(), 2*time.Second)
	defer stop()
	require.NoError(t, r.Drain(end))
	require.Zero(t, r.fetched.Load())

	r = newRig(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(1 << 30) })
	head := r.download(t, http.MethodHead)
	defer head.Body.Close()
	require.Equal(t, http.StatusOK, head.StatusCode)
	cut = true
	short := r.download(t, http.MethodGet)
	defer short.Body.Close()
	require.Equal(t, string(fault.OutcomeUnknown), short.Header.Get(fault.KindHeader))
	require.Zero(t, r.fetched.Load())
}
