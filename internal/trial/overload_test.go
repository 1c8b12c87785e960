package trial

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/platform/standin"
)

// overloadTarget is the target latency of the requests in an overload.
const overloadTarget = 3 * time.Second

// overload is a mesh in which requests enter at some nodes, and the only backend server of
// their service is beside another one.
type overload struct {
	*hostedMesh
	entries  []*hostedNode
	gate     *hostedNode
	service  string
	capacity float64 // requests that the backend server ends per second

	senders   sync.WaitGroup
	mu        sync.Mutex
	responses []overloadResponse // guarded by mu
}

// overloadResponse is a response with the time from its request to its end.
type overloadResponse struct {
	response
	latency time.Duration
}

func newOverload(t *testing.T, service string, entries int) *overload {
	return newLimitedOverload(t, service, entries, 0)
}

// newLimitedOverload is newOverload with a limit on the descriptors of the gate, or none if 0.
func newLimitedOverload(t *testing.T, service string, entries, gateFDs int) *overload {
	const (
		slots = 18
		work  = 200 * time.Millisecond
	)
	h := newHostedMesh(t)
	h.slowTarget = overloadTarget
	o := &overload{hostedMesh: h, service: service, capacity: slots / work.Seconds()}
	for i := range entries {
		o.entries = append(o.entries, h.addNode(i, "look"))
	}
	h.maxFDs = gateFDs
	o.gate = h.addNode(entries, service)
	h.configure(o.services()...)
	o.gate.server.SetFaults(standin.Faults{Slots: slots, Queue: 4 * slots})
	o.gate.server.SetServiceTime(work)
	return o
}

// services returns the services of the configuration.
func (o *overload) services() []string { return []string{"look", o.service, slowRoute + o.service} }

// sendFor sends requests to the first entry at the given multiple of the capacity for d,
// without waiting for their responses.
func (o *overload) sendFor(ctx context.Context, factor float64, d time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	tick := time.NewTicker(time.Duration(float64(time.Second) / (factor * o.capacity)))
	defer tick.Stop()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; <-tick.C {
		o.senders.Go(func() {
			start := time.Now()
			r := o.entries[0].sendWith(client, http.MethodGet, "/"+slowRoute+o.service+"/")
			o.mu.Lock()
			defer o.mu.Unlock()
			o.responses = append(o.responses, overloadResponse{r, time.Since(start)})
		})
	}
}

// counts waits for all responses and returns their number by status.
func (o *overload) counts() map[int]int {
	o.senders.Wait()
	n := make(map[int]int)
	for _, r := range o.responses {
		n[r.status]++
	}
	return n
}

// fewFDs is a limit on the descriptors of a gate that allows it 80 connections of other nodes.
const fewFDs = 200

// TestHostedStopInOverload guards against a stop that closes the connections of requests
// which wait for a connection to a gate, or for the gate to accept it.
func TestHostedStopInOverload(t *testing.T) {
	for _, fds := range []int{0, fewFDs} {
		t.Run(strconv.Itoa(fds), func(t *testing.T) { stopInOverload(newLimitedOverload(t, "survey", 1, fds)) })
	}
}

func stopInOverload(o *overload) {
	t := o.t
	o.sendFor(t.Context(), 2, 4*time.Second)
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), hostedGrace)
		defer cancel()
		stopped <- o.entries[0].process.Stop(ctx)
	}()
	o.sendFor(t.Context(), 2, 2*time.Second)
	require.NoError(t, <-stopped)
	counts := o.counts()
	t.Logf("responses by status: %v", counts)
	runs := o.gate.server.Runs()
	for _, r := range o.responses {
		switch r.status {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			require.Zero(t, runs[r.id], "%s was refused and ran", r.id)
			require.NotEmpty(t, r.retryAfter)
		default:
			t.Errorf("%s: status %d after %v, ran %d times", r.id, r.status, r.latency, runs[r.id])
		}
	}
}

// TestHostedOverload guards against an overload in which the backend server runs requests
// whose time is over, so that fewer are answered in time than at capacity.
func TestHostedOverload(t *testing.T) {
	const (
		duration   = 6 * time.Second
		minInTime  = 0.7 // share of what the backend server could end in time
		refusalMax = overloadTarget / 2
	)
	for _, factor := range []float64{2, 4} {
		o := newOverload(t, "survey", 1)
		o.sendFor(t.Context(), factor, duration)
		counts := o.counts()
		inTime := 0
		for _, r := range o.responses {
			switch r.status {
			case http.StatusOK:
				if r.latency <= overloadTarget {
					inTime++
				}
			case http.StatusServiceUnavailable:
				if r.latency > refusalMax {
					t.Errorf("%s was refused after %v", r.id, r.latency)
				}
			default:
				t.Errorf("%s: status %d after %v", r.id, r.status, r.latency)
			}
		}
		t.Logf("%g times the capacity: %d in time, responses by status %v", factor, inTime, counts)
		require.Greater(t, float64(inTime), minInTime*o.capacity*(duration+overloadTarget).Seconds())
	}
}

// TestHostedUnusedConnections guards against unused connections of some nodes that fill the
// listener of a gate, so that requests of other nodes wait in the kernel until these time out.
func TestHostedUnusedConnections(t *testing.T) {
	const (
		entries = 4
		burst   = 30 // requests of an entry at once; the gate accepts 80 connections
		bound   = 3 * time.Second
	)
	o := newLimitedOverload(t, "survey", entries, fewFDs)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 12 * time.Second}
	for i, e := range o.entries {
		responses := make(chan overloadResponse, burst)
		for range burst {
			go func() {
				start := time.Now()
				r := e.sendWith(client, http.MethodGet, "/"+slowRoute+o.service+"/")
				responses <- overloadResponse{r, time.Since(start)}
			}()
		}
		for range burst {
			r := <-responses
			require.Equal(t, http.StatusOK, r.status, "entry %d, after %v", i, r.latency)
			require.Less(t, r.latency, bound, "entry %d", i)
		}
	}
}
