package wait

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if ctx ends
// first. A d that is not positive does not wait.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
