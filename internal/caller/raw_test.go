package caller

import (
	"bufio"
	"io"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendRaw sends text on one connection and returns the status codes of the
// responses and whether the connection was then closed.
func (b *testCaller) sendRaw(text string) (codes []int, closed bool) {
	b.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	require.NoError(b.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	require.NoError(b.t, err)
	r := bufio.NewReader(conn)
	for {
		require.NoError(b.t, conn.SetReadDeadline(time.Now().Add(300*time.Millisecond)))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			ne, ok := err.(net.Error) //nolint:errorlint // ReadResponse returns it unwrapped
			return codes, !ok || !ne.Timeout()
		}
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(b.t, err)
		require.NoError(b.t, resp.Body.Close())
		codes = append(codes, resp.StatusCode)
	}
}

// TestFraming guards against request smuggling: requests that two servers would
// delimit differently (RFC 9112 sections 3.2, 6.1 and 6.3).
func TestFraming(t *testing.T) {
	const next = "GET /read HTTP/1.1\r\nHost: h.example\r\n\r\n"
	for name, c := range map[string]struct {
		text   string
		codes  []int
		closed bool
		hits   int64
	}{
		"plain":                 {next + next, []int{200, 200}, false, 2},
		"length and chunked":    {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next, []int{200}, true, 1},
		"chunked":               {"POST /read HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + next, []int{200}, true, 1},
		"two lengths":           {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx" + next, []int{400}, true, 0},
		"list of lengths":       {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1, 2\r\n\r\nxx" + next, []int{400}, true, 0},
		"same length twice":     {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx" + next, []int{200, 200}, false, 2},
		"signed length":         {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: +1\r\n\r\nx" + next, []int{400}, true, 0},
		"unknown coding":        {"POST /read HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: gzip\r\n\r\nx" + next, []int{501}, true, 0},
		"two codings":           {"POST /read HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + next, []int{501}, true, 0},
		"bad chunk":             {"POST /read HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx" + next, []int{400}, true, 0},
		"space before colon":    {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length : 1\r\n\r\nx" + next, []int{400}, true, 0},
		"folded header":         {"GET /read HTTP/1.1\r\nHost: h.example\r\nX-A: b\r\n Content-Length: 5\r\n\r\n", []int{200}, false, 1},
		"no host":               {"GET /read HTTP/1.1\r\n\r\n" + next, []int{400}, true, 0},
		"two hosts":             {"GET /read HTTP/1.1\r\nHost: h.example\r\nHost: i.example\r\n\r\n" + next, []int{400}, true, 0},
		"invalid host":          {"GET /read HTTP/1.1\r\nHost: h.example/x\r\n\r\n", []int{400}, true, 0},
		"host with user":        {"GET /read HTTP/1.1\r\nHost: x@h.example\r\n\r\n", []int{400}, true, 0},
		"absolute form":         {"GET http://h.example/read HTTP/1.1\r\nHost: other.example\r\n\r\n", []int{200}, false, 1},
		"connect":               {"CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n\r\n", []int{405}, false, 0},
		"asterisk":              {"OPTIONS * HTTP/1.1\r\nHost: h.example\r\n\r\n", []int{200}, false, 0},
		"large header":          {"GET /read HTTP/1.1\r\nHost: h.example\r\nX-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", []int{431}, true, 0},
		"expect, accepted":      {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\nx", []int{100, 200}, false, 1},
		"expect, refused":       {"POST /none HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n", []int{404}, true, 0},
		"expect, other":         {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nExpect: tea\r\n\r\nx", []int{417}, true, 0},
		"body shorter than len": {"POST /read HTTP/1.1\r\nHost: h.example\r\nContent-Length: 9\r\nConnection: close\r\n\r\nx", nil, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(t, "e1", echo)
			b := newTestCaller(t, g)
			b.cfg.Deadline = time.Second
			codes, closed := b.sendRaw(c.text)
			require.Equal(t, c.codes, codes)
			require.Equal(t, c.closed, closed, "connection closed")
			require.Equal(t, c.hits, g.hits.Load())
		})
	}
}

// TestLargeHeader guards against refusing a large header without a kind, and
// against reading one of unlimited size.
func TestLargeHeader(t *testing.T) {
	b := newTestCaller(t, newGate(t, "e1", echo))
	a := b.do("GET", "/read", "", "X-Large", strings.Repeat("a", defaultMaxHeader))
	require.Equal(t, fault.HeaderTooLarge, a.kind())
	require.Equal(t, fault.NotRun, a.run())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, a.code)
	a = b.do("GET", "/read", "", "X-Large", strings.Repeat("a", 2*maxHeaderRead))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, a.code)
	require.Equal(t, 200, b.do("GET", "/read", "", "X-Large", strings.Repeat("a", defaultMaxHeader/2)).code)
}
