package hop

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// earlyConn returns a connection on which a peer has sent bytes, and the function that
// reads them, as the transport does while no response is due.
func earlyConn(t *testing.T) (*conn, func()) {
	t.Helper()
	c, err := Config{Dial: func(context.Context, string, string) (net.Conn, error) {
		peer, sender := net.Pipe()
		t.Cleanup(func() { sender.Close(); peer.Close() })
		go func() { _, _ = io.WriteString(sender, "early") }()
		return peer, nil
	}, DialTimeout: time.Second}.dialFunc()(t.Context(), "tcp", "")
	require.NoError(t, err)
	return c.(*conn), func() {
		_, err := c.Read(make([]byte, 16))
		require.NoError(t, err)
	}
}

// TestEarlyBytesOfNewConnection guards against an answer that counts as the answer to
// the first request of a connection although it arrived before the connection was
// assigned to the request.
func TestEarlyBytesOfNewConnection(t *testing.T) {
	c, read := earlyConn(t)
	read()
	var tracker connTracker
	tracker.gotConn(httptrace.GotConnInfo{Conn: c})
	require.EqualValues(t, 5, tracker.exchange().Early)
}

// TestEarlyBytesOfPreviousRequest guards against early bytes that are forgotten once the
// connection is assigned to the next request: an answer without a body returns the
// connection to the pool before its own request sees the answer.
func TestEarlyBytesOfPreviousRequest(t *testing.T) {
	c, read := earlyConn(t)
	var first, second connTracker
	first.gotConn(httptrace.GotConnInfo{Conn: c})
	read()
	first.release()
	second.gotConn(httptrace.GotConnInfo{Conn: c})
	require.EqualValues(t, 5, first.exchange().Early)
	require.Zero(t, second.exchange().Early)
}

// TestAbortBeforeWrite guards against a request that counts as possibly run although its
// connection was aborted for an earlier request before any of it was written.
func TestAbortBeforeWrite(t *testing.T) {
	c, _ := earlyConn(t)
	var first, second connTracker
	first.gotConn(httptrace.GotConnInfo{Conn: c})
	first.release()
	second.gotConn(httptrace.GotConnInfo{Conn: c})
	first.abort()
	_, err := c.Write([]byte("POST"))
	require.Error(t, err)
	require.Equal(t, NothingSent, second.abort())
}
