package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// delayedPeer returns a dial function whose peers answer each request after d.
func delayedPeer(t *testing.T, d time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		go func() {
			for r := bufio.NewReader(server); ; {
				if _, err := http.ReadRequest(r); err != nil {
					return // the client has closed the connection
				}
				time.Sleep(d)
				_, _ = io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n")
			}
		}()
		return client, nil
	}
}

// TestWaitForConnection guards against a wait for a connection that neither the gauge nor
// the log line of the request shows.
func TestWaitForConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const work = time.Second
		tr := New(Config{MaxConnsPerHost: 1, Dial: delayedPeer(t, work)})
		send := func(ctx context.Context) Exchange {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://gate/", nil)
			require.NoError(t, err)
			resp, x, err := tr.RoundTrip(ctx, req)
			if err == nil {
				resp.Body.Close()
			}
			return x
		}
		first, second := make(chan Exchange, 1), make(chan Exchange, 1)
		go func() { first <- send(t.Context()) }()
		synctest.Wait()
		require.Zero(t, tr.Waiting())
		go func() { second <- send(t.Context()) }()
		synctest.Wait()
		require.EqualValues(t, 1, tr.Waiting())
		canceled, cancel := context.WithTimeout(t.Context(), work/4)
		defer cancel()
		require.Equal(t, Exchange{Sent: NothingSent, Wait: work / 4}, send(canceled))
		require.Zero(t, (<-first).Wait)
		require.Equal(t, work, (<-second).Wait)
		require.Zero(t, tr.Waiting())
		tr.CloseIdle()
		synctest.Wait()
	})
}
