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
		field  string        // further header field of the rejection and its copy
		cut    time.Duration // pause in the middle of the copy
		late   bool          // the copy follows the answer to the request
		early  bool          // the copy precedes the body of the request
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
		"with a time to come back": {status: 503, copies: 1, field: "Retry-After: 0.1\r\n"},
		"421 with body":            {status: 421, body: "moved", copies: 1, work: 20 * time.Millisecond},
		"in two writes":            {status: 503, copies: 1, cut: 30 * time.Millisecond},
		"in two writes, with body": {status: 503, body: "full", copies: 1, cut: 30 * time.Millisecond},
		"after the answer":         {status: 503, copies: 1, late: true},
		"after the answer, body":   {status: 503, body: "full", copies: 1, late: true},
		"before the request body":  {status: 503, copies: 1, early: true, work: 20 * time.Millisecond},
		"429 before the body":      {status: 429, body: "full", copies: 2, early: true},
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
				reused := 0 // requests on connections that had carried a copy
				addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
					rejected := ""
					for n := 0; ; n++ {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						id := req.Header.Get(idHeader)
						rejection := func(id string) string {
							if id != "" {
								id = idHeader + ": " + id + "\r\n"
							}
							return fmt.Sprintf("HTTP/1.1 %d Rejected\r\n%s%s\r\n%sContent-Length: %d\r\n\r\n%s", c.status, id, statement, c.field, len(c.body), c.body)
						}
						writeCopies := func() {
							if c.noID {
								rejected = ""
							}
							text := strings.Repeat(rejection(rejected), c.copies)
							if c.cut > 0 {
								_, _ = io.WriteString(conn, text[:len(text)/2])
								time.Sleep(c.cut)
								text = text[len(text)/2:]
							}
							_, _ = io.WriteString(conn, text)
						}
						if n == 1 && c.early {
							writeCopies()
						}
						if _, err := io.Copy(io.Discard, req.Body); err != nil {
							return // the request is not complete and does not run
						}
						switch n {
						case 0:
							rejected = id
							_, _ = io.WriteString(conn, rejection(id))
							continue
						case 1:
							if !c.early && !c.late {
								writeCopies()
							}
						default:
							mu.Lock()
							reused = max(reused, n-1)
							mu.Unlock()
						}
						mu.Lock()
						ran[id] = true
						mu.Unlock()
						time.Sleep(c.work)
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nLavenderrill-Response-Signature: s\r\nContent-Length: 0\r\n\r\n", idHeader, id)
						if n == 1 && c.late {
							writeCopies()
						}
					}
				})
				g := newTestGate(t, addr, func(conf *Config) { conf.Dialect = d })
				rejections := 0
				for range 12 {
					req := g.request(t, http.MethodPost, "seat", time.Second)
					id := req.Header.Get(mesh.RequestHeader)
					if c.early { // longer than a body that is read before the request is sent
						req.Body, req.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", 256<<10))), 256<<10
					}
					got := send(t, req)
					if !c.late {
						require.NotEqual(t, http.StatusOK, got.status)
					}
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
				if c.late {
					// The next request may be written before the copy arrives.
					require.LessOrEqual(t, reused, 1, "a connection was used again after a copy")
				} else {
					require.Zero(t, reused, "a connection was used again after a copy")
				}
				g.requireInvariants(t)
			})
		}
	}
}
