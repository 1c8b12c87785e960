package trial

import (
	"context"
	"sync"
	"time"
)

// Load sends requests from concurrent workers and collects the results.
type Load struct {
	Caller  *Caller
	Workers int
	Pause   time.Duration // of a worker between requests
	Timeout time.Duration // of one request
	// Next returns the i-th request of all workers and the node to send it to.
	// It is called concurrently.
	Next func(i int) (*Node, Request)
}

// Run sends requests until ctx ends or, if limit > 0, limit requests have been
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
				callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), l.Timeout)
				r := l.Caller.Call(callCtx, n, q)
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
