package hop

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/link"
)

// TestPacer guards against concurrent downloads that together exceed the share of
// the link, so that small responses wait behind them, against corrupted bodies,
// and against pacing when the rate of the link is not known.
func TestPacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 1 << 20 // bytes per second
		p := NewPacer(rate)
		want := bytes.Repeat([]byte("0123456789abcdef"), 32<<10) // takes half a second at the link rate
		begin := time.Now()
		ended := make(chan error, 2)
		for range 2 {
			go func() {
				got, err := io.ReadAll(p.PaceBody(t.Context(), io.NopCloser(bytes.NewReader(want)), Transfer{Length: link.Bytes(len(want))}))
				if err == nil && !bytes.Equal(got, want) {
					err = io.ErrUnexpectedEOF
				}
				ended <- err
			}()
		}
		require.NoError(t, <-ended)
		require.NoError(t, <-ended)
		took := time.Since(begin)
		require.InDelta(t, 1/0.9, took.Seconds(), 0.1)

		go func() {
			_, err := io.ReadAll(p.PaceBody(t.Context(), io.NopCloser(bytes.NewReader(want)), Transfer{Length: link.Bytes(len(want))}))
			ended <- err
		}()
		time.Sleep(100 * time.Millisecond)
		begin = time.Now()
		p.StopAt(begin.Add(50 * time.Millisecond)) // the link carries a tenth of the rest by then
		require.NoError(t, <-ended)
		require.Less(t, time.Since(begin), 100*time.Millisecond, "after the stop")

		begin = time.Now()
		_, err := io.ReadAll(NewPacer(0).PaceBody(t.Context(), io.NopCloser(bytes.NewReader(want)), Transfer{Length: link.Bytes(len(want))}))
		require.NoError(t, err)
		require.Equal(t, begin, time.Now())
	})
}

// simulatedLink simulates a network interface that sends in order at a fixed rate.
type simulatedLink struct {
	mu   sync.Mutex
	rate float64 // bytes per second
	free time.Time
}

// send queues n bytes and returns the time at which they will have been sent.
func (l *simulatedLink) send(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	return l.free
}

// TestPacedLink guards against small responses that wait behind downloads in the
// queue of a slow link. Ten downloads of 300 kB start within a second at
// 10.5 Mbit/s, half of what the link carries in the simulated time, with a small
// response every 20 ms.
func TestPacedLink(t *testing.T) {
	slowest := func(paced bool) (small, download time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			l := &simulatedLink{rate: 10.5e6 / 8}
			var p *Pacer
			if paced {
				p = NewPacer(link.Rate(l.rate))
			}
			ended := make(chan time.Duration)
			for i := range 10 {
				go func() {
					time.Sleep(time.Duration(i) * 100 * time.Millisecond)
					begin, last := time.Now(), time.Time{}
					body := p.PaceBody(t.Context(), io.NopCloser(bytes.NewReader(make([]byte, 300_000))), Transfer{Length: 300_000})
					part := make([]byte, 32<<10)
					for {
						n, err := body.Read(part)
						if err != nil {
							break
						}
						last = l.send(n)
					}
					ended <- last.Sub(begin)
				}()
			}
			for range 200 {
				small = max(small, time.Until(l.send(5_000)))
				time.Sleep(20 * time.Millisecond)
			}
			for range 10 {
				download = max(download, <-ended)
			}
		})
		return small, download
	}
	small, download := slowest(false)
	pacedSmall, pacedDownload := slowest(true)
	t.Logf("slowest small response %v, paced %v; slowest download %v, paced %v", small, pacedSmall, download, pacedDownload)
	require.Less(t, pacedSmall, 250*time.Millisecond, "half of a target of 500 ms")
	require.Less(t, pacedSmall, small/3)
	require.Less(t, pacedDownload, 2*download)
}
