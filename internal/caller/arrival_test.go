package caller

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestPassedOnArrival guards against a request whose deadline has passed on
// arrival being refused as one that may have run.
func TestPassedOnArrival(t *testing.T) {
	g := newGate(t, "e1", echo)
	a := newTestCaller(t, g).do(http.MethodPost, "/book", "", mesh.DeadlineHeader, "0")
	require.Equal(t, fault.DeadlineExceeded, a.kind())
	require.Equal(t, fault.NotRun, a.run())
	require.Zero(t, g.hits.Load())
}

// TestDoubleSlash guards against a redirect to the cleaned path instead of the
// response for the requested path.
func TestDoubleSlash(t *testing.T) {
	path := make(chan string, 1)
	g := newGate(t, "e1", func(_ http.ResponseWriter, r *http.Request) { path <- r.URL.Path })
	require.Equal(t, http.StatusOK, newTestCaller(t, g).do(http.MethodGet, "//read//x", "").code)
	require.Equal(t, "//read//x", <-path)
}

// TestHead guards against refusing HEAD on a route that allows GET.
func TestHead(t *testing.T) {
	b := newTestCaller(t, newGate(t, "e1", echo))
	s := testSnapshot()
	s.Version++
	s.Routes = append(s.Routes, config.Route{Name: "get", Account: "acc", Host: "h.example", Path: "/get", Methods: []string{"GET"}, Service: "s", Rank: "urgent", Deadline: s.Routes[0].Deadline, Idempotent: true, Retry: config.RetryPolicy{Attempts: 1}})
	b.Apply(s)
	require.Equal(t, http.StatusOK, b.do(http.MethodHead, "/get", "").code)
	require.Equal(t, fault.MethodNotAllowed, b.do(http.MethodPost, "/get", "").kind())
}

// TestServiceOf guards against a traffic split that does not follow the weights
// of the shares.
func TestServiceOf(t *testing.T) {
	b := newTestCaller(t)
	s := testSnapshot()
	s.Version++
	s.Routes[0].Split = []config.Share{{Service: "s", Weight: 3}, {Service: "none", Weight: 0}, {Service: "other", Weight: 1}}
	b.Apply(s)
	r := b.currentTable().Match(http.MethodPost, "h.example", "/book").Route
	var got []mesh.Service
	for i := range 4 {
		got = append(got, selectService(r, func(n int) int {
			require.Equal(t, 4, n)
			return i
		}))
	}
	require.Equal(t, []mesh.Service{"s", "s", "s", "other"}, got)
}
