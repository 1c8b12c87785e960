package task

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// TestRun guards against a component whose failure is not reported, and against a
// stop function that is called after the components it needs have ended.
func TestRun(t *testing.T) {
	broken := errors.New("broken")
	err := Run(t.Context(), []Component{
		{"good", waitUntilDone},
		{"bad", func(context.Context) error { return broken }},
	}, func() error { panic("unexpected call of stop") })
	require.ErrorIs(t, err, broken)
	require.ErrorContains(t, err, "bad ended")
	err = Run(t.Context(), []Component{{"short", func(context.Context) error { return nil }}}, nil)
	require.ErrorIs(t, err, errUnexpectedReturn)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := false
	err = Run(ctx, []Component{{"good", func(ctx context.Context) error {
		<-ctx.Done()
		ended = true
		return nil
	}}}, func() error {
		require.False(t, ended)
		return nil
	})
	require.NoError(t, err)
	require.True(t, ended)
}

// TestServeEnds guards against a shutdown that waits for a connection without a
// request.
func TestServeEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- Serve(ctx, &http.Server{}, l, 50*time.Millisecond) }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	time.Sleep(10 * time.Millisecond) // until the connection is accepted
	cancel()
	require.NoError(t, <-done)
}
