package wait

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if ctx is done
// first. If d is not positive, it returns the error of ctx at once.
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
