package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFor guards against a wait that continues after its context is done or ends early.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.NoError(t, For(t.Context(), time.Minute))
		require.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, For(ctx, time.Minute), context.DeadlineExceeded)
		require.Equal(t, time.Minute+time.Second, time.Since(start))
		require.Error(t, For(ctx, 0))
	})
}
