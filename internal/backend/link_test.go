package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	slowLink  = 100e3 // bytes per second
	bodyBytes = 100_000
)

// linkClient returns a client on another VM than the gates under test.
func linkClient(t *testing.T) *http.Client {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	tr := &http.Transport{DialContext: d.DialContext}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// notifyEnd sends the notice of a node that stops after the given time. Its request is
// that with the given call.
func (r *testGate) notifyEnd(t *testing.T, call string, after time.Duration) {
	t.Helper()
	req := r.request(t, http.MethodPost, call, time.Second)
	req.Header.Set(mesh.WantHeader, mesh.WantEnd)
	req.Header.Set(mesh.EndHeader, strconv.FormatInt(after.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, resp.StatusCode)
}

// TestEndNoticeOfBodies guards against bodies that are held back at the rate of the link
// until the node that sends or receives them has ended. Its notice comes before the
// response, while the response is sent, or while the request is read.
func TestEndNoticeOfBodies(t *testing.T) {
	byFinish := *testSnapshot
	byFinish.Placement = config.PlaceByFinish
	for _, c := range []struct {
		name    string
		upload  bool
		running bool // the notice comes while the backend server works
	}{
		{name: "running", running: true},
		{name: "response"},
		{name: "upload", upload: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			began, work := make(chan struct{}), make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(began)
				if c.upload {
					_, _ = io.Copy(io.Discard, r.Body) // the client sees an error
					return
				}
				<-work
				w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
				_, _ = w.Write(make([]byte, bodyBytes)) // the client sees an error
			}))
			defer s.Close()
			g := newTestGate(t, s.Listener.Addr().String(), func(conf *Config) {
				conf.Pacer, conf.RequestPacer = hop.NewPacer(slowLink), hop.NewPacer(slowLink)
				conf.Snapshot = func() *config.Snapshot { return &byFinish }
			})
			req := g.request(t, http.MethodGet, "", 5*time.Second)
			if c.upload {
				req = g.request(t, http.MethodPost, strings.Repeat("x", bodyBytes), 5*time.Second)
			}
			req.Header.Set(mesh.RankHeader, "bulk")
			req.Header.Set(mesh.CallHeader, "stopping")
			took := make(chan time.Duration, 1)
			notified := make(chan time.Time, 1)
			go func() {
				resp, err := linkClient(t).Do(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil {
					t.Error(err)
				}
				took <- time.Since(<-notified)
			}()
			<-began
			if !c.running {
				close(work)
				time.Sleep(100 * time.Millisecond)
			}
			g.notifyEnd(t, "stopping", 500*time.Millisecond)
			notified <- time.Now()
			if c.running {
				close(work)
			}
			require.Less(t, <-took, 500*time.Millisecond)
			require.Zero(t, g.conf.Pacer.Status().Bodies+g.conf.RequestPacer.Status().Bodies)
		})
	}
}

// TestDepartureWithBufferedResponse guards against a response that is cut off because its
// backend server leaves while the gate still sends it.
func TestDepartureWithBufferedResponse(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(bodyBytes))
		_, _ = w.Write(make([]byte, bodyBytes)) // the client sees an error
	}))
	defer s.Close()
	g := newTestGate(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(4 * slowLink) })
	req := g.request(t, http.MethodGet, "", 5*time.Second)
	req.Header.Set(mesh.RankHeader, "bulk")
	resp, err := linkClient(t).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Eventually(t, func() bool { return g.Status().InFlight == 0 }, time.Second, time.Millisecond)
	require.Equal(t, 1, g.conf.Pacer.Status().Bodies)
	g.Withdraw()
	s.CloseClientConnections()
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, bodyBytes, n)
}

// TestLinkOfCanceledRequest guards against a body of a client that has left which keeps its
// part of the link.
func TestLinkOfCanceledRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.Copy(w, bytes.NewReader(make([]byte, bodyBytes))) // the client leaves
	}))
	defer s.Close()
	g := newTestGate(t, s.Listener.Addr().String(), func(c *Config) { c.Pacer = hop.NewPacer(1000) })
	req := g.request(t, http.MethodGet, "", 5*time.Second)
	req.Header.Set(mesh.RankHeader, "bulk")
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := linkClient(t).Do(req.WithContext(ctx))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Eventually(t, func() bool { return g.conf.Pacer.Status().Bodies == 1 }, time.Second, time.Millisecond)
	cancel()
	require.Eventually(t, func() bool { return g.conf.Pacer.Status().Bodies == 0 }, time.Second, time.Millisecond)
}
