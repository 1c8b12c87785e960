package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/relay"
)

// startRelay runs a relay until the test ends.
func startRelay(t *testing.T, cfg relay.Config) *relay.Relay {
	t.Helper()
	r, err := relay.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return r
}

// startEchoServer starts a TCP and UDP server that sends back what it receives.
// It returns the address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p, err := net.ListenPacket("udp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = l.Close(), p.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	go func() {
		b := make([]byte, 2048)
		for {
			n, a, err := p.ReadFrom(b)
			if err != nil {
				return
			}
			_, _ = p.WriteTo(b[:n], a)
		}
	}()
	return l.Addr().String()
}

func dial(t *testing.T, network, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial(network, addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchange sends message and reads as many bytes back within timeout.
func exchange(c net.Conn, message string, timeout time.Duration) (string, error) {
	if _, err := io.WriteString(c, message); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	b := make([]byte, len(message))
	n, err := io.ReadFull(c, b)
	return string(b[:n]), err
}

// TestForward guards against a relay without faults that loses or changes
// bytes, and against a half-closed connection that loses its response.
func TestForward(t *testing.T) {
	r := startRelay(t, relay.Config{Target: startEchoServer(t)})
	c := dial(t, "tcp", r.Addr())
	payload := strings.Repeat("0123456789", 100_000)
	go func() {
		_, _ = io.WriteString(c, payload)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	b, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, payload, string(b))
	udpConn := dial(t, "udp", r.Addr())
	got, err := exchange(udpConn, "datagram", time.Second)
	require.NoError(t, err)
	require.Equal(t, "datagram", got)
}

// TestDelay guards against a delay that is not applied in both directions.
func TestDelay(t *testing.T) {
	r := startRelay(t, relay.Config{Target: startEchoServer(t)})
	require.NoError(t, r.SetFaults(relay.Faults{Delay: relay.Duration(50 * time.Millisecond)}))
	for _, network := range []string{"tcp", "udp"} {
		c := dial(t, network, r.Addr())
		begin := time.Now()
		_, err := exchange(c, "x", time.Second)
		require.NoError(t, err)
		require.GreaterOrEqual(t, time.Since(begin), 100*time.Millisecond, network)
	}
}

// TestCut guards against connections that survive a cut, against new ones that
// are accepted during it, and against a relay that accepts no connections after
// it.
func TestCut(t *testing.T) {
	r := startRelay(t, relay.Config{Target: startEchoServer(t)})
	c := dial(t, "tcp", r.Addr())
	_, err := exchange(c, "x", time.Second)
	require.NoError(t, err)
	require.NoError(t, r.SetFaults(relay.Faults{Cut: true}))
	_, err = exchange(c, "x", time.Second)
	require.Error(t, err)
	require.False(t, errors.Is(err, context.DeadlineExceeded))
	_, err = net.Dial("tcp", r.Addr())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.NoError(t, r.SetFaults(relay.Faults{}))
	_, err = exchange(dial(t, "tcp", r.Addr()), "x", time.Second)
	require.NoError(t, err)
}

// TestFreeze guards against withheld bytes that are lost, and against a freeze of
// one direction that also stops the other.
func TestFreeze(t *testing.T) {
	r := startRelay(t, relay.Config{Target: startEchoServer(t)})
	c := dial(t, "tcp", r.Addr())
	for _, d := range []relay.Direction{relay.Forward, relay.Backward, relay.Both} {
		require.NoError(t, r.SetFaults(relay.Faults{Freeze: d}))
		_, err := exchange(c, "held", 50*time.Millisecond)
		var ne net.Error
		require.ErrorAs(t, err, &ne)
		require.True(t, ne.Timeout())
		require.NoError(t, r.SetFaults(relay.Faults{}))
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		b := make([]byte, 4)
		_, err = io.ReadFull(c, b)
		require.NoError(t, err)
		require.Equal(t, "held", string(b))
	}
}

// TestTruncate guards against a truncation that forwards too many bytes.
func TestTruncate(t *testing.T) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 100_000))
	}))
	defer h.Close()
	r := startRelay(t, relay.Config{Target: h.Listener.Addr().String(), NoUDP: true})
	require.NoError(t, r.SetFaults(relay.Faults{Truncate: 50_000}))
	resp, err := http.Get("http://" + r.Addr())
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Less(t, len(b), 50_000)
	require.Greater(t, len(b), 49_000)
}

// TestDatagrams guards against loss and reordering that differ from the
// configured shares. The seed is fixed.
func TestDatagrams(t *testing.T) {
	const n = 1000
	r := startRelay(t, relay.Config{Target: startEchoServer(t), Seed: 7})
	require.NoError(t, r.SetFaults(relay.Faults{Loss: 0.1, Reorder: 0.1, ReorderDelay: relay.Duration(5 * time.Millisecond)}))
	c := dial(t, "udp", r.Addr())
	received, reordered, last := 0, 0, -1
	done := make(chan struct{})
	go func() {
		defer close(done)
		b := make([]byte, 100)
		for {
			_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			k, err := c.Read(b)
			if err != nil {
				return
			}
			var i int
			_, _ = fmt.Sscan(string(b[:k]), &i)
			received++
			if i < last {
				reordered++
			}
			last = i
		}
	}()
	for i := range n {
		_, err := fmt.Fprint(c, i)
		require.NoError(t, err)
		time.Sleep(100 * time.Microsecond)
	}
	<-done
	require.InDelta(t, n*0.81, received, 60) // each direction loses a tenth
	require.Greater(t, reordered, n/20)
}

// TestSources guards against faults of one source that affect other sources.
func TestSources(t *testing.T) {
	names := make(chan string, 2)
	names <- "a"
	names <- "b"
	r := startRelay(t, relay.Config{Target: startEchoServer(t), Source: func(net.Addr) string { return <-names }})
	a := dial(t, "tcp", r.Addr())
	_, err := exchange(a, "x", time.Second)
	require.NoError(t, err)
	b := dial(t, "tcp", r.Addr())
	_, err = exchange(b, "x", time.Second)
	require.NoError(t, err)
	require.NoError(t, r.SetPlan(relay.Plan{Sources: map[string]relay.Faults{"a": {Freeze: relay.Both}}}))
	_, err = exchange(b, "x", time.Second)
	require.NoError(t, err)
	_, err = exchange(a, "x", 50*time.Millisecond)
	require.Error(t, err)
}

// TestControl guards against faults that are not set over HTTP.
func TestControl(t *testing.T) {
	r := startRelay(t, relay.Config{Target: startEchoServer(t), Seed: 3})
	w := httptest.NewRecorder()
	r.Control().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control",
		strings.NewReader(`{"faults":{"delay":"1ms"},"sources":{"127.0.0.9":{"cut":true}}}`)))
	require.Equal(t, http.StatusOK, w.Code)
	require.True(t, r.Plan().Sources["127.0.0.9"].Cut)
	require.Contains(t, w.Body.String(), `"seed":3`)
	w = httptest.NewRecorder()
	r.Control().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(`{"faults":{"lose":3}}`)))
	require.Equal(t, http.StatusBadRequest, w.Code)
}
