package backend

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// TestQueuedAtStop guards against a queued request that a stopping gate admits
// although it cannot end before the node does, and against a late refusal of it.
func TestQueuedAtStop(t *testing.T) {
	running, release := make(chan string, 10), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		<-release
	}))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), func(c *Config) {
		c.Admission.Slots, c.Admission.TargetAware, c.Admission.FixedLimit = 1, true, true
	})
	one := `{"service":"reservasi","addr":"` + s.Listener.Addr().String() + `","slots":1,"connections":110,"state":"ready"}`
	require.Equal(t, http.StatusOK, r.announce(t, one).Code)
	requests := []*http.Request{r.request(t, http.MethodPost, "", time.Minute), r.request(t, http.MethodPost, "", time.Minute)}
	replies := make([]chan reply, len(requests))
	for i, q := range requests {
		replies[i] = make(chan reply, 1)
		go func() { replies[i] <- send(t, q) }()
		if i == 0 {
			<-running
		}
	}
	require.Eventually(t, func() bool { return r.Status().Queued == 1 }, 5*time.Second, time.Millisecond)
	r.Yield(time.Now().Add(10 * time.Second))
	select {
	case p := <-replies[1]:
		p.requireRefusal(t, fault.Draining, fault.NotRun)
	case <-time.After(time.Second):
		t.Error("the queued request is not refused at once")
	}
	close(release)
	require.Equal(t, http.StatusOK, (<-replies[0]).status)
	require.Empty(t, running, "the queued request was admitted")
	r.requireInvariants(t)
}

// TestQueuedAtStopOfSender guards against a queued request that outlasts the node which
// sent it, and against the refusal of requests of other nodes.
func TestQueuedAtStopOfSender(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), func(c *Config) {
		c.Admission.TargetAware, c.Admission.FixedLimit = true, true
	})
	one := `{"service":"reservasi","addr":"` + s.Listener.Addr().String() + `","slots":1,"connections":110,"state":"ready"}`
	require.Equal(t, http.StatusOK, r.announce(t, one).Code)
	replies := make(map[string]chan reply)
	for i, call := range []string{"running", "stops", "stays"} {
		q := r.request(t, http.MethodPost, "", time.Minute)
		q.Header.Set(mesh.CallHeader, call)
		replies[call] = make(chan reply, 1)
		answered := replies[call]
		go func() { answered <- send(t, q) }()
		require.Eventually(t, func() bool {
			st := r.Status()
			return st.InFlight+st.Queued == i+1
		}, 5*time.Second, time.Millisecond)
	}
	notice, err := http.NewRequest(http.MethodPost, r.url, strings.NewReader("running\nstops"))
	require.NoError(t, err)
	notice.Header.Set(mesh.WantHeader, mesh.WantEnd)
	notice.Header.Set(mesh.EndHeader, "5000")
	require.Equal(t, http.StatusNoContent, send(t, notice).status)
	(<-replies["stops"]).requireRefusal(t, fault.Draining, fault.NotRun)
	require.Equal(t, 1, r.Status().Queued)
	close(release)
	require.Equal(t, http.StatusOK, (<-replies["running"]).status)
	require.Equal(t, http.StatusOK, (<-replies["stays"]).status)
	r.requireInvariants(t)
}

// TestYieldingGateServesShortWork guards against a service whose only endpoint is beside
// a stopping node and that refuses requests which end in time but for their deadline.
func TestYieldingGateServesShortWork(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer s.Close()
	r := newTestGate(t, s.Listener.Addr().String(), nil)
	const left = 500 * time.Millisecond
	for range 20 {
		require.Equal(t, http.StatusOK, send(t, r.request(t, http.MethodPost, "", time.Second)).status)
	}
	time.Sleep(left) // longer requests would have been seen by now
	r.Yield(time.Now().Add(left))
	require.Equal(t, http.StatusOK, send(t, r.request(t, http.MethodPost, "", time.Minute)).status)
}
