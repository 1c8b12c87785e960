package trial

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/platform"
	"lavenderrill.dev/lavenderrill/platform/standin"
)

// Bounds of the hosted deployment of the tests, as the platform states them.
const (
	hostedRollout   = 2 * time.Second
	hostedGrace     = 6 * time.Second
	hostedHeartbeat = 500 * time.Millisecond
)

// hosted is a mesh on the stand-in of the users' platform: nodes are processes of
// their own, each with a loopback address and a backend server beside it.
type hosted struct {
	t     *testing.T
	bin   Binaries
	store *standin.Store
	addr  string
	nodes []*hostedNode

	between func(*hostedNode) // puts relays around a node before it starts; may be nil
}

type hostedNode struct {
	h       *hosted
	ip      string
	store   string  // address at which the node reaches the store
	link    float64 // rate of the link in Mbit/s, 0 if not known
	app     string  // address at which the node reaches its backend server
	port    int     // first of the ports of the node
	service string
	path    string                  // of the settings file
	process *Process                // set by start
	current atomic.Pointer[Process] // process, for other goroutines
	server  *standin.Server
	silent  atomic.Bool // the backend server sends no heartbeats
}

// newHosted starts a node and a backend server for each of services.
func newHosted(t *testing.T, services ...string) *hosted {
	h := newStore(t)
	for i, s := range services {
		h.add(i, s)
	}
	return h
}

// newStore starts the stand-in of the store, without nodes.
func newStore(t *testing.T) *hosted {
	bin, err := Build(t.Context())
	require.NoError(t, err)
	h := &hosted{t: t, bin: bin, store: standin.NewStore(1)}
	srv := httptest.NewServer(h.store)
	t.Cleanup(srv.Close)
	h.addr = srv.Listener.Addr().String()
	return h
}

func (h *hosted) add(i int, service string) *hostedNode {
	n := &hostedNode{h: h, ip: fmt.Sprintf("127.1.0.%d", i+1), service: service}
	n.port = freePorts(h.t, n.ip)
	n.store, n.app = h.addr, n.at(5)
	if h.between != nil {
		h.between(n)
	}
	n.path = filepath.Join(h.t.TempDir(), "node.yaml")
	require.NoError(h.t, os.WriteFile(n.path, []byte(n.settings(i)), 0o600))
	var err error
	n.server, err = standin.NewServer(n.at(5), fmt.Sprintf("i-%d", i), service, 5*time.Millisecond)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { require.NoError(h.t, n.server.Close()) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for wait.For(h.t.Context(), hostedHeartbeat) == nil {
			if !n.silent.Load() {
				_ = n.beat() // the node may be down
			}
		}
	}()
	h.t.Cleanup(func() { <-ended })
	n.start()
	h.nodes = append(h.nodes, n)
	return n
}

// freePorts returns the first of a few ports that are free on ip.
func freePorts(t *testing.T, ip string) int {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		require.NoError(t, l.Close())
		if port < 65000 {
			return port
		}
	}
	t.Fatal("no ports are free")
	return 0
}

// at returns the address of the given port of n, counted from its first one.
func (n *hostedNode) at(i int) string { return fmt.Sprintf("%s:%d", n.ip, n.port+i) }

func (n *hostedNode) settings(i int) string {
	return fmt.Sprintf(`node-name: node-%d
zone: zone-%d
ip: %q
service: %q
app-address: %q
listen-addresses: {outbound: %q, ready: %q, control: %q}
port-range: [%d, %d]
heartbeat-interval-ms: %d
limits: {cpu-cores: 1, memory-mb: 128, max-fds: 1024, link-mbps: %g}
policy-params: ["config-ms=%d", "grace-s=%d", "retry-budget-ratio=0.2", "retry-budget-slack=50", "budget-window-s=10"]
provider: {address: %q}
unknown: [{field: 1}]
`, i, i%2, n.ip, n.service, n.app, n.at(0), n.at(1), n.at(2), n.port+3, n.port+4,
		hostedHeartbeat.Milliseconds(), n.link, hostedRollout.Milliseconds(), int(hostedGrace.Seconds()), n.store)
}

