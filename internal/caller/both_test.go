package caller

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/backend"
	"lavenderrill.dev/lavenderrill/internal/core/admit"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/metric"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// newRealGate starts a backend server that runs f and a real gate for it. It
// returns the gate in the form that newTestCaller expects, and the backend
// server.
func newRealGate(t testing.TB, id string, reg *metric.Registry, f http.HandlerFunc) (*gate, *httptest.Server) {
	g, server, _ := newRealGateWith(t, id, reg, 20, f)
	return g, server
}

// newRealGateWith is newRealGate with the given number of slots. It also returns the
// backend.Gate.
func newRealGateWith(t testing.TB, id string, reg *metric.Registry, slots int, f http.HandlerFunc) (*gate, *httptest.Server, *backend.Gate) {
	s := testSnapshot()
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	g := backend.New(backend.Config{
		ID: mesh.NodeID(id), Snapshot: func() *config.Snapshot { return s }, Metrics: reg,
		Lease: time.Hour, Admission: admit.Config{Ramp: -1},
	})
	hop := g.HopHandler()
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.Header.Get(mesh.HopHeader) != testToken {
			fault.Write(w, fault.New(fault.Unauthorized, "token"), "")
			return
		}
		hop.ServeHTTP(w, q)
	}))
	t.Cleanup(front.Close)
	w := httptest.NewRecorder()
	body := fmt.Sprintf(`{"service":"s","addr":%q,"slots":%d,"connections":110,"state":"ready"}`, server.Listener.Addr(), slots)
	g.AnnouncementHandler().ServeHTTP(w, httptest.NewRequest("POST", backend.AnnouncePath, strings.NewReader(body)))
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	return &gate{Server: front, id: mesh.NodeID(id)}, server, g
}

// TestBothSides guards against a booking that runs twice, a refusal marked as
// not run although the request ran, and a response to another request, while
// backend servers close connections before and after they run a request. It
// logs its seed.
func TestBothSides(t *testing.T) {
	const requests, workers = 4000, 16
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	var mu sync.Mutex
	runs := make(map[string]int)
	rng := rand.New(rand.NewPCG(seed, 0))
	chance := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return rng.Float64()
	}
	h := func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		p := chance()
		if err != nil || p < 0.02 {
			panic(http.ErrAbortHandler) // connection closed before the request ran
		}
		if p < 0.04 {
			fault.Write(w, fault.New(fault.Overloaded, "full"), "")
			return
		}
		mu.Lock()
		runs[string(b)]++
		mu.Unlock()
		if p < 0.06 {
			panic(http.ErrAbortHandler) // connection closed after the request ran
		}
		_, _ = w.Write(b)
	}
	reg := metric.New()
	var gates []*gate
	for i := range 4 {
		g, server := newRealGate(t, fmt.Sprintf("e%d", i), reg, h)
		gates = append(gates, g)
		if i == 3 {
			server.Close() // connections are refused
		}
	}
	b := newTestCaller(t, gates...)
	var next, answered, notRun, unknown atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := next.Add(1); i <= requests; i = next.Add(1) {
				id := fmt.Sprintf("booking-%d", i)
				a := b.do("POST", "/book", id)
				mu.Lock()
				n := runs[id]
				mu.Unlock()
				switch {
				case a.err != nil:
					t.Errorf("%s: %v", id, a.err)
				case a.kind() == "":
					answered.Add(1)
					if n != 1 || a.body != id {
						t.Errorf("%s: ran %d times, answered %q", id, n, a.body)
					}
				case a.run() == fault.NotRun:
					notRun.Add(1)
					if n != 0 {
						t.Errorf("%s: not run, but ran %d times", id, n)
					}
				default:
					unknown.Add(1)
					if n > 1 {
						t.Errorf("%s: ran %d times", id, n)
					}
				}
			}
		})
	}
	wg.Wait()
	t.Logf("answered %d, not run %d, unknown %d, retries %s", answered.Load(), notRun.Load(), unknown.Load(), b.reg.CounterGroup("caller_retry"))
	require.Equal(t, "{}", reg.CounterGroup("invariant_broken").String())
	require.Equal(t, "{}", b.reg.CounterGroup("invariant_broken").String())
	require.Greater(t, answered.Load(), int64(requests/2))
}

// TestLargeUpload guards against a large body that is not streamed through both
// hops, or that waits for the 100 Continue timeout.
func TestLargeUpload(t *testing.T) {
	g, _ := newRealGate(t, "e1", metric.New(), echo)
	b := newTestCaller(t, g)
	big := strings.Repeat("0123456789abcdef", 64<<10)
	for range 3 {
		start := time.Now()
		a := b.do("POST", "/book", big)
		require.Equal(t, 200, a.code)
		require.True(t, big == a.body, "body differs")
		require.Less(t, time.Since(start), 900*time.Millisecond, "waited for the 100 Continue timeout")
	}
}

// BenchmarkAddedLatency measures the latency that both hops add on loopback: 20
// workers at 50 requests/s each send every request once directly to the backend
// server and once through a node. Use -benchtime 20000x.
func BenchmarkAddedLatency(b *testing.B) {
	const workers, period = 20, 20 * time.Millisecond
	payload := strings.Repeat("x", 200)
	var gates []*gate
	var direct string
	for i := range 4 {
		g, server := newRealGate(b, fmt.Sprintf("e%d", i), metric.New(), func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, payload)
		})
		gates = append(gates, g)
		direct = server.URL
	}
	node := newTestCaller(b, gates...)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * workers}}
	defer client.CloseIdleConnections()
	send := func(url string) (time.Duration, error) {
		r, err := http.NewRequest("POST", url+"/book", strings.NewReader(payload))
		if err != nil {
			return 0, err
		}
		r.Host = "h.example"
		start := time.Now()
		resp, err := client.Do(r)
		if err != nil {
			return 0, err
		}
		defer resp.Body.Close()
		n, err := io.Copy(io.Discard, resp.Body)
		if err == nil && n != int64(len(payload)) {
			err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
		}
		return time.Since(start), err
	}
	urls := [2]string{direct, node.url}
	var hist [2]*hdrhistogram.Histogram
	for i := range hist {
		hist[i] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	var mu sync.Mutex
	var next atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for range workers {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(b.N); i = next.Add(1) {
				for k := range urls {
					k = (k + int(i)) % len(urls)
					time.Sleep(time.Duration(rand.Int64N(int64(period))))
					d, err := send(urls[k])
					if err != nil {
						b.Error(err)
						return
					}
					mu.Lock()
					_ = hist[k].RecordValue(d.Microseconds())
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	for _, q := range []float64{50, 99} {
		d, v := hist[0].ValueAtQuantile(q), hist[1].ValueAtQuantile(q)
		b.ReportMetric(float64(d), fmt.Sprintf("direct-p%.0f-us", q))
		b.ReportMetric(float64(v), fmt.Sprintf("mesh-p%.0f-us", q))
		b.ReportMetric(float64(v-d), fmt.Sprintf("added-p%.0f-us", q))
	}
}

// TestReusedRequestID guards against counting a request id that a caller reuses
// as a broken invariant of the mesh.
func TestReusedRequestID(t *testing.T) {
	reg := metric.New()
	g, _ := newRealGate(t, "e1", reg, echo)
	b := newTestCaller(t, g)
	for range 3 {
		require.Equal(t, http.StatusOK, b.do("GET", "/read", "", mesh.RequestHeader, "same").code)
	}
	require.Equal(t, "{}", reg.CounterGroup("invariant_broken").String())
}
