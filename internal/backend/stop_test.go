package backend

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
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
