package caller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestForward guards against a request or response that is changed on its way.
func TestForward(t *testing.T) {
	b := newBench(t, newGate(t, "e1", echo))
	a := b.do("POST", "/book/1?x=1", "hello", mesh.RequestHeader, "req-1")
	require.Equal(t, 200, a.code)
	require.Equal(t, "hello", a.body)
	require.Equal(t, "req-1", a.header.Get(mesh.RequestHeader))
	require.Equal(t, "7", a.header.Get(mesh.VersionHeader))
}

// TestRetryDraining guards against a drain that callers see.
func TestRetryDraining(t *testing.T) {
	d, e := newGate(t, "e1", refusing(fault.Draining)), newGate(t, "e2", echo)
	b := newBench(t, d, e)
	for range 20 {
		a := b.do("POST", "/book", "x")
		require.Equal(t, 200, a.code)
		require.Equal(t, "x", a.body)
	}
	require.LessOrEqual(t, d.hits.Load(), int64(1))
}

// TestNotIdempotentNotRetried guards against a booking that runs twice.
func TestNotIdempotentNotRetried(t *testing.T) {
	g1, g2 := newGate(t, "e1", cut), newGate(t, "e2", cut)
	b := newBench(t, g1, g2)
	a := b.do("POST", "/book", "x")
	require.Equal(t, fault.OutcomeUnknown, a.kind())
	require.Equal(t, fault.Unknown, a.run())
	require.Equal(t, int64(1), g1.hits.Load()+g2.hits.Load())
}
