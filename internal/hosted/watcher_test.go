package hosted

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/settings"
	"lavenderrill.dev/lavenderrill/internal/standin/endless"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

// TestHeld guards against a truncated configuration being sent to other nodes.
func TestHeld(t *testing.T) {
	raw := bytes.Repeat([]byte("configuration "), 5000)
	b, err := newEncodedConfig(&platform.Config{Snapshot: &config.Snapshot{Version: 3}, Raw: raw}).compressed()
	require.NoError(t, err)
	z, err := gzip.NewReader(bytes.NewReader(b))
	require.NoError(t, err)
	got, err := io.ReadAll(z)
	require.NoError(t, err)
	require.Equal(t, raw, got)
}

// TestUpstreams guards against a node that follows a watcher of another availability
// zone, itself, or a watcher that does not respond, while it has a better one.
func TestUpstreams(t *testing.T) {
	now := time.Now()
	watchers := []member.Member{{ID: "self", Zone: "a"}, {ID: "b", Zone: "b"}, {ID: "a", Zone: "a"}, {ID: "c", Zone: "c"}}
	u := watcherSelector{self: "self", zone: "a"}
	expectChoice := func(want mesh.NodeID) {
		t.Helper()
		m, ok := u.choose(watchers, now)
		require.Equal(t, want != "", ok)
		require.Equal(t, want, m.ID)
	}
	expectChoice("a")
	u.startCooldown("a", now)
	expectChoice("b")
	u.startCooldown("b", now)
	expectChoice("c")
	u.startCooldown("c", now)
	expectChoice("")
	now = now.Add(watcherCooldown)
	expectChoice("a")
}

// TestStrayWatcherAnswer guards against a node that asks a watcher again and again without
// a pause, since it takes an answer to an earlier request, or one of another server at the
// address, for the answer to its request.
func TestStrayWatcherAnswer(t *testing.T) {
	const held, wait = 7, 100 * time.Millisecond
	encoded := func(version string) string {
		b, err := newEncodedConfig(&platform.Config{
			Snapshot: &config.Snapshot{}, Raw: []byte(`{"version":"` + version + `","listeners":[],"clusters":[]}`),
		}).compressed()
		require.NoError(t, err)
		return string(b)
	}
	for name, c := range map[string]struct {
		status  int
		body    string
		after   time.Duration // until the answer
		version mesh.Version  // that is received
		invalid bool
	}{
		"newer":            {status: http.StatusOK, body: encoded("00000008"), version: 8},
		"held":             {status: http.StatusOK, body: encoded("00000007"), invalid: true},
		"older":            {status: http.StatusOK, body: encoded("00000006"), invalid: true},
		"cut":              {status: http.StatusOK, body: encoded("00000008")[:30], invalid: true},
		"more bytes":       {status: http.StatusOK, body: encoded("00000008") + "HTTP/1.1", invalid: true},
		"none":             {status: http.StatusNoContent, after: wait},
		"none, at once":    {status: http.StatusNoContent, invalid: true},
		"of other content": {status: http.StatusOK, body: "{}", invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(c.after)
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer s.Close()
			n := &Node{configTransport: hop.New(hop.Config{})}
			defer n.configTransport.CloseIdle()
			n.nodeSettings.Store(&settings.Hosted{})
			got, err := n.askWatcher(t.Context(), mesh.Addr(s.Listener.Addr().String()), held, wait)
			require.Equal(t, c.invalid, err != nil, "%v", err)
			if c.version == 0 {
				require.Nil(t, got)
			} else {
				require.Equal(t, c.version, got.Snapshot.Version)
			}
		})
	}
}

// TestEndlessWatcherResponse guards against a response of a watcher without end, or that
// arrives slowly without end, that takes the memory of a node or that it waits for: also
// a node that starts, which asks for the configuration before it reads the store.
func TestEndlessWatcherResponse(t *testing.T) {
	const (
		slack   = time.Second
		maxHeap = 8 * maxConfigBytes
	)
	const ok = "HTTP/1.1 200 OK\r\n\r\n"
	responses := maps.Clone(endless.Responses)
	var zeros bytes.Buffer
	z := gzip.NewWriter(&zeros)
	_, err := z.Write(make([]byte, 64*maxConfigBytes))
	require.NoError(t, errors.Join(err, z.Flush()))
	responses["compressed"] = endless.Response{Head: ok + zeros.String(), Repeat: "a"}
	const gzipHeader = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff"
	responses["empty blocks"] = endless.Response{Head: ok + gzipHeader, Repeat: strings.Repeat("\x00\x00\x00\xff\xff", 1000)}
	responses["slow body"] = endless.Response{Head: ok + gzipHeader, Repeat: "\x00\x00\x00\xff\xff", Pause: 100 * time.Millisecond}
	responses["slow header"] = endless.Response{Head: "HTTP/1.1 200 OK\r\n", Repeat: "X: y\r\n", Pause: 100 * time.Millisecond}
	for name, r := range responses {
		t.Run(name, func(t *testing.T) {
			srv, err := endless.NewServer("127.0.0.1:0", r)
			require.NoError(t, err)
			n := &Node{configTransport: hop.New(hop.Config{})}
			n.nodeSettings.Store(&settings.Hosted{})
			start := time.Now()
			peak := endless.PeakHeap(func() {
				_, err = n.askWatcher(t.Context(), mesh.Addr(srv.Addr()), 0, 0)
			})
			require.Error(t, err)
			require.Less(t, time.Since(start), upstreamGrace+readTimeout+slack)
			require.Less(t, peak, uint64(maxHeap))
			require.NoError(t, srv.Close(), "closes once the node has closed its connection")
		})
	}
}
