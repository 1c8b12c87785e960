package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/hop"
)

// TestTruncatedHTTP10 guards against a truncated response that looks complete to an
// HTTP/1.0 caller, for which a body without a length ends with its connection.
func TestTruncatedHTTP10(t *testing.T) {
	const part = "the first part of a body"
	for name, c := range map[string]struct {
		truncate bool // the gate breaks off after part
		stop     bool // the node is closed after part
		header   string
		whole    bool
	}{
		"whole":                   {whole: true},
		"whole, kept alive":       {header: "Connection: keep-alive\r\n", whole: true},
		"truncated":               {truncate: true},
		"truncated, kept alive":   {truncate: true, header: "Connection: keep-alive\r\n"},
		"node closed in the body": {stop: true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			g := newGate(t, "e1", func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				<-received
				if c.truncate {
					panic(http.ErrAbortHandler)
				}
				if c.stop {
					<-r.Context().Done()
				}
			})
			b := newTestCaller(t, g)
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "GET /read HTTP/1.0\r\nHost: h.example\r\n"+c.header+"\r\n")
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
			body := make([]byte, len(part))
			_, err = io.ReadFull(resp.Body, body)
			require.NoError(t, err)
			close(received)
			if c.stop {
				require.NoError(t, b.Server().Close())
			}
			rest, err := io.ReadAll(resp.Body)
			require.Empty(t, rest)
			if c.whole {
				require.NoError(t, err)
			} else {
				require.Error(t, err)
			}
		})
	}
}

// TestTruncatedWhileBodyIsDue guards against a truncated response whose connection stays
// open until the deadline, since the caller holds back its body.
func TestTruncatedWhileBodyIsDue(t *testing.T) {
	g := newGate(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		hop.Abort(r)
	})
	b := newTestCaller(t, g)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	start := time.Now()
	_, err = io.WriteString(conn, "POST /book HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100000\r\nExpect: 100-continue\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	require.Error(t, err)
	require.Less(t, time.Since(start), 500*time.Millisecond)
}
