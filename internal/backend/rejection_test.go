package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestLateCopyOfRejection guards against a late copy of a rejection that counts as the
// answer to the next request on the connection, which runs.
func TestLateCopyOfRejection(t *testing.T) {
	dialects := map[string]Dialect{"mesh": {}, "platform": platformHeaders}
	for name, c := range map[string]struct {
		status int
		body   string
		noID   bool          // the copy names no request
		copies int           // of each rejection
		work   time.Duration // between the copy and the answer
	}{
		"without a body":           {status: 503, copies: 1},
		"with a body":              {status: 503, body: "full", copies: 1},
		"before a late answer":     {status: 503, copies: 1, work: 20 * time.Millisecond},
		"without an id":            {status: 503, noID: true, copies: 1},
		"without an id, with body": {status: 503, noID: true, body: "full", copies: 1},
		"twice":                    {status: 503, copies: 2},
		"twice, with a body":       {status: 503, body: "full", copies: 2},
		"of another instance":      {status: 421, copies: 1},
		"too many requests":        {status: 429, copies: 1},
	} {
		for dialect, d := range dialects {
			if dialect == "mesh" && c.status != http.StatusServiceUnavailable {
				continue // the mesh knows one status of rejections
			}
			t.Run(name+"/"+dialect, func(t *testing.T) {
				idHeader, statement := mesh.RequestHeader, fault.RunHeader+": not-run"
				if dialect == "platform" {
					idHeader, statement = "Lavenderrill-Request-Id", "Lavenderrill-Not-Executed: 1"
				}
				var mu sync.Mutex
				ran := make(map[string]bool)
				reused := false
				addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
					rejected := ""
					for n := 0; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						id := req.Header.Get(idHeader)
						rejection := func(id string) string {
							if id != "" {
								id = idHeader + ": " + id + "\r\n"
							}
							return fmt.Sprintf("HTTP/1.1 %d Rejected\r\n%s%s\r\nContent-Length: %d\r\n\r\n%s", c.status, id, statement, len(c.body), c.body)
						}
						switch n {
						case 0:
							rejected = id
							_, _ = io.WriteString(conn, rejection(id))
							continue
						case 1:
							if c.noID {
								rejected = ""
							}
							_, _ = io.WriteString(conn, strings.Repeat(rejection(rejected), c.copies))
						default:
							mu.Lock()
							reused = true
							mu.Unlock()
						}
						mu.Lock()
						ran[id] = true
						mu.Unlock()
						time.Sleep(c.work)
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nLavenderrill-Response-Signature: s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
					}
				})
				g := newTestGate(t, addr, func(conf *Config) { conf.Dialect = d })
				rejections := 0
				for range 12 {
					req := g.request(t, http.MethodPost, "seat", time.Second)
					id := req.Header.Get(mesh.RequestHeader)
					got := send(t, req)
					require.NotEqual(t, http.StatusOK, got.status)
					notRun := got.header.Get(fault.RunHeader) == string(fault.NotRun)
					if notRun {
						rejections++
					}
					time.Sleep(2 * time.Millisecond) // the server records a run after the copy
					mu.Lock()
					require.False(t, notRun && ran[id], "%s has run", id)
					mu.Unlock()
				}
				require.GreaterOrEqual(t, rejections, 4, "rejections of the request itself are believed")
				mu.Lock()
				defer mu.Unlock()
				if c.body == "" || dialect == "mesh" { // else the connection ends with the rejection
					require.NotEmpty(t, ran)
				}
				require.False(t, reused, "a connection was used again after a copy")
				g.requireInvariants(t)
			})
		}
	}
}
