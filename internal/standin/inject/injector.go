package inject

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// maxBodyBytes is the largest request body accepted.
const maxBodyBytes = 64 << 20

// Service describes the handler that an Injector adds faults to.
type Service struct {
	Handler http.Handler
	// Operation returns the operation name of a request.
	Operation func(*http.Request) string
	// Writes reports whether an operation changes state.
	Writes func(op string) bool
	// Unavailable and Throttled write the error responses of the service's
	// protocol.
	Unavailable, Throttled func(http.ResponseWriter)
}

// Status is the JSON form of an Injector.
type Status struct {
	Faults Faults           `json:"faults"`
	Counts map[string]int64 `json:"counts"` // requests received, by operation
	Failed map[string]int64 `json:"failed"` // requests ended by a fault, by fault
}

// Injector holds the current faults and the request counters of one service.
// It is an http.Handler that applies the faults to each request.
type Injector struct {
	svc Service

	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	changed chan struct{} // closed when faults change
	limiter *rate.Limiter
	counts  map[string]int64
	failed  map[string]int64
}

// New returns an Injector without faults. Its random choices are determined by
// seed.
func New(svc Service, seed uint64) *Injector {
	return &Injector{
		svc:     svc,
		rng:     rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
		counts:  make(map[string]int64),
		failed:  make(map[string]int64),
	}
}

// SetFaults replaces all faults by f. Requests that hang because of an earlier
// outage are evaluated again with f.
func (inj *Injector) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.setFaultsLocked(f)
	return nil
}

// setFaultsLocked must be called with mu held.
func (inj *Injector) setFaultsLocked(f Faults) {
	inj.faults = f
	inj.limiter = nil
	if f.Rate > 0 {
		inj.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	close(inj.changed)
	inj.changed = make(chan struct{})
}

// Status returns the current faults and counters.
func (inj *Injector) Status() Status {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return Status{Faults: inj.faults, Counts: maps.Clone(inj.counts), Failed: maps.Clone(inj.failed)}
}

// Count returns the number of requests of operation op received so far.
func (inj *Injector) Count(op string) int64 {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.counts[op]
}

type requestFaultsKey struct{}

// Staleness returns the age of the state that an eventually consistent read in
// a request with context ctx returns.
func Staleness(ctx context.Context) time.Duration {
	rf, _ := ctx.Value(requestFaultsKey{}).(requestFaults)
	return rf.staleness
}

// HasConflict reports whether a transaction in a request with context ctx fails
// with a conflict.
func HasConflict(ctx context.Context) bool {
	rf, _ := ctx.Value(requestFaultsKey{}).(requestFaults)
	return rf.conflict
}

// requestFaults holds the faults that apply to one request.
type requestFaults struct {
	outage                 Outage
	throttled              bool
	latency, responseDelay time.Duration
	loseResponse           bool
	corrupt                bool
	staleness              time.Duration
	conflict               bool
	changed                <-chan struct{}
}

// drawFaults returns the faults of one request. It is called again for a hanging
// request when the faults change; only the first call counts the request.
func (inj *Injector) drawFaults(op string, firstCall bool) requestFaults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if firstCall {
		inj.counts[op]++
	}
	f := inj.faults
	rf := requestFaults{changed: inj.changed}
	if !f.appliesTo(op) {
		return rf
	}
	if f.RequestLimit == 1 {
		inj.setFaultsLocked(Faults{})
	} else if f.RequestLimit > 1 {
		inj.faults.RequestLimit--
	}
	rf.outage = f.Outage
	rf.latency, rf.responseDelay = time.Duration(f.Latency), time.Duration(f.ResponseDelay)
	rf.staleness, rf.conflict = time.Duration(f.Staleness), inj.randBool(f.Conflict)
	rf.throttled = inj.randBool(f.Throttle) || inj.limiter != nil && !inj.limiter.Allow()
	rf.loseResponse = inj.svc.Writes(op) && inj.randBool(f.LoseResponse)
	rf.corrupt = !inj.svc.Writes(op) && inj.randBool(f.Corrupt)
	switch {
	case rf.outage != NoOutage:
		inj.failed[string(rf.outage)]++
	case rf.throttled:
		inj.failed["throttle"]++
	case rf.loseResponse:
		inj.failed["lose"]++
	case rf.corrupt:
		inj.failed["corrupt"]++
	}
	return rf
}

// randBool returns true with the given probability. It must be called with mu
// held.
func (inj *Injector) randBool(probability float64) bool {
	return probability > 0 && inj.rng.Float64() < probability
}

// ServeHTTP serves a request of the service and applies the current faults.
func (inj *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op := inj.svc.Operation(r)
	// net/http detects that the client disconnected only after the body was
	// read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rf := inj.drawFaults(op, true)
	for rf.outage == OutageHang {
		select {
		case <-r.Context().Done():
			return
		case <-rf.changed:
			if r.Context().Err() != nil {
				return
			}
			rf = inj.drawFaults(op, false)
		}
	}
	switch {
	case rf.outage == OutageReset:
		panic(http.ErrAbortHandler)
	case rf.outage == OutageError:
		inj.svc.Unavailable(w)
		return
	case rf.throttled:
		inj.svc.Throttled(w)
		return
	}
	time.Sleep(rf.latency)
	r = r.WithContext(context.WithValue(r.Context(), requestFaultsKey{}, rf))
	if !rf.loseResponse && !rf.corrupt && rf.responseDelay == 0 {
		inj.svc.Handler.ServeHTTP(w, r)
		return
	}
	resp := &bufferedResponse{header: make(http.Header), status: http.StatusOK}
	inj.svc.Handler.ServeHTTP(resp, r)
	sleepContext(r.Context(), rf.responseDelay)
	if rf.loseResponse {
		panic(http.ErrAbortHandler)
	}
	if rf.corrupt {
		resp.corruptBody()
	}
	resp.copyTo(w)
}

func sleepContext(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// bufferedResponse buffers a response so that it can be delayed, corrupted or
// dropped after the request has taken effect.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header         { return b.header }
func (b *bufferedResponse) WriteHeader(status int)      { b.status = status }
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// corruptBody changes the last byte of the body and removes the checksum
// headers.
func (b *bufferedResponse) corruptBody() {
	if p := b.body.Bytes(); len(p) > 0 {
		p[len(p)-1] ^= 1
	}
	maps.DeleteFunc(b.header, func(k string, _ []string) bool { return strings.HasPrefix(k, "X-Amz-Checksum") })
}

func (b *bufferedResponse) copyTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// Control returns a handler for the faults of the injectors, which are keyed by
// service name. GET returns their status as a JSON object. POST and PUT replace
// the faults of the services named in the JSON body {"NAME": FAULTS} and return
// the status.
func Control(injectors map[string]*Injector) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost || r.Method == http.MethodPut {
			if err := setFaultsFromRequest(injectors, r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		statuses := make(map[string]Status, len(injectors))
		for name, inj := range injectors {
			statuses[name] = inj.Status()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(statuses)
	})
}

func setFaultsFromRequest(injectors map[string]*Injector, r *http.Request) error {
	var faults map[string]Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&faults); err != nil {
		return err
	}
	for name, f := range faults {
		if injectors[name] == nil {
			return &unknownServiceError{name}
		}
		if err := f.Check(); err != nil {
			return err
		}
	}
	for name, f := range faults {
		if err := injectors[name].SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

type unknownServiceError struct{ name string }

func (e *unknownServiceError) Error() string { return "no service named " + e.name }
