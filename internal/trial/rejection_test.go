package trial

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/platform/standin"
)

// rejectionTrial is a deployment whose backend servers repeat rejections, and its traffic.
type rejectionTrial struct {
	servers     int // nodes beside a backend server of service book
	callers     int // nodes that receive the requests of clients; their service is look
	serviceTime time.Duration
	rate        float64          // requests of all clients per second
	faults      []standin.Faults // of the backend servers in turn
}

var rejectionTrials = []struct {
	name string
	rejectionTrial
}{
	{"few slow servers", rejectionTrial{servers: 3, callers: 2, serviceTime: 250 * time.Millisecond, rate: 50, faults: []standin.Faults{
		{Slots: 8, Queue: 2, Spread: 0.5, Rejected: 0.5, Repeated: 1},
	}}},
	{"many fast servers", rejectionTrial{servers: 6, callers: 4, serviceTime: 40 * time.Millisecond, rate: 100, faults: []standin.Faults{
		{Slots: 4, Queue: 2, Spread: 0.5, Rejected: 0.5, Repeated: 1},
	}}},
	{"servers with other rejections", rejectionTrial{servers: 6, callers: 4, serviceTime: 40 * time.Millisecond, rate: 100, faults: []standin.Faults{
		{Rejected: 0.5, Repeated: 1, RejectionBody: true},
		{Rejected: 0.5, Repeated: 1, RepeatAfterRun: true},
		{Rejected: 0.5, Repeated: 1, RejectionStatus: http.StatusTooManyRequests},
		{Rejected: 0.2, Repeated: 1, RepeatStatus: http.StatusMisdirectedRequest},
		{Rejected: 0.5, Repeated: 1, RepeatWithoutID: 1},
		{Rejected: 0.5, Repeated: 1, RejectionTime: 20 * time.Millisecond},
	}}},
}

// TestLateRejectionCopies guards against requests that are refused as not run, or sent to
// a second backend server, although they ran: the answer was the rejection of another.
func TestLateRejectionCopies(t *testing.T) {
	chosen := seed(t)
	for _, c := range rejectionTrials {
		t.Run(c.name, func(t *testing.T) {
			o := c.run(t, chosen, trialDuration(t, 2*time.Second))
			t.Log(o)
			require.NotZero(t, o.repeated, "rejections that were written once more")
			require.Empty(t, o.violations())
		})
	}
}

// run plays c and returns what clients and backend servers saw.
func (c rejectionTrial) run(t *testing.T, seed uint64, d time.Duration) *rejectionOutcome {
	services := append(slices.Repeat([]string{"book"}, c.servers), slices.Repeat([]string{"look"}, c.callers)...)
	h := startHostedMesh(t, services...)
	h.configure("book", "look")
	backends, callers := h.nodes[:c.servers], h.nodes[c.servers:]
	for i, n := range backends {
		f := c.faults[i%len(c.faults)]
		f.Seed = seed + uint64(i)
		n.server.SetFaults(f)
		n.server.SetServiceTime(c.serviceTime)
		require.NoError(t, n.sendHeartbeat()) // reports the slots
	}
	responses := h.sendBookings(callers, c.rate, d, rand.New(rand.NewPCG(seed, seed)))
	time.Sleep(time.Second) // a refused request must not run later either
	return newRejectionOutcome(h, backends, responses)
}

// sendBookings sends unsafe requests to nodes for d and returns the responses.
func (h *hostedMesh) sendBookings(nodes []*hostedNode, rate float64, d time.Duration, rnd *rand.Rand) []response {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(h.t.Context(), d)
	defer cancel()
	var mu sync.Mutex
	var responses []response
	var pending sync.WaitGroup
	for wait.For(ctx, time.Duration(rnd.ExpFloat64()/rate*float64(time.Second))) == nil {
		n, chunked := nodes[rnd.IntN(len(nodes))], rnd.IntN(2) == 0
		pending.Go(func() {
			r := n.sendBooking(client, chunked)
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, r)
		})
	}
	pending.Wait()
	return responses
}

