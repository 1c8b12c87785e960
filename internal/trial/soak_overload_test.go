package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/wait"
)

const (
	// defaultOverloadTime is the duration of TestHostedSoakOverload.
	defaultOverloadTime = 15 * time.Second
	// maxOverload is the largest demand as a multiple of the capacity.
	maxOverload = 4
	// overloadNodes is the number of nodes, all but one of which take requests.
	overloadNodes = 4
	// closeSlack is the time in which the close of a connection may cross a request that
	// has just been sent.
	closeSlack = 200 * time.Millisecond
	// answerBound is the time from a request until it is answered: the timeout of its route
	// and half a second.
	answerBound = 9500 * time.Millisecond
)

// overloadSoak is an overload under planned stops, restarts, signals and changes of the
// configuration that overlap.
type overloadSoak struct {
	*overload

	mu       sync.Mutex
	rnd      *rand.Rand           // guarded by mu
	version  int                  // of the configuration, guarded by mu
	stopping map[*hostedNode]bool // stopped or started at the moment, guarded by mu
	results  []overloadResult     // guarded by mu
}

// overloadResult is what a client saw of one request.
type overloadResult struct {
	response
	node  *hostedNode
	start time.Time
	wrote time.Time // the request was sent, zero if it was not
	end   time.Time
	err   error
}

// TestHostedSoakOverload guards against requests that are read and then lost, refused
// although they run, or run twice, when nodes stop, restart and reload in an overload.
// LAVENDERRILL_TRIAL_SEED, LAVENDERRILL_TRIAL_TIME and LAVENDERRILL_TRIAL_NODES set another
// seed, duration and number of nodes.
func TestHostedSoakOverload(t *testing.T) {
	run, entries := seed(t), soakNodes(t, overloadNodes)-1
	if run == 1 {
		run = 2 // 259 requests were lost while they waited inside net/http
	}
	s := &overloadSoak{overload: newOverload(t, "haul", entries), rnd: rand.New(rand.NewPCG(run, 0)), version: 1, stopping: make(map[*hostedNode]bool)}
	duration := trialDuration(t, defaultOverloadTime)
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var senders, events sync.WaitGroup
	for _, n := range s.entries {
		factor := maxOverload * s.random() / float64(entries)
		senders.Go(func() { s.send(ctx, n, factor) })
	}
	for ctx.Err() == nil {
		events.Go(s.cause)
		_ = wait.For(ctx, time.Duration((0.2+1.5*s.random())*float64(time.Second))) // ends with the soak
	}
	senders.Wait()
	events.Wait()
	s.audit()
}

// random returns a random number in [0,1).
func (s *overloadSoak) random() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}

// cause stops, starts or signals a node, or changes the configuration.
func (s *overloadSoak) cause() {
	n := s.nodes[int(s.random()*float64(len(s.nodes)))]
	switch p := s.random(); {
	case p < 0.5:
		s.restart(n)
	case p < 0.75:
		_ = n.currentProcess().Signal(syscall.SIGHUP) // fails if the process has ended
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.version++
		s.putConfig(s.version, s.services()...)
	}
}

// restart stops n within the grace time and starts it again, unless that is under way.
func (s *overloadSoak) restart(n *hostedNode) {
	s.mu.Lock()
	busy := s.stopping[n]
	s.stopping[n] = true
	s.mu.Unlock()
	if busy {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), hostedGrace)
	defer cancel()
	if err := n.currentProcess().Stop(ctx); err != nil {
		s.t.Errorf("node %s: %v", n.ip, err)
	}
	n.start()
	s.eventually(10*time.Second, n.ready, "ready after the restart of "+n.ip)
	s.mu.Lock()
	s.stopping[n] = false
	s.mu.Unlock()
}

// send sends requests to n at the given multiple of the capacity on kept connections, also
// while n stops, and waits for their responses.
func (s *overloadSoak) send(ctx context.Context, n *hostedNode, factor float64) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 12 * time.Second}
	tick := time.NewTicker(time.Duration(float64(time.Second) / (factor * s.capacity)))
	defer tick.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for ctx.Err() == nil {
		pending.Go(func() {
			r := s.sendOnce(client, n)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, r)
		})
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// sendOnce sends a request that must not run twice.
func (s *overloadSoak) sendOnce(client *http.Client, n *hostedNode) overloadResult {
	r := overloadResult{node: n, start: time.Now()}
	r.id = fmt.Sprintf("%016x", requestNumber.Add(1))
	var mu sync.Mutex // the transport may still write when Do has returned
	trace := httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) {
		mu.Lock()
		defer mu.Unlock()
		if i.Err == nil {
			r.wrote = time.Now()
		}
	}}
	body := struct{ io.Reader }{http.NoBody} // cannot be sent again
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), &trace), http.MethodPost, "http://"+n.portAddr(0)+"/"+slowRoute+s.service+"/"+r.id, body)
	if err != nil {
		r.err = err
		return r
	}
	req.Host = "shop.example"
	req.Header.Set("Lavenderrill-Request-Id", r.id)
	req.Header.Set("Lavenderrill-Deadline-Ms", "11000")
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		r.status, r.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	}
	mu.Lock()
	defer mu.Unlock()
	r.end, r.err = time.Now(), err
	return r
}

// audit reports each request that was lost, falsely refused or run twice.
func (s *overloadSoak) audit() {
	runs := s.gate.server.Runs()
	counts := make(map[string]int)
	for _, r := range s.results {
		ran, took := runs[r.id], r.end.Sub(r.start)
		verdict := fmt.Sprint(r.status)
		switch {
		case ran > 1:
			verdict = "run twice"
		case r.err == nil && r.status == http.StatusOK && ran == 1:
		case r.err == nil && r.status == http.StatusServiceUnavailable && ran == 0 && took < answerBound:
		case r.err != nil && r.wrote.IsZero() && ran == 0:
			counts["not sent"]++
			continue
		case r.err != nil && r.end.Sub(r.wrote) < closeSlack && ran == 0:
			counts["crossed the close"]++
			continue
		default:
			verdict = "lost"
		}
		counts[verdict]++
		if verdict == "lost" || verdict == "run twice" {
			s.t.Errorf("%s: %s, sent to %s, status %d after %v, %d runs, error %v", r.id, verdict, r.node.ip, r.status, took, ran, r.err)
		}
	}
	s.t.Logf("%d requests: %v", len(s.results), counts)
	require.Positive(s.t, counts["200"])
	if s.t.Failed() {
		for _, n := range s.nodes {
			if b, err := os.ReadFile(n.currentProcess().Log); err == nil {
				s.t.Logf("log of %s: %d bytes in %s", n.ip, len(b), n.currentProcess().Log)
			}
		}
	}
}
