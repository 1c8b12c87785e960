package peer

import (
	"expvar"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// usageSample holds the CPU time and the bytes that a group of peers has used
// so far.
type usageSample struct {
	at             time.Time
	cpu            time.Duration
	sent, received map[string]int64
}

func sumValues(m map[string]int64) int64 {
	var n int64
	for _, v := range m {
		n += v
	}
	return n
}

func measure(ps []*testPeer) usageSample {
	s := usageSample{at: time.Now(), sent: make(map[string]int64), received: make(map[string]int64)}
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		s.cpu = time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	add := func(to map[string]int64, m *expvar.Map) {
		m.Do(func(kv expvar.KeyValue) { to[kv.Key] += kv.Value.(*expvar.Int).Value() })
	}
	for _, p := range ps {
		add(s.sent, p.stats.bytesSent)
		add(s.received, p.stats.bytesReceived)
	}
	return s
}

// report reports the usage of n peers between two samples, per peer and second.
func report(b *testing.B, n int, from, to usageSample) {
	per := to.at.Sub(from.at).Seconds() * float64(n)
	b.ReportMetric(float64(sumValues(to.sent)-sumValues(from.sent))/per, "sentB/node/s")
	b.ReportMetric(float64(sumValues(to.received)-sumValues(from.received))/per, "recvB/node/s")
	for _, k := range []string{"probe", "ack", "gossip", httpKind} {
		b.ReportMetric(float64(to.sent[k]-from.sent[k])/per, k+"B/node/s")
	}
	b.ReportMetric(float64((to.cpu-from.cpu).Microseconds())/per, "cpu-us/node/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdle measures control bytes and CPU time per node without edits. Run
// it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{10, 30, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ps := startPeers(b, n)
			start := time.Now()
			eventually(b, 3*time.Minute, func() bool { return noPendingUpdates(ps) }, "no peer has updates left to send")
			settled := time.Since(start)
			for b.Loop() {
				from := measure(ps)
				time.Sleep(20 * time.Second)
				report(b, n, from, measure(ps))
			}
			b.ReportMetric(settled.Seconds(), "settle-s")
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapAlloc)/1024/float64(n), "heapKB/node")
		})
	}
}

// noPendingUpdates reports whether no peer has updates left to send.
func noPendingUpdates(ps []*testPeer) bool {
	for _, p := range ps {
		p.mu.Lock()
		n := p.list.Pending()
		p.mu.Unlock()
		if n > 0 {
			return false
		}
	}
	return true
}

// BenchmarkEdits measures control bytes and CPU time per node with one edit per
// second at 1% loss of datagrams, and the time from publishing until the last
// node applies the edit.
func BenchmarkEdits(b *testing.B) {
	const edits = 30
	for _, n := range []int{10, 30, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ps := startPeers(b, n, withLoss(0.01))
			publish(b, ps[0], 1)
			eventually(b, 10*time.Second, allAtVersion(ps, 1), "first version")
			time.Sleep(15 * time.Second)
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) // us
			v := mesh.Version(1)
			for b.Loop() {
				from := measure(ps)
				for range edits {
					v++
					start := time.Now()
					publish(b, ps[int(v)%n], v)
					for !allAtVersion(ps, v)() {
						time.Sleep(time.Millisecond)
					}
					require.NoError(b, h.RecordValue(time.Since(start).Microseconds()))
					time.Sleep(time.Until(start.Add(time.Second)))
				}
				report(b, n, from, measure(ps))
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(h.Max())/1000, "max-ms")
		})
	}
}

// BenchmarkConvergence measures the time from publishing until the last of 100
// nodes applies the edit, over 200 edits at 1% loss of datagrams: with all
// nodes running, and with a tenth of them stopped or frozen without notice.
func BenchmarkConvergence(b *testing.B) {
	const n, edits = 100, 200
	for _, c := range []struct {
		name   string
		failed int
		fail   func(*testPeer)
	}{
		{"all", 0, nil},
		{"stopped", n / 10, func(p *testPeer) { require.NoError(b, p.stop()) }},
		{"frozen", n / 10, func(p *testPeer) { p.udp.frozen.Store(true); p.udp.partitioned.Store(true) }},
	} {
		b.Run(c.name, func(b *testing.B) {
			ps := startPeers(b, n, withLoss(0.01))
			publish(b, ps[0], 1)
			eventually(b, 10*time.Second, allAtVersion(ps, 1), "first version")
			for _, p := range ps[n-c.failed:] {
				c.fail(p)
			}
			ps = ps[:n-c.failed]
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) // us
			v := mesh.Version(1)
			for b.Loop() {
				for range edits {
					v++
					start := time.Now()
					publish(b, ps[int(v)%len(ps)], v)
					for !allAtVersion(ps, v)() {
						time.Sleep(time.Millisecond)
					}
					require.NoError(b, h.RecordValue(time.Since(start).Microseconds()))
					time.Sleep(100 * time.Millisecond)
				}
			}
			for _, q := range []float64{50, 90, 99} {
				b.ReportMetric(float64(h.ValueAtQuantile(q))/1000, fmt.Sprintf("p%.0f-ms", q))
			}
			b.ReportMetric(float64(h.Max())/1000, "max-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}
