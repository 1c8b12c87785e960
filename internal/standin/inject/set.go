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

// maxBody is the largest request body accepted, in bytes.
const maxBody = 64 << 20

// Service describes the handler that a Set adds faults to.
type Service struct {
	Handler http.Handler
	// Operation names the operation of a request.
	Operation func(*http.Request) string
	// Writes reports whether an operation changes state.
	Writes func(op string) bool
	// Unavailable and Throttled write the error responses of the protocol.
	Unavailable, Throttled func(http.ResponseWriter)
}

// Status is the JSON form of a Set.
type Status struct {
	Faults Faults           `json:"faults"`
	Counts map[string]int64 `json:"counts"` // requests received, by operation
	Failed map[string]int64 `json:"failed"` // requests ended by a fault, by fault
}

// Injector holds the current faults and the request counters of one service.
type Injector struct {
	svc Service

	mu      sync.Mutex
	rnd     *rand.Rand
	faults  Faults
	changed chan struct{} // closed when faults change
	limit   *rate.Limiter
	counts  map[string]int64
	failed  map[string]int64
}

// New returns a Set without faults whose random choices follow from seed.
func New(svc Service, seed uint64) *Injector {
	return &Injector{
		svc:     svc,
		rnd:     rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
		counts:  make(map[string]int64),
		failed:  make(map[string]int64),
	}
}

// SetFaults replaces all faults by f. Requests that hang because of an earlier
// outage continue under f.
func (s *Injector) SetFaults(f Faults) error {
	if err := f.Check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(f)
	return nil
}

// set must be called with mu held.
func (s *Injector) set(f Faults) {
	s.faults = f
	s.limit = nil
	if f.Rate > 0 {
		s.limit = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Status returns the current faults and counters.
func (s *Injector) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status{Faults: s.faults, Counts: maps.Clone(s.counts), Failed: maps.Clone(s.failed)}
}

// Count returns the number of requests of operation op received so far.
func (s *Injector) Count(op string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

type planKey struct{}

// Staleness returns the age of the state that an eventually consistent read in a
// request with context ctx returns.
func Staleness(ctx context.Context) time.Duration {
	p, _ := ctx.Value(planKey{}).(plan)
	return p.stale
}

// HasConflict reports whether a transaction in a request with context ctx meets a
// conflict.
func HasConflict(ctx context.Context) bool {
	p, _ := ctx.Value(planKey{}).(plan)
	return p.conflict
}

// plan is what happens to one request.
type plan struct {
	outage        Outage
	throttled     bool
	latency, hold time.Duration
	lose          bool
	corrupt       bool
	stale         time.Duration
	conflict      bool
	changed       <-chan struct{}
}

func (s *Injector) plan(op string, first bool) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		s.counts[op]++
	}
	f := s.faults
	p := plan{changed: s.changed}
	if !f.covers(op) {
		return p
	}
	if f.RequestLimit == 1 {
		s.set(Faults{})
	} else if f.RequestLimit > 1 {
		s.faults.RequestLimit--
	}
	p.outage = f.Outage
	p.latency, p.hold = time.Duration(f.Latency), time.Duration(f.ResponseDelay)
	p.stale, p.conflict = time.Duration(f.Staleness), s.draw(f.Conflict)
	p.throttled = s.draw(f.Throttle) || s.limit != nil && !s.limit.Allow()
	p.lose = s.svc.Writes(op) && s.draw(f.LoseResponse)
	p.corrupt = !s.svc.Writes(op) && s.draw(f.Corrupt)
	switch {
	case p.outage != NoOutage:
		s.failed[string(p.outage)]++
	case p.throttled:
		s.failed["throttle"]++
	case p.lose:
		s.failed["lose"]++
	case p.corrupt:
		s.failed["corrupt"]++
	}
	return p
}

// draw must be called with mu held.
func (s *Injector) draw(share float64) bool {
	return share > 0 && s.rnd.Float64() < share
}

// ServeHTTP serves a request of the service under the current faults.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op := s.svc.Operation(r)
	// net/http notices that the client left only after the body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	p := s.plan(op, true)
	for p.outage == OutageHang {
		select {
		case <-r.Context().Done():
			return
		case <-p.changed:
			if r.Context().Err() != nil {
				return
			}
			p = s.plan(op, false)
		}
	}
	switch {
	case p.outage == OutageReset:
		panic(http.ErrAbortHandler)
	case p.outage == OutageError:
		s.svc.Unavailable(w)
		return
	case p.throttled:
		s.svc.Throttled(w)
		return
	}
	time.Sleep(p.latency)
	r = r.WithContext(context.WithValue(r.Context(), planKey{}, p))
	if !p.lose && !p.corrupt && p.hold == 0 {
		s.svc.Handler.ServeHTTP(w, r)
		return
	}
	b := &buffer{header: make(http.Header), status: http.StatusOK}
	s.svc.Handler.ServeHTTP(b, r)
	wait(r.Context(), p.hold)
	if p.lose {
		panic(http.ErrAbortHandler)
	}
	if p.corrupt {
		b.damage()
	}
	b.copyTo(w)
}

func wait(ctx context.Context, d time.Duration) {
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

// buffer keeps a response until the request has taken effect.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffer) Header() http.Header         { return b.header }
func (b *buffer) WriteHeader(status int)      { b.status = status }
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// damage changes the last byte of the body and removes the checksums.
func (b *buffer) damage() {
	if p := b.body.Bytes(); len(p) > 0 {
		p[len(p)-1] ^= 1
	}
	maps.DeleteFunc(b.header, func(k string, _ []string) bool { return strings.HasPrefix(k, "X-Amz-Checksum") })
}

func (b *buffer) copyTo(w http.ResponseWriter) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// Control returns a handler that serves the status of the named sets as a JSON
// object to GET, and replaces the faults of the sets named in the JSON object
// {"NAME": FAULTS} given to POST or PUT. Both answer with the status.
func Control(sets map[string]*Injector) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost || r.Method == http.MethodPut {
			if err := setAll(sets, r); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		all := make(map[string]Status, len(sets))
		for n, s := range sets {
			all[n] = s.Status()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(all)
	})
}

func setAll(sets map[string]*Injector, r *http.Request) error {
	var in map[string]Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return err
	}
	for n, f := range in {
		if sets[n] == nil {
			return &unknownError{n}
		}
		if err := f.Check(); err != nil {
			return err
		}
	}
	for n, f := range in {
		if err := sets[n].SetFaults(f); err != nil {
			return err
		}
	}
	return nil
}

type unknownError struct{ name string }

func (e *unknownError) Error() string { return "no service named " + e.name }
