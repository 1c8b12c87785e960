package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestExpectRefused guards against a response that is held back until the caller sends a
// body that nothing asked for, so that it can no longer send the request elsewhere.
func TestExpectRefused(t *testing.T) {
	answerAtOnce := func(answer string) string {
		return newFaultyServer(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, answer)
			}
		})
	}
	for name, c := range map[string]struct {
		service, addr string
		kind          fault.Kind
		status        int
	}{
		"refused by the gate":    {"katalog", answerAtOnce(""), fault.NoEndpoint, 0},
		"closed":                 {"reservasi", answerAtOnce(""), fault.OutcomeUnknown, 0},
		"closed in the head":     {"reservasi", answerAtOnce("HTTP/1.1 200 OK\r\nX: y"), fault.OutcomeUnknown, 0},
		"rejected by the server": {"reservasi", answerAtOnce("HTTP/1.1 503 Full\r\nConnection: close\r\nLavenderrill-Run: not-run\r\nContent-Length: 4\r\n\r\nfull"), fault.Overloaded, 0},
		"answered by the server": {"reservasi", answerAtOnce("HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 5\r\n\r\ntaken"), "", http.StatusConflict},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGate(t, c.addr, nil)
			body := &recordingReader{Reader: strings.NewReader(strings.Repeat("x", 100_000))}
			req := g.request(t, http.MethodPost, "", 5*time.Second)
			req.Body, req.ContentLength = io.NopCloser(body), 100_000
			req.Header.Set(mesh.ServiceHeader, c.service)
			req.Header.Set("Expect", "100-continue")
			tr := hop.New(hop.Config{})
			defer tr.CloseIdle()
			start := time.Now()
			resp, _, err := tr.RoundTrip(t.Context(), req)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Less(t, time.Since(start), 500*time.Millisecond)
			require.Equal(t, c.kind, fault.Kind(resp.Header.Get(fault.KindHeader)))
			if c.status != 0 {
				require.Equal(t, c.status, resp.StatusCode)
			}
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			require.False(t, body.read, "the body was sent")
		})
	}
}

// recordingReader records whether it was read.
type recordingReader struct {
	io.Reader
	read bool
}

func (r *recordingReader) Read(p []byte) (int, error) {
	r.read = true
	return r.Reader.Read(p)
}

// TestTruncatedWhileBodyIsDue guards against a truncated response whose connection stays
// open until the deadline, since the caller holds back its body.
func TestTruncatedWhileBodyIsDue(t *testing.T) {
	addr := newFaultyServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart")
			time.Sleep(20 * time.Millisecond) // the gate begins to read the body
		}
	})
	g := newTestGate(t, addr, nil)
	req := g.request(t, http.MethodPost, strings.Repeat("x", 100_000), 5*time.Second)
	req.Header.Set("Expect", "100-continue")
	tr := hop.New(hop.Config{})
	defer tr.CloseIdle()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	resp, _, err := tr.RoundTrip(ctx, req)
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	require.Error(t, err)
	require.Less(t, time.Since(start), 500*time.Millisecond)
}
