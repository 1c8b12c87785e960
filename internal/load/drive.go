package load

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxInFlight is the most requests in flight of one stream. Further ones are
// counted as unsent.
const maxInFlight = 8000

// spin is the part of a wait that is spent yielding instead of sleeping, since
// timers fire up to about 100 us late. Streams above spinRate requests/s do not
// spin, to leave the processor to the mesh.
const (
	spin     = 150 * time.Microsecond
	spinRate = 300
)

// stream is one entry at work.
type stream struct {
	entry  StreamSpec
	rate   float64
	sender *sender
	tally  *tally
	prefix string // of request ids
	host   func(i int) string
	addrs  func() string
	seed   uint64
}

// run offers requests from start on, for warm uncounted and then for length.
// It returns when all have ended. It stops offering early if ctx ends.
func (s *stream) run(ctx context.Context, start time.Time, warm, length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var flying atomic.Int64
	arrive := newArrivals(s.entry, s.rate, s.seed)
	path := s.entry.target()
	at := arrive.next()
	for i := 0; at < warm+length; i++ {
		if !waitUntil(ctx, start.Add(at), s.rate < spinRate) {
			return
		}
		intended, second := start.Add(at), int((at-warm)/time.Second)
		counted := at >= warm
		at += arrive.next()
		if flying.Load() >= maxInFlight {
			if counted {
				s.tally.add(result{outcome: unsent})
			}
			continue
		}
		flying.Add(1)
		wg.Go(func() {
			defer flying.Add(-1)
			r := s.one(ctx, i, path, intended)
			r.second = second
			if counted {
				s.tally.add(r)
			}
		})
	}
}

func (s *stream) one(ctx context.Context, i int, path string, intended time.Time) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.entry.Timeout)
	defer cancel()
	sent := time.Now()
	r := s.sender.do(ctx, call{
		via:    s.entry.Via,
		method: s.entry.Method,
		host:   s.host(i),
		path:   path,
		body:   s.entry.RequestBytes,
		id:     mesh.RequestID(fmt.Sprintf("%s-%d", s.prefix, i)),
		addrs:  s.addrs,
	})
	now := time.Now()
	r.latency, r.sent = now.Sub(intended), now.Sub(sent)
	return r
}

// waitUntil returns at t, or returns false if ctx ends before.
func waitUntil(ctx context.Context, t time.Time, precise bool) bool {
	d := time.Until(t)
	if precise {
		d -= spin
	}
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	for precise && time.Until(t) > 0 {
		runtime.Gosched()
	}
	return ctx.Err() == nil
}