const bookingBody = "one seat"

// sendBooking sends one unsafe request, with a body in chunks or with a length.
func (n *hostedNode) sendBooking(c *http.Client, chunked bool) response {
	var body io.Reader = strings.NewReader(bookingBody)
	if chunked {
		body = struct{ io.Reader }{body} // hides the length
	}
	return n.sendBody(c, http.MethodPost, "/book/", body)
}

// rejectionOutcome compares the responses of clients with the runs at backend servers.
type rejectionOutcome struct {
	statuses           map[int]int
	rejected, repeated int      // events of all backend servers
	refused, twice     []string // requests that were refused and ran, and that ran more than once
	mixed              []string // requests with a success that is not the one of their run
	causes             map[string]int
	traces             []string       // of the wrong refusals at gates
	mismatches         map[int]int    // connections by the number of answers to another request
	counters           map[string]int // of the nodes
}

func newRejectionOutcome(h *hostedMesh, backends []*hostedNode, responses []response) *rejectionOutcome {
	o := &rejectionOutcome{statuses: map[int]int{}, causes: map[string]int{}, counters: map[string]int{}}
	runs := map[string]int{}
	for _, n := range backends {
		for id, k := range n.server.Runs() {
			runs[id] += k
		}
		for _, e := range n.server.Events() {
			switch e.Kind {
			case standin.Rejected:
				o.rejected++
			case standin.Repeated:
				o.repeated++
			}
		}
	}
	log := readGateLog(h.t, backends)
	o.mismatches = log.mismatches()
	for _, r := range responses {
		o.statuses[r.status]++
		if r.status == http.StatusOK && (runs[r.id] == 0 || r.body != fmt.Sprintf("book /book/%s %s", r.id, bookingBody)) {
			o.mixed = append(o.mixed, r.id)
		}
		refused := runs[r.id] > 0 && statesNotRun(r.status)
		twice := runs[r.id] > 1
		if refused {
			o.refused = append(o.refused, r.id)
		}
		if twice {
			o.twice = append(o.twice, r.id)
		}
		if refused || twice {
			cause, trace := log.explain(r.id, backends)
			o.causes[cause]++
			o.traces = append(o.traces, fmt.Sprintf("%s: client got %d, runs %d: %s%s", r.id, r.status, runs[r.id], cause, trace))
		}
	}
	for _, n := range h.nodes {
		n.addCounters(o.counters, "gate_answers", "invariant_broken", "caller_retry")
	}
	return o
}

// violations returns one line for each rule that is broken.
func (o *rejectionOutcome) violations() []string {
	var out []string
	for _, v := range []struct {
		text string
		ids  []string
	}{
		{"REFUSED: refused as not run, and ran", o.refused},
		{"TWICE: not idempotent, and ran more than once", o.twice},
		{"MIXED: success of another request", o.mixed},
	} {
		if len(v.ids) > 0 {
			out = append(out, fmt.Sprintf("%s: %d requests, such as %v", v.text, len(v.ids), v.ids[:min(5, len(v.ids))]))
		}
	}
	return out
}

// statesNotRun reports whether s promises that the request has not run and never will.
func statesNotRun(s int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, s)
}

// maxTraces is the number of wrong refusals that are printed.
const maxTraces = 12

// String formats o for a test log.
func (o *rejectionOutcome) String() string {
	var b strings.Builder
	refused, twice := len(o.refused), len(o.twice)
	fmt.Fprintf(&b, "statuses %v; backend servers rejected %d, repeated %d rejections\n", o.statuses, o.rejected, o.repeated)
	fmt.Fprintf(&b, "REFUSED %d, TWICE %d, TWICE/(REFUSED+TWICE) %.3f\n", refused, twice, float64(twice)/max(float64(refused+twice), 1))
	fmt.Fprintf(&b, "causes %v\nconnections by answers to another request: %v\n", o.causes, o.mismatches)
	for _, k := range slices.Sorted(maps.Keys(o.counters)) {
		fmt.Fprintf(&b, "%s %d\n", k, o.counters[k])
	}
	for _, s := range o.traces[:min(len(o.traces), maxTraces)] {
		fmt.Fprintln(&b, s)
	}
	return b.String()
}

