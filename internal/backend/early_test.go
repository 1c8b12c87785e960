package backend

import (
	"bufio"
	"bytes"
	"errors"
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

// bodyOf returns the body of n bytes of the request id. Each line names the request.
func bodyOf(id string, n int) []byte {
	return bytes.Repeat([]byte(id+"\n"), n/(len(id)+1)+1)[:n]
}

// slowReader returns its data in parts, with a pause before each.
type slowReader struct {
	data  []byte
	part  int
	pause time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if len(s.data) == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p, s.data[:min(s.part, len(s.data))])
	s.data = s.data[n:]
	return n, nil
}

// TestEarlyAnswer guards against bytes of another request where a backend server that
// has answered early reads the rest of a body, and against an early rejection that is
// taken for the answer to the next request.
func TestEarlyAnswer(t *testing.T) {
	rejection := "HTTP/1.1 503 Service Unavailable\r\n" + fault.RunHeader + ": not-run\r\n" + mesh.RequestHeader + ": %s\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		size     int
		chunked  bool
		slow     bool // the caller sends the body slowly
		rejected bool
		before   int           // bytes of the body that are read before the answer
		pause    time.Duration // after the answer
	}{
		"accepted, read at once":           {size: 1 << 20},
		"accepted, read later":             {size: 1 << 20, pause: 100 * time.Millisecond},
		"accepted, chunked":                {size: 300_000, chunked: true, pause: 20 * time.Millisecond},
		"accepted, slow caller":            {size: 300_000, slow: true, pause: 5 * time.Millisecond},
		"accepted, slow and chunked":       {size: 300_000, slow: true, chunked: true, before: 1000},
		"rejected, read at once":           {size: 1 << 20, rejected: true},
		"rejected, read later":             {size: 100_000, rejected: true, pause: 100 * time.Millisecond},
		"rejected, chunked":                {size: 300_000, rejected: true, chunked: true, before: 50_000},
		"rejected, slow caller":            {size: 100_000, rejected: true, slow: true},
		"rejected, slow and chunked":       {size: 100_000, rejected: true, slow: true, chunked: true, pause: 20 * time.Millisecond},
		"rejected, body in socket buffers": {size: 20_000, rejected: true, pause: 20 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			var faults []string
			began := make(map[string]int) // requests whose head was read
			answered := 0
			addr := newFaultyServer(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !isReset(err) {
							mu.Lock()
							faults = append(faults, "request head: "+err.Error())
							mu.Unlock()
						}
						return
					}
					id := req.Header.Get(mesh.RequestHeader)
					mu.Lock()
					began[id]++
					mu.Unlock()
					got, err := io.ReadAll(io.LimitReader(req.Body, int64(c.before)))
					if err != nil {
						return
					}
					response := answer(id, "")
					if c.rejected {
						response = fmt.Sprintf(rejection, id)
					}
					_, _ = io.WriteString(conn, response)
					time.Sleep(c.pause)
					rest, err := io.ReadAll(req.Body)
					got = append(got, rest...)
					if !bytes.HasPrefix(bodyOf(id, c.size), got) || err == nil && len(got) != c.size {
						mu.Lock()
						faults = append(faults, fmt.Sprintf("request %s: %d bytes that are not its body", id, len(got)))
						mu.Unlock()
					}
					if err != nil {
						return
					}
				}
			})
			g := newTestGate(t, addr, nil)
			var callers sync.WaitGroup
			for range 4 {
				callers.Go(func() {
					for range 6 {
						req := g.lockedRequest(t, &mu)
						id := req.Header.Get(mesh.RequestHeader)
						var body io.Reader = bytes.NewReader(bodyOf(id, c.size))
						if c.slow {
							body = &slowReader{bodyOf(id, c.size), c.size / 10, 2 * time.Millisecond}
						}
						req.Body, req.ContentLength = io.NopCloser(body), int64(c.size)
						if c.chunked {
							req.ContentLength = -1
						}
						resp, err := http.DefaultClient.Do(req)
						if err != nil {
							continue // the gate closed the connection while the body was being sent
						}
						_, _ = io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
						mu.Lock()
						answered++
						switch resp.StatusCode {
						case http.StatusOK:
							if c.rejected {
								faults = append(faults, "success for a rejected request")
							}
						case http.StatusServiceUnavailable:
							if !c.rejected {
								faults = append(faults, "refusal of an accepted request")
							}
						}
						if got := resp.Header.Get(mesh.RequestHeader); got != id {
							faults = append(faults, fmt.Sprintf("answer to %q for %q", got, id))
						}
						mu.Unlock()
					}
				})
			}
			callers.Wait()
			mu.Lock()
			defer mu.Unlock()
			require.Empty(t, faults)
			require.NotZero(t, answered)
			for id, n := range began {
				require.Equal(t, 1, n, id)
			}
			g.requireInvariants(t)
		})
	}
}

func isReset(err error) bool {
	return strings.Contains(err.Error(), "reset by peer") || errors.Is(err, net.ErrClosed)
}

// lockedRequest is request for concurrent callers.
func (r *testGate) lockedRequest(t testing.TB, mu *sync.Mutex) *http.Request {
	mu.Lock()
	defer mu.Unlock()
	return r.request(t, http.MethodPost, "", 2*time.Second)
}

// TestLatencyOfOtherAnswers guards against the limit of a gate that follows the latency of
// answers to other requests.
func TestLatencyOfOtherAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		valid    bool
		measured bool
	}{
		"own":               {answer("r", ""), true, true},
		"own error":         {strings.Replace(answer("r", ""), "200 OK", "500 Internal Server Error", 1), true, false},
		"another request's": {answer("other", ""), false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGate(t, newRawServer(t, c.response), nil)
			req := g.request(t, http.MethodPost, "seat", time.Second)
			req.Header.Set(mesh.RequestHeader, "r")
			call, e := g.newCall(req)
			require.Nil(t, e)
			require.Nil(t, g.acquireSlot(t.Context(), call))
			resp, _ := g.forward(t.Context(), call, req)
			g.releaseSlot(call)
			require.Equal(t, c.valid, resp != nil)
			require.Equal(t, c.measured, call.latency > 0)
			if resp != nil {
				resp.Body.Close()
			}
		})
	}
}
