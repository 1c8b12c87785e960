package backend_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// startServer runs a server until the test ends or stop is called; stop returns
// the error of Run.
func startServer(t *testing.T, cfg backend.Config) (s *backend.Server, stop func() error) {
	t.Helper()
	s, err := backend.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { require.NoError(t, stop()) })
	require.Eventually(t, func() bool { return s.State() == backend.Ready }, 5*time.Second, time.Millisecond)
	return s, stop
}

// responseHead holds the status and the header of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
}

// sendRequest sends a request with an id and returns the response and its body.
func sendRequest(t *testing.T, s *backend.Server, id, path string, header ...string) (responseHead, []byte, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Addr()+path, nil)
	require.NoError(t, err)
	r.Header.Set(mesh.RequestHeader, id)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return responseHead{}, nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return responseHead{resp.StatusCode, resp.Header}, b, err
}

// TestResponse guards against responses that cannot be distinguished from those
// to other requests.
func TestResponse(t *testing.T) {
	s, _ := startServer(t, backend.Config{})
	resp, b, err := sendRequest(t, s, "r1", "/x?size=1000&time=1ms", mesh.AttemptHeader, "2", "Idempotency-Key", "k")
	require.NoError(t, err)
	require.Len(t, b, 1000)
	require.NoError(t, backend.CheckResponse(resp.Header, b, "r1"))
	require.Error(t, backend.CheckResponse(resp.Header, b, "r2"))
	require.Error(t, backend.CheckResponse(resp.Header, b[:999], "r1"))
	require.Equal(t, backend.ResponseBody("r1", 1000), b)
	runs := s.Executions()
	require.Len(t, runs, 1)
	require.Equal(t, mesh.RequestID("r1"), runs[0].Request)
	require.Equal(t, "2", runs[0].Attempt)
	require.Equal(t, "k", runs[0].IdempotencyKey)
	require.Equal(t, backend.Done, runs[0].Outcome)
}

// TestContent guards against ranges of immutable content that differ from the
// same bytes of the whole body.
func TestContent(t *testing.T) {
	s, _ := startServer(t, backend.Config{})
	whole, b, err := sendRequest(t, s, "r1", "/guides/content/a?size=5000")
	require.NoError(t, err)
	require.NoError(t, backend.CheckResponse(whole.Header, b, "r1"))
	tag := whole.Header.Get("Etag")
	require.False(t, strings.HasPrefix(tag, "W/"))
	rest, tail, err := sendRequest(t, s, "r2", "/guides/content/a?size=5000", "Range", "bytes=3000-", "If-Range", tag)
	require.NoError(t, err)
	require.Equal(t, http.StatusPartialContent, rest.StatusCode)
	require.Equal(t, b[3000:], tail)
	require.Equal(t, whole.Header.Get(backend.DigestHeader), rest.Header.Get(backend.DigestHeader))
}

// TestTruncate guards against a truncated body that looks complete.
func TestTruncate(t *testing.T) {
	s, _ := startServer(t, backend.Config{Behavior: backend.Behavior{Truncate: 100}})
	for _, path := range []string{"/x?size=1000", "/content/x?size=1000"} {
		_, b, err := sendRequest(t, s, "r1", path)
		require.Error(t, err, path)
		require.Len(t, b, 100, path)
	}
}

// TestShedding guards against a shed request that its response marks as not
// executed although the journal records an execution.
func TestShedding(t *testing.T) {
	s, _ := startServer(t, backend.Config{Slots: 1})
	first := make(chan struct{})
	go func() {
		defer close(first)
		resp, err := http.Get("http://" + s.Addr() + "/x?time=300ms")
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	require.Eventually(t, func() bool { return s.Status().Running == 1 }, time.Second, time.Millisecond)
	resp, _, err := sendRequest(t, s, "r2", "/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, string(fault.NotRun), resp.Header.Get(fault.RunHeader))
	<-first
	require.Len(t, s.Executions(), 1)
}

// TestCancel guards against executions that continue after the caller
// disconnected or the deadline passed.
func TestCancel(t *testing.T) {
	s, _ := startServer(t, backend.Config{})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Addr()+"/x?time=1m", nil)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(r) //nolint:bodyclose // it fails
	require.Error(t, err)
	require.Eventually(t, func() bool { return s.Executions()[0].Outcome == backend.Canceled }, time.Second, time.Millisecond)
	resp, _, err := sendRequest(t, s, "r2", "/x?time=1m", mesh.DeadlineHeader, "20")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
	require.Equal(t, backend.Canceled, s.Executions()[1].Outcome)
}

// recordingNode records the states that a backend server announces to its node.
type recordingNode struct {
	mu     sync.Mutex
	states []string
}

func (n *recordingNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Method == http.MethodDelete {
		n.states = append(n.states, "gone")
		return
	}
	var a backend.Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil || a.Service != "katalog" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if k := len(n.states); k == 0 || n.states[k-1] != string(a.State) {
		n.states = append(n.states, string(a.State))
	}
}

// TestDrain guards against a shutdown that interrupts a request in flight or
// does not announce draining to the node first.
func TestDrain(t *testing.T) {
	n := &recordingNode{}
	h := httptest.NewServer(n)
	defer h.Close()
	s, stop := startServer(t, backend.Config{Service: "katalog", NodeAddr: h.Listener.Addr().String(), ColdStart: 20 * time.Millisecond})
	type result struct {
		resp responseHead
		body []byte
		err  error
	}
	got := make(chan result, 1)
	go func() {
		resp, b, err := sendRequest(t, s, "r1", "/x?time=500ms&size=100")
		got <- result{resp, b, err}
	}()
	require.Eventually(t, func() bool { return s.Status().Running == 1 }, time.Second, time.Millisecond)
	require.NoError(t, stop())
	r := <-got
	require.NoError(t, r.err)
	require.NoError(t, backend.CheckResponse(r.resp.Header, r.body, "r1"))
	require.Equal(t, []string{"starting", "ready", "draining", "gone"}, n.states)
}

// TestJournalFile guards against executions of a killed process that are missing
// from the journal file.
func TestJournalFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	s, _ := startServer(t, backend.Config{Journal: path})
	_, _, err := sendRequest(t, s, "r1", "/x")
	require.NoError(t, err)
	go func() { _, _, _ = sendRequest(t, s, "r2", "/x?time=200ms") }()
	require.Eventually(t, func() bool { return len(s.Executions()) == 2 }, time.Second, time.Millisecond)
	f, err := os.Open(path)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	runs, err := backend.ReadJournal(f)
	require.NoError(t, err)
	require.Len(t, runs, 2)
	require.Equal(t, backend.Done, runs[0].Outcome)
	require.Empty(t, runs[1].Outcome)
}

// TestControl guards against a control request that changes nothing or that
// accepts misspelled settings.
func TestControl(t *testing.T) {
	s, _ := startServer(t, backend.Config{})
	url := "http://" + s.ControlAddr() + "/control"
	post := func(body string) int {
		resp, err := http.Post(url, "application/json", strings.NewReader(body))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, post(`{"time":"exp:2ms","health":500,"load":0.1,"shed":1}`))
	require.Equal(t, http.StatusBadRequest, post(`{"tyme":"1ms"}`))
	require.Equal(t, http.StatusBadRequest, post(`{"time":"soon"}`))
	resp, _, err := sendRequest(t, s, "r1", "/health")
	require.NoError(t, err)
	require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
	resp, _, err = sendRequest(t, s, "r1", "/x")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}
