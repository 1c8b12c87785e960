package hop

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/raw"
)

// endlessBody is a request body without an end.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

// TestResetWhileSending guards against a response without a length that looks complete
// although its connection was reset, because the write of the request got the error, and
// against one that is refused although it ended with its connection.
func TestResetWhileSending(t *testing.T) {
	const requests = 1000
	for name, c := range map[string]struct {
		end   func(*net.TCPConn)
		whole bool
	}{
		"reset": {func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		"closed for writing": {func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := raw.New(func(nc net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n\r\nbody")
				c.end(nc.(*net.TCPConn))
			})
			require.NoError(t, err)
			defer func() { require.NoError(t, s.Close()) }()
			tr := New(Config{})
			whole := 0
			for range requests {
				req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr(), endlessBody{})
				require.NoError(t, err)
				if _, err = exchange(t.Context(), tr, req); err == nil {
					whole++
				}
			}
			if c.whole {
				require.Equal(t, requests, whole)
			} else {
				require.Zero(t, whole)
			}
		})
	}
}
