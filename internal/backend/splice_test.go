package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestCutCopies guards against the head of an answer that begins with a part of an earlier
// answer, cut at any byte, and so has the status or statement of the earlier one and the
// request id of its own.
func TestCutCopies(t *testing.T) {
	const idHeader = "Lavenderrill-Request-Id: "
	for name, c := range map[string]struct {
		first string // answer to the first request of a connection; ID stands for its id
		own   string // answer to the second one, which runs
	}{
		"rejection, then success": {
			"HTTP/1.1 503 Service Unavailable\r\nLavenderrill-Not-Executed: full\r\nX-Queue: 8\r\n" + idHeader + "ID\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 2\r\n\r\nok",
		},
		"421, then success": {
			"HTTP/1.1 421 Misdirected Request\r\nServer: x\r\n" + idHeader + "ID\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 2\r\n\r\nok",
		},
		"success, then failure": {
			"HTTP/1.1 200 OK\r\nServer: x\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 500 Internal Server Error\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 2\r\n\r\nok",
		},
		"failure, then success": {
			"HTTP/1.1 404 Not Found\r\nServer: x\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nLavenderrill-Response-Signature: s\r\n" + idHeader + "ID\r\nContent-Length: 2\r\n\r\nok",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var cut atomic.Int64
			var second atomic.Value // id of the last second request on a connection
			second.Store("")
			addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
				copied := ""
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					withID := func(s string) string {
						return strings.Replace(s, "ID\r\n", req.Header.Get("Lavenderrill-Request-Id")+"\r\n", 1)
					}
					switch n {
					case 0:
						copied = withID(c.first)
						_, _ = io.WriteString(conn, copied)
					case 1:
						second.Store(req.Header.Get("Lavenderrill-Request-Id"))
						_, _ = io.WriteString(conn, copied[:min(int(cut.Load()), len(copied))]+withID(c.own))
						return
					}
				}
			})
			g := newTestGate(t, addr, platformDialect)
			var status int
			_, err := fmt.Sscanf(c.own, "HTTP/1.1 %d", &status)
			require.NoError(t, err)
			answered := 0
			for k := range len(c.first) + 8 {
				cut.Store(int64(k))
				var got reply
				id := "none"
				for try := 0; second.Load() != id; try++ {
					require.Less(t, try, 10, "no second request on a connection")
					g.closeIdleConns()
					send(t, g.request(t, http.MethodPost, "seat", time.Second))
					req := g.request(t, http.MethodPost, "seat", time.Second)
					id = req.Header.Get(mesh.RequestHeader)
					got = send(t, req)
				}
				what := fmt.Sprintf("cut at %d: %q", k, c.first[:min(k, len(c.first))])
				require.NotEqual(t, string(fault.NotRun), got.header.Get(fault.RunHeader), what)
				require.Equal(t, id, got.header.Get(mesh.RequestHeader))
				if got.header.Get(fault.KindHeader) == "" && got.err == nil {
					answered++
					require.Equal(t, status, got.status, what)
					require.Equal(t, "ok", got.body, what)
				}
			}
			require.NotZero(t, answered, "the answer without a copy before it")
			g.requireInvariants(t)
		})
	}
}
