package caller

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/member"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const testToken = "token-of-the-test"

// gate is a stand-in for the gate of one endpoint.
type gate struct {
	*httptest.Server
	hits atomic.Int64
	id   mesh.NodeID
}

// newGate starts a gate that echoes the request id and runs f.
func newGate(t testing.TB, id string, f http.HandlerFunc) *gate {
	g := &gate{id: mesh.NodeID(id)}
	g.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.hits.Add(1)
		w.Header().Set(mesh.RequestHeader, r.Header.Get(mesh.RequestHeader))
		f(w, r)
	}))
	g.Config.ConnContext = hop.ConnContext
	g.Start()
	t.Cleanup(g.Close)
	return g
}

func (g *gate) member() member.Member {
	return member.Member{
		ID: g.id, Zone: "a", Addr: mesh.Addr(g.Listener.Addr().String()),
		Service: "s", Slots: 20, Endpoint: member.Ready, Incarnation: 1,
	}
}

// refusing returns a handler that refuses every request with k.
func refusing(k fault.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { fault.Write(w, fault.New(k, "test"), "") }
}

// abortConnection closes the connection without a response.
func abortConnection(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

// echo reads the whole body before it answers, since the HTTP/1.1 server of
// net/http truncates a large body once the response begins.
func echo(w http.ResponseWriter, r *http.Request) {
	if b, err := io.ReadAll(r.Body); err == nil {
		_, _ = w.Write(b)
	}
}

// testSnapshot returns a configuration with a route of each kind.
func testSnapshot() *config.Snapshot {
	base := config.Route{Account: "acc", Host: "h.example", Service: "s", Rank: "urgent", Deadline: 5 * time.Second, Retry: config.RetryPolicy{Attempts: 3}}
	with := func(name, path string, f func(*config.Route)) config.Route {
		r := base
		r.Name, r.Path = name, path
		f(&r)
		return r
	}
	return &config.Snapshot{
		Version:  7,
		Accounts: []mesh.ClientAccount{"acc"},
		Ranks:    []config.RankPolicy{{Name: "urgent", Target: 150 * time.Millisecond}, {Name: "patient", Target: 20 * time.Second}, {Name: "bulk", Target: 10 * time.Second, Bulk: true}},
		Services: map[mesh.Service]config.ServicePolicy{"s": {Name: "s", Slots: 20, Connections: 110}},
		Routes: []config.Route{
			with("book", "/book", func(r *config.Route) { r.Methods = []string{"POST"} }),
			with("read", "/read", func(r *config.Route) { r.Idempotent = true }),
			with("once", "/once", func(r *config.Route) { r.Retry.Attempts = 1 }),
			with("short", "/short", func(r *config.Route) { r.Deadline = 100 * time.Millisecond }),
			with("hedge", "/hedge", func(r *config.Route) { r.Idempotent, r.Retry.Hedge = true, 20*time.Millisecond }),
			with("limited", "/limited", func(r *config.Route) { r.Rate = 2 }),
			with("single", "/single", func(r *config.Route) { r.Idempotent, r.Retry.Attempts = true, 1 }),
			with("patient", "/patient", func(r *config.Route) { r.Rank = "patient" }),
			with("guide", "/guide", func(r *config.Route) { r.Idempotent, r.Rank = true, "bulk" }),
		},
	}
}

// testCaller is a Caller that listens on loopback, in front of gates.
type testCaller struct {
	*Caller
	t   testing.TB
	url string
	reg *metric.Registry
}

func newTestCaller(t testing.TB, gates ...*gate) *testCaller {
	s := testSnapshot()
	reg := metric.New()
	c := New(Config{ID: "n0", Zone: "a", Snapshot: func() *config.Snapshot { return s }, HopToken: testToken, Metrics: reg, Linger: 50 * time.Millisecond, Demand: demand.New()})
	var ms []member.Member
	for _, g := range gates {
		ms = append(ms, g.member())
	}
	c.SetMembers(ms)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- c.Server().Serve(l) }()
	t.Cleanup(func() {
		c.Server().Close()
		require.ErrorIs(t, <-ended, http.ErrServerClosed)
	})
	return &testCaller{Caller: c, t: t, url: "http://" + l.Addr().String(), reg: reg}
}

// newTwoGateCaller returns a testCaller with two gates. The first one is in the
// caller's availability zone and is therefore preferred.
func newTwoGateCaller(t testing.TB, first, second http.HandlerFunc) (b *testCaller, g1, g2 *gate) {
	g1, g2 = newGate(t, "e1", first), newGate(t, "e2", second)
	m := g2.member()
	m.Zone = "b"
	b = newTestCaller(t)
	b.SetMembers([]member.Member{g1.member(), m})
	return b, g1, g2
}

// answer is a response that was read to its end.
type answer struct {
	code   int
	header http.Header
	body   string
	closed bool  // the connection is closed after it
	err    error // from sending the request or reading the body
}

func (a answer) kind() fault.Kind    { return fault.Kind(a.header.Get(fault.KindHeader)) }
func (a answer) run() fault.RunState { return fault.RunState(a.header.Get(fault.RunHeader)) }

// do sends a request and returns the answer.
func (b *testCaller) do(method, path, body string, header ...string) answer {
	b.t.Helper()
	r, err := http.NewRequest(method, b.url+path, strings.NewReader(body))
	require.NoError(b.t, err)
	r.Host = "h.example"
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(got), resp.Close, err}
}

// requireIdle waits until no request is in flight to any endpoint. The client
// may receive the last byte of a body before the attempt ends.
func (b *testCaller) requireIdle() {
	b.t.Helper()
	require.Eventually(b.t, func() bool {
		n := 0
		for _, v := range b.picker.Endpoints("s", "urgent", time.Now()) {
			n += v.InFlight
		}
		return n == 0
	}, time.Second, time.Millisecond)
}