// gateLine is a log line about a request that a gate refused.
type gateLine struct {
	Msg, Node, Request, Run, Reason, Answered, Instance string
	Status                                              int
	Connection                                          struct{ ID, Requests, Early int }
}

type gateLog []gateLine

func readGateLog(t *testing.T, nodes []*hostedNode) gateLog {
	var log gateLog
	for _, n := range nodes {
		b, err := os.ReadFile(n.process.Log)
		require.NoError(t, err)
		for s := bufio.NewScanner(bytes.NewReader(b)); s.Scan(); {
			var l gateLine
			if json.Unmarshal(s.Bytes(), &l) == nil && strings.HasPrefix(l.Msg, "request refused at the gate") {
				log = append(log, l)
			}
		}
	}
	return log
}

// mismatches returns the number of connections by the number of their answers that named
// another request.
func (log gateLog) mismatches() map[int]int {
	type conn struct {
		node string
		id   int
	}
	byConn := map[conn]int{}
	for _, l := range log {
		if l.Answered != "" && l.Answered != l.Request {
			byConn[conn{l.Node, l.Connection.ID}]++
		}
	}
	out := map[int]int{}
	for _, k := range byConn {
		out[k]++
	}
	return out
}

// explain returns why a request that ran was refused as not run, and the lines that show
// it. Lines that the sampled log lacks are replaced by the record of the backend server.
func (log gateLog) explain(request string, backends []*hostedNode) (cause, trace string) {
	for _, l := range log {
		if l.Request != request {
			continue
		}
		trace += fmt.Sprintf("\n    %s %s: connection %d, request %d on it, early %d, status %d, answered %q",
			l.Node, l.Run, l.Connection.ID, l.Connection.Requests, l.Connection.Early, l.Status, l.Answered)
		if l.Run != string(fault.NotRun) || l.Connection.ID == 0 || l.Answered == request {
			continue
		}
		switch {
		case l.Answered == "" && l.Status != 0:
			cause = cmp.Or(cause, "rejection without an id")
		case l.Answered == "":
			cause = cmp.Or(cause, "no answer")
		default:
			cause = cmp.Or(cause, "rejection of another request: "+log.origin(l, backends))
		}
	}
	if cause != "" {
		return cause, trace
	}
	for _, n := range backends {
		for _, e := range n.server.Events() {
			if e.Kind == standin.Repeated && e.Due == request {
				return "not in the sampled log; a repeated rejection was written", trace
			}
		}
	}
	return "not known", trace
}

// origin returns whether the backend server had written the rejection that l shows once
// more, or whether it was the first one and the connection was out of step.
func (log gateLog) origin(l gateLine, backends []*hostedNode) string {
	for _, n := range backends {
		for _, e := range n.server.Events() {
			if e.Request == l.Answered && e.Kind == standin.Repeated && e.Due == l.Request {
				return "repeated"
			}
		}
	}
	return "answered one request late"
}

// addCounters adds the counters of n whose names begin with one of prefixes.
func (n *hostedNode) addCounters(sum map[string]int, prefixes ...string) {
	resp, err := http.Get("http://" + n.portAddr(metricsPortOffset))
	require.NoError(n.h.t, err)
	defer resp.Body.Close()
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		name, value, _ := strings.Cut(s.Text(), " ")
		for _, p := range prefixes {
			if v, err := strconv.Atoi(value); err == nil && strings.HasPrefix(name, p) {
				sum[name] += v
			}
		}
	}
}