func (n *hostedNode) start() {
	log := filepath.Join(filepath.Dir(n.path), "log")
	p, err := Launch("node "+n.ip, log, []string{platform.SettingsEnv + "=" + n.path}, n.h.bin.Node, "hosted", "--metrics", n.at(metricsPort))
	require.NoError(n.h.t, err)
	n.process = p
	n.current.Store(p)
	n.h.t.Cleanup(func() { _ = p.Kill() })
}

// metricsPort is the port of the metrics of a node, counted from its first one.
const metricsPort = 6

// running returns the process that was started last.
func (n *hostedNode) running() *Process { return n.current.Load() }

func (n *hostedNode) beat() error { return n.server.SendHeartbeat(n.h.t.Context(), n.at(2)) }

func (n *hostedNode) ready() bool {
	resp, err := http.Get("http://" + n.at(1) + "/v1/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

var requestNumber atomic.Int64

// reply is what a caller got.
type reply struct {
	status int // 0 if the connection ended without an answer
	signed bool
	kind   fault.Kind // of a refusal
	again  string     // Retry-After
	body   string
	id     string
}

// ask sends a request to the caller listener of n on a connection of its own.
func (n *hostedNode) ask(method, path string) reply {
	return n.askWith(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}, method, path)
}

// askWith sends a request to the caller listener of n. A path that ends with a slash
// is followed by the request id.
func (n *hostedNode) askWith(c *http.Client, method, path string) reply {
	r := reply{id: fmt.Sprintf("%016x", requestNumber.Add(1))}
	if strings.HasSuffix(path, "/") {
		path += r.id
	}
	req, err := http.NewRequest(method, "http://"+n.at(0)+path, strings.NewReader(""))
	if err != nil {
		return r
	}
	req.Host = "shop.example"
	req.Header.Set("Lavenderrill-Request-Id", r.id)
	req.Header.Set("Lavenderrill-Deadline-Ms", strconv.FormatInt((c.Timeout-time.Second).Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return r
	}
	r.status, r.body, r.again = resp.StatusCode, string(b), resp.Header.Get("Retry-After")
	r.signed = resp.Header.Get("Lavenderrill-Response-Signature") != ""
	r.kind = fault.Kind(resp.Header.Get(fault.KindHeader))
	return r
}

// put writes a configuration with a route to each named service.
func (h *hosted) put(version int, services ...string) {
	var rules, clusters []string
	for _, s := range services {
		kind, timeout := "safe", 1500
		switch s {
		case "book":
			kind = "unsafe"
		case "guide":
			kind, timeout = "download", 11_000
		}
		rules = append(rules, fmt.Sprintf(`{"name":"r-%[1]s","route-type":%[2]q,"target-latency-ms":500,"priority":0,"match":{"prefix":"/%[1]s/"},"action":{"service":%[1]q,"timeout-ms":%[3]d,"attempts":2}}`, s, kind, timeout))
		clusters = append(clusters, fmt.Sprintf(`{"name":%q,"health-path":"/healthz","max-connections":50}`, s))
	}
	h.store.Put("op", "config", []byte(fmt.Sprintf(
		`{"version":"%08x","limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000},"listeners":[{"host":"shop.example","rules":[%s]}],"clusters":[%s]}`,
		version, strings.Join(rules, ","), strings.Join(clusters, ","))))
}

// begin puts a configuration and waits until every node serves every service.
func (h *hosted) begin(services ...string) {
	h.put(1, services...)
	for _, n := range h.nodes {
		h.within(5*time.Second, func() bool { return n.beat() == nil }, "heartbeat of "+n.ip)
	}
	for _, n := range h.nodes {
		h.within(10*time.Second, func() bool {
			if !n.ready() {
				return false
			}
			for _, s := range services {
				if r := n.ask("GET", "/"+s+"/x"); r.status != 200 {
					return false
				}
			}
			return true
		}, "all services at "+n.ip)
	}
}

func (h *hosted) within(d time.Duration, f func() bool, what string) {
	h.t.Helper()
	defer func() {
		if h.t.Failed() {
			for _, n := range h.nodes {
				h.t.Logf("%s:\n%s", n.ip, n.process.Tail())
			}
		}
	}()
	require.Eventually(h.t, f, d, 20*time.Millisecond, what)
}

// TestHostedPath guards the whole path on the users' platform, through separate
// processes: requests, a change of the configuration, the life of a backend
// server, a node started beside a running backend server, and an outage of the
// store.
func TestHostedPath(t *testing.T) {
	h := newHosted(t, "look", "look", "book")
	h.begin("look", "book")
	a, b, c := h.nodes[0], h.nodes[1], h.nodes[2]

	r := c.ask("GET", "/look/a//b%20c")
	require.Equal(t, 200, r.status)
	require.True(t, r.signed)
	require.Equal(t, "look /look/a//b c ", r.body, "the path as it came")
	require.NotZero(t, a.server.Callers()["book"]+b.server.Callers()["book"])
	require.Equal(t, 404, c.ask("GET", "/none/x").status)

	t.Run("configuration", func(t *testing.T) {
		h.store.Put("op", "config", []byte(`{"version":"00000009","listeners":[{"host":`))
		h.put(3, "look", "book", "more")
		changed := time.Now()
		for _, n := range h.nodes {
			h.within(hostedRollout, func() bool { return n.ask("GET", "/more/x").status == 503 }, "route without endpoint")
		}
		require.Less(t, time.Since(changed), hostedRollout)
		h.put(2, "more") // older: changes nothing
		time.Sleep(hostedRollout)
		require.Equal(t, 200, c.ask("GET", "/look/x").status)
	})

	t.Run("backend server leaves", func(t *testing.T) {
		a.server.Drain()
		require.NoError(t, a.beat())
		before := len(a.server.Runs())
		for range 40 {
			require.Equal(t, 200, c.ask("GET", "/look/x").status)
			require.Equal(t, 200, a.ask("GET", "/look/x").status)
		}
		require.Len(t, a.server.Runs(), before, "requests after the acknowledgement")
		a.silent.Store(true)
		require.NoError(t, a.server.Deregister(t.Context(), a.at(2)))
	})

	t.Run("node started beside a running backend server", func(t *testing.T) {
		b.silent.Store(true)
		require.NoError(t, b.process.Kill())
		b.start()
		before := len(b.server.Runs())
		h.within(5*time.Second, func() bool { return c.ask("GET", "/look/x").status == 200 }, "served again")
		require.Greater(t, len(b.server.Runs()), before, "without a heartbeat")
		b.silent.Store(false)
	})

	t.Run("store outage", func(t *testing.T) {
		require.NoError(t, h.store.SetFaults(inject.Faults{Outage: inject.OutageReset}))
		h.store.ResetFeeds()
		h.put(5, "look", "book", "late")
		for range 20 {
			require.Equal(t, 200, c.ask("GET", "/look/x").status)
		}
		require.Equal(t, 404, c.ask("GET", "/late/x").status)
		h.store.DropHistory()
		require.NoError(t, h.store.SetFaults(inject.Faults{}))
		for _, n := range h.nodes {
			h.within(hostedRollout, func() bool { return n.ask("GET", "/late/x").status == 503 }, "route of the outage")
		}
	})
}

// TestHostedWatchers guards against calls to the store that grow with nodes, and
// against a configuration that is late on nodes whose watcher was killed.
func TestHostedWatchers(t *testing.T) {
	h := newHosted(t, "look", "look", "look", "look", "look", "look", "look", "look")
	h.begin("look")
	time.Sleep(2 * time.Second) // the nodes know each other
	before := h.store.Status().Counts["rows-feed"]
	const calm = 4 * time.Second
	time.Sleep(calm)
	// Three watchers, and one more if views differed for a moment.
	watch := hostedRollout * 4 / 10
	require.LessOrEqual(t, h.store.Status().Counts["rows-feed"]-before, int64(4*(calm/watch+1)))

	before = h.store.Status().Counts["rows-get"]
	h.put(2, "look", "first")
	for _, n := range h.nodes {
		h.within(hostedRollout, func() bool { return n.ask("GET", "/first/x").status == 503 }, "route first")
	}
	// Watchers read the rows of nodes once or twice meanwhile.
	require.LessOrEqual(t, h.store.Status().Counts["rows-get"]-before, int64(3), "other nodes get it from watchers")

	for i, n := range h.nodes[:4] {
		require.NoError(t, n.process.Kill())
		version := 10 + i
		added := fmt.Sprintf("added%d", i)
		h.put(version, "look", added)
		changed := time.Now()
		for _, n := range h.nodes[4:] {
			h.within(hostedRollout, func() bool { return n.ask("GET", "/"+added+"/x").status == 503 }, "route "+added)
		}
		require.Less(t, time.Since(changed), hostedRollout)
		n.start()
		h.within(10*time.Second, n.ready, "started again")
	}
}

// TestHostedStop guards against a planned stop that cuts requests, runs a booking
// twice or outlasts the grace time.
func TestHostedStop(t *testing.T) {
	h := newHosted(t, "book", "book", "book")
	h.begin("book")
	a := h.nodes[0]
	var mu sync.Mutex
	var replies []reply
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				r := a.ask("POST", "/book/x")
				mu.Lock()
				replies = append(replies, r)
				mu.Unlock()
				if r.status == 0 {
					return // the listener is closed
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	stop, end := context.WithTimeout(t.Context(), hostedGrace)
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- a.process.Stop(stop) }()
	h.within(time.Second, func() bool { return !a.ready() }, "not ready")
	require.NoError(t, <-ended)
	require.Less(t, time.Since(stopped), hostedGrace)
	cancel()
	callers.Wait()
	counts := map[int]int{}
	for _, r := range replies {
		counts[r.status]++
		runs := 0
		for _, n := range h.nodes {
			runs += n.server.Runs()[r.id]
		}
		switch r.status {
		case 200:
			require.Equal(t, 1, runs)
		case 503:
			require.Zero(t, runs, "a refusal says that the request has not run")
			require.NotEmpty(t, r.again)
		case 0: // refused connections after the end
			require.LessOrEqual(t, runs, 0, "a request that ran got no answer")
		default:
			t.Errorf("status %d: %s", r.status, r.body)
		}
	}
	require.Greater(t, counts[200], 50, "%v", counts)
}

// TestHostedStopWithUnusedConnections guards against a stop that outlasts the grace
// time because another process holds a connection open that carries no request.
func TestHostedStopWithUnusedConnections(t *testing.T) {
	h := newHosted(t, "look", "look")
	h.begin("look")
	a := h.nodes[0]
	stop, end := context.WithTimeout(t.Context(), hostedGrace)
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- a.process.Stop(stop) }()
	time.Sleep(2 * time.Second)
	for _, port := range []int{0, 1, 2, 3} {
		c, err := net.Dial("tcp", a.at(port))
		require.NoError(t, err)
		defer c.Close()
	}
	require.NoError(t, <-ended)
}

// TestHostedStopWithDownload guards against a planned stop that cuts a download which the
// pacing to the link makes longer than the grace time.
func TestHostedStopWithDownload(t *testing.T) {
	h := newStore(t)
	h.between = func(n *hostedNode) { n.link = 8 }
	for i := range 2 {
		h.add(i, "guide")
	}
	h.begin("guide")
	for _, n := range h.nodes {
		n.server.PadBytes = 7 << 20
	}
	a := h.nodes[0]
	got := make(chan reply, 1)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * hostedGrace}
	go func() { got <- a.askWith(client, http.MethodGet, "/guide/") }()
	time.Sleep(300 * time.Millisecond)
	stop, end := context.WithTimeout(t.Context(), hostedGrace)
	defer end()
	require.NoError(t, a.process.Stop(stop))
	r := <-got
	require.Equal(t, http.StatusOK, r.status)
	require.Greater(t, len(r.body), 7<<20)
}
