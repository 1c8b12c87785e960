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

// maxInFlight is the highest number of requests in flight of one stream. Further
// requests are counted as unsent.
const maxInFlight = 8000

// spinTime is the last part of a wait, which is spent yielding instead of
// sleeping, since timers fire up to about 100 us late. Streams of maxSpinRate
// requests/s or more do not spin, to leave CPU time to the mesh.
const (
	spinTime    = 150 * time.Microsecond
	maxSpinRate = 300
)

// stream sends the requests of one StreamSpec.
type stream struct {
	spec     StreamSpec
	rate     float64
	sender   *sender
	tally    *tally
	idPrefix string // of request IDs
	host     func(i int) string
	nextAddr func() string
	seed     uint64
}

// run offers requests from start on: for warmUp without counting them, then for
// length. It stops offering when ctx ends, and returns when all requests ended.
func (s *stream) run(ctx context.Context, start time.Time, warmUp, length time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var inFlight atomic.Int64
	intervals := newArrivals(s.spec, s.rate, s.seed)
	path := s.spec.requestPath()
	at := intervals.next()
	for i := 0; at < warmUp+length; i++ {
		if !waitUntil(ctx, start.Add(at), s.rate < maxSpinRate) {
			return
		}
		intended, second := start.Add(at), int((at-warmUp)/time.Second)
		counted := at >= warmUp
		at += intervals.next()
		if inFlight.Load() >= maxInFlight {
			if counted {
				s.tally.add(result{outcome: unsent})
			}
			continue
		}
		inFlight.Add(1)
		wg.Go(func() {
			defer inFlight.Add(-1)
			r := s.sendRequest(ctx, i, path, intended)
			r.second = second
			if counted {
				s.tally.add(r)
			}
		})
	}
}

func (s *stream) sendRequest(ctx context.Context, i int, path string, intended time.Time) result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.spec.Timeout)
	defer cancel()
	sent := time.Now()
	r := s.sender.send(ctx, request{
		via:       s.spec.Via,
		method:    s.spec.Method,
		host:      s.host(i),
		path:      path,
		bodyBytes: s.spec.RequestBytes,
		id:        mesh.RequestID(fmt.Sprintf("%s-%d", s.idPrefix, i)),
		nextAddr:  s.nextAddr,
	})
	now := time.Now()
	r.latency, r.fromSent = now.Sub(intended), now.Sub(sent)
	return r
}

// waitUntil waits until t. It returns false if ctx ends first.
func waitUntil(ctx context.Context, t time.Time, precise bool) bool {
	d := time.Until(t)
	if precise {
		d -= spinTime
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
