package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"lavenderrill.dev/lavenderrill/internal/logging"
)

// TestLongGarbageInReason guards against a response that cannot be parsed and is copied
// into log lines and into the refusal that callers get.
func TestLongGarbageInReason(t *testing.T) {
	const maxText = 8 << 10
	for name, text := range map[string]string{
		"line":        strings.Repeat("\x01", 60000) + "\r\n\r\n",
		"version":     "HTTP/" + strings.Repeat("9", 60000) + " 200 OK\r\n\r\n",
		"status":      "HTTP/1.1 " + strings.Repeat("9", 60000) + " OK\r\n\r\n",
		"header":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x01", 60000) + "\r\n\r\n",
		"chunk size":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("z", 4000) + "\r\n",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("z", 60000) + "\r\n\r\n",
		"coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("z", 60000) + "\r\n\r\n",
		"two lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + strings.Repeat("z", 60000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = conn.Write([]byte(text))
				}
			})
			var log bytes.Buffer
			w := logging.NewWriter(&log)
			g := newTestGate(t, addr, func(c *Config) { c.Log = logging.New(w, zapcore.DebugLevel) })
			resp, err := http.DefaultClient.Do(g.request(t, http.MethodPost, "seat", time.Second))
			require.NoError(t, err)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			require.Equal(t, resp.StatusCode == http.StatusOK, err != nil, "a body that breaks off is not complete")
			require.LessOrEqual(t, len(body), maxText)
			require.NoError(t, w.Sync())
			require.NotEmpty(t, log.String())
			for line := range strings.Lines(log.String()) {
				require.LessOrEqual(t, len(line), maxText)
			}
		})
	}
}
