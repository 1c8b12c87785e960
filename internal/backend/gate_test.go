package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
	"lavenderrill.dev/lavenderrill/platform"
)

var testSnapshot = &config.Snapshot{
	Version: 1,
	Ranks: []config.RankPolicy{
		{Name: "urgent", Target: 150 * time.Millisecond, Worth: 100, Floor: 0.1},
		{Name: "bulk", Target: 10 * time.Second, Worth: 1, Floor: 0.05, Bulk: true},
	},
	Routes: []config.Route{
		{Name: "reserve", Account: "semarang", Service: "reservasi", Rank: "urgent"},
		{Name: "pay", Account: "semarang", Service: "reservasi", Rank: "urgent", Claim: true},
	},
}

// platformHeaders is the dialect of a hosted node.
var platformHeaders = Dialect{
	Request: platform.TranslateRequest, Response: platform.TranslateResponse, Refusal: platform.ResponseRefusal, EchoesID: true,
}

func platformDialect(c *Config) { c.Dialect = platformHeaders }

// testGate is a gate served on a loopback address.
type testGate struct {
	*Gate
	url      string
	registry *metric.Registry
}

func newTestGate(t testing.TB, addr string, configure func(*Config)) *testGate {
	t.Helper()
	m := metric.New()
	c := Config{
		ID:        "gate-1",
		Snapshot:  func() *config.Snapshot { return testSnapshot },
		Metrics:   m,
		Admission: admit.Config{Ramp: -1},
	}
	if configure != nil {
		configure(&c)
	}
	g := New(c)
	s := httptest.NewUnstartedServer(g.HopHandler())
	s.Config.ConnContext = hop.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	r := &testGate{Gate: g, url: s.URL, registry: m}
	if addr != "" {
		require.Equal(t, http.StatusOK, r.announce(t, announcement(addr)).Code)
	}
	return r
}

func announcement(addr string) string {
	return fmt.Sprintf(`{"service":"reservasi","addr":%q,"slots":20,"connections":110,"state":"ready","health":"/health","load":"/load"}`, addr)
}

func (r *testGate) announce(t testing.TB, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	r.AnnouncementHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, AnnouncePath, strings.NewReader(body)))
	return w
}

var requestCount int

// request returns a request with the headers that a forwarding node sets.
func (r *testGate) request(t testing.TB, method, body string, deadline time.Duration) *http.Request {
	t.Helper()
	requestCount++
	req, err := http.NewRequest(method, r.url+"/reservations?x=1", strings.NewReader(body))
	require.NoError(t, err)
	for k, v := range map[string]string{
		mesh.RequestHeader: fmt.Sprintf("r%d", requestCount), mesh.AttemptHeader: "1",
		mesh.ServiceHeader: "reservasi", mesh.RankHeader: "urgent", mesh.AccountHeader: "semarang",
		mesh.RouteHeader: "reserve", mesh.DeadlineHeader: fmt.Sprint(deadline.Milliseconds()),
		mesh.VersionHeader: "1", mesh.HopHeader: "secret",
	} {
		req.Header.Set(k, v)
	}
	return req
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // error of reading the body
}

func send(t testing.TB, req *http.Request) reply {
	t.Helper()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(b), err}
}

func (p reply) requireRefusal(t testing.TB, k fault.Kind, run fault.RunState) {
	t.Helper()
	var b fault.Body
	require.NoError(t, json.Unmarshal([]byte(p.body), &b), p.body)
	require.Equal(t, k, b.Kind, p.body)
	require.Equal(t, run, b.Run, p.body)
	require.Equal(t, string(run), p.header.Get(fault.RunHeader))
	require.NotEmpty(t, p.header.Get(mesh.PressureHeader))
	require.Equal(t, p.header.Get(mesh.RequestHeader), string(b.Request))
}

func (r *testGate) requireInvariants(t testing.TB) {
	t.Helper()
	require.Equal(t, "{}", r.registry.CounterGroup("invariant_broken").String())
}

// TestForward guards against changes to a forwarded request or its response, and
// against the hop token or a forged pressure header that is passed on.
func TestForward(t *testing.T) {
	var got *http.Request
	var body string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got, body = r, string(b)
		w.Header().Set("X-Backend", "1")
		w.Header().Set(mesh.PressureHeader, "forged=1")
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, "taken")
	}))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), nil)
	p := send(t, r.request(t, http.MethodPost, "seat", time.Second))
	require.NoError(t, p.err)
	require.Equal(t, http.StatusConflict, p.status)
	require.Equal(t, "taken", p.body)
	require.Equal(t, "1", p.header.Get("X-Backend"))
	require.Contains(t, p.header.Get(mesh.PressureHeader), "urgent=")
	require.Equal(t, "seat", body)
	require.Equal(t, "/reservations?x=1", got.RequestURI)
	require.Equal(t, "semarang", got.Header.Get(mesh.AccountHeader))
	require.Empty(t, got.Header.Get(mesh.HopHeader))
	r.requireInvariants(t)
	require.Zero(t, r.Status().InFlight)
}

// TestWrongService guards against a request that reaches the backend server of
// another service.
func TestWrongService(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("request reached the backend server") }))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), nil)
	req := r.request(t, http.MethodPost, "", time.Second)
	req.Header.Set(mesh.ServiceHeader, "katalog")
	send(t, req).requireRefusal(t, fault.NoEndpoint, fault.NotRun)
}
