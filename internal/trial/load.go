package trial

import (
	"context"
	"sync"
	"time"
)

// Load sends requests until ctx ends and collects their results.
type Load struct {
	Caller  *Caller
	Workers int
	Pause   time.Duration // of a worker between two requests
	Timeout time.Duration // of one request
	// Next returns the node and the request for the i-th request of all. It is
	// called by several workers at a time.
	Next func(i int) (*Node, Request)
}

// Run sends requests until ctx ends or, if limit > 0, limit requests were
// sent. It then waits for those in flight and returns all results.
func (l Load) Run(ctx context.Context, limit int) []Result {
	var mu sync.Mutex
	var results []Result
	sent := 0
	next := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil || limit > 0 && sent >= limit {
			return 0, false
		}
		sent++
		return sent - 1, true
	}
	var wg sync.WaitGroup
	for range l.Workers {
		wg.Go(func() {
			for {
				i, ok := next()
				if !ok {
					return
				}
				n, q := l.Next(i)
				one, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.Timeout)
				r := l.Caller.Call(one, n, q)
				cancel()
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(l.Pause)
			}
		})
	}
	wg.Wait()
	return results
}
