package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// convergedNetwork returns a network of n lists that know each other and have
// no queued updates.
func convergedNetwork(n int) *network {
	w := newNetwork(1, n)
	for i := 1; i < n; i++ {
		w.sync(i, 0)
	}
	for _, l := range w.lists {
		clear(l.queue)
		l.nextGossip = time.Time{}
	}
	return w
}

// BenchmarkSpread prints, at 1% loss, the time in which one change reaches all
// members, the copies of it that one member sends, and the number of changes
// that had not reached all after 60 s. Run it with -benchtime 1x.
func BenchmarkSpread(b *testing.B) {
	const trials = 40
	for _, n := range []int{30, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := convergedNetwork(n)
			w.loss = 0.01
			h := hdrhistogram.New(1, 60_000, 3) // ms
			copies, missed := 0, 0
			for b.Loop() {
				for range trials {
					l := w.lists[rand.IntN(n)]
					l.SetEndpoint(w.now, "s", rand.Int(), Ready)
					id, inc := l.Self().ID, l.Self().Incarnation
					start := w.now
					w.onSend = func(m Message) {
						for _, u := range m.Updates {
							if u.ID == id && u.Incarnation == inc {
								copies++
							}
						}
					}
					for !w.allHave(id, inc) && w.now.Sub(start) < time.Minute {
						w.run(20 * time.Millisecond)
					}
					if !w.allHave(id, inc) {
						missed++
					}
					_ = h.RecordValue(min(w.now.Sub(start).Milliseconds(), 60_000))
					w.run(20 * time.Second)
				}
			}
			b.ReportMetric(float64(copies)/float64(n*trials), "copies/node")
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(90)), "p90-ms")
			b.ReportMetric(float64(h.Max()), "max-ms")
			b.ReportMetric(float64(missed), "missed")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (w *network) allHave(id mesh.NodeID, incarnation uint64) bool {
	for _, l := range w.lists {
		if m, _ := l.Lookup(id); m.Incarnation < incarnation {
			return false
		}
	}
	return true
}

// BenchmarkSecond measures what one member with 2,500 others does in one
// second: a tick with a probe, one answer, and a tick for relays.
func BenchmarkSecond(b *testing.B) {
	const n = 2500
	now := time.Unix(1_000_000, 0)
	l := New(Config{Self: Member{ID: "self", Addr: "self"}, Rand: rand.New(rand.NewPCG(1, 2))}, now)
	for i := range n {
		l.mergeUpdate(now, Update{Member: Member{ID: mesh.NodeID(fmt.Sprintf("n%d", i)), Addr: mesh.Addr(fmt.Sprintf("a%d", i)), Incarnation: 1}})
	}
	clear(l.queue)
	l.nextGossip = time.Time{}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(700 * time.Millisecond)
		for _, d := range l.Tick(now) {
			l.Receive(now, d.To, Message{Kind: Probe, From: d.Message.Target, Target: "self", Sequence: 1})
			l.Receive(now, d.To, Message{Kind: Ack, From: d.Message.Target, Target: d.Message.Target, Sequence: d.Message.Sequence})
		}
		now = now.Add(300 * time.Millisecond)
		l.Tick(now)
	}
}
