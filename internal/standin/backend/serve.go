package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// contentSize is the length of immutable content without the size parameter.
const contentSize = 1 << 20

// contentTime is the constant modification time of immutable content.
var contentTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, s.health)
	mux.HandleFunc("GET "+loadPath, s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	if s.State() != Ready {
		status = http.StatusServiceUnavailable
	}
	if h := s.behavior().Health; h != 0 {
		status = h
	}
	w.WriteHeader(status)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := float64(s.running.Load()) / float64(s.cfg.Slots)
	if l := s.behavior().Load; l != nil {
		load = *l
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]float64{"load": load})
}

// serve runs one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	b := s.behavior()
	id := mesh.RequestID(r.Header.Get(mesh.RequestHeader))
	if b.WrongID {
		w.Header().Set(mesh.RequestHeader, string(id)+"-other")
	} else if id != "" {
		w.Header().Set(mesh.RequestHeader, string(id))
	}
	q := r.URL.Query()
	job, err := s.parse(r, q, b)
	if err != nil {
		notRun(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	if s.draw() < b.Shed || !s.acquire(ctx) {
		s.shed.Add(1)
		notRun(w, http.StatusServiceUnavailable, "shed")
		return
	}
	defer s.release()
	s.run(ctx, w, r, q, job)
}

// job is what a request asks for.
type job struct {
	time     time.Duration
	size     int
	truncate int
}

func (s *Server) parse(r *http.Request, q url.Values, b Behavior) (job, error) {
	j := job{size: b.Size, truncate: b.Truncate}
	if immutable(r.URL.Path) {
		j.size = contentSize
	}
	t := b.ServiceTime
	if v := q.Get("time"); v != "" {
		var err error
		if t, err = ParseServiceTime(v); err != nil {
			return job{}, err
		}
	}
	j.time = s.sample(t)
	if v := q.Get("size"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxBody {
			return job{}, strconv.ErrRange
		}
		j.size = n
	}
	return j, nil
}

func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(fault.RunHeader, string(fault.NotRun))
	http.Error(w, reason, status)
}

// deadline returns the context of r with the deadline of its header.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(mesh.DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// run executes a request that holds a slot.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, q url.Values, j job) {
	seq := s.journal.start(Execution{
		Request:        mesh.RequestID(r.Header.Get(mesh.RequestHeader)),
		Attempt:        r.Header.Get(mesh.AttemptHeader),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Depth:          r.Header.Get(mesh.DepthHeader),
		Service:        mesh.Service(r.Header.Get(mesh.ServiceHeader)),
		Route:          r.Header.Get(mesh.RouteHeader),
		Version:        r.Header.Get(mesh.VersionHeader),
		BackendService: s.cfg.Service,
		Started:        time.Now(),
		Draining:       s.State() == Draining,
	})
	// The end of the execution is recorded before the response is complete, so
	// that a caller that has the response finds it in the journal.
	_, err := io.Copy(io.Discard, r.Body)
	if err == nil {
		err = wait.For(ctx, j.time)
	}
	if err != nil {
		s.journal.finish(seq, Canceled)
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	if err := s.nested(ctx, r, q); err != nil {
		s.journal.finish(seq, Failed)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.journal.finish(seq, Done)
	if immutable(r.URL.Path) {
		s.content(w, r, j)
		return
	}
	body := ResponseBody(r.Header.Get(mesh.RequestHeader), j.size)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if !q.Has("chunked") {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.Set(DigestHeader, FormatDigest(body))
	if r.Method == http.MethodHead {
		return
	}
	if j.truncate > 0 && j.truncate < len(body) {
		abort(w, body[:j.truncate])
	}
	_, _ = w.Write(body)
	if q.Has("chunked") {
		_ = http.NewResponseController(w).Flush() // net/http sets the length of short bodies otherwise
	}
}

func immutable(path string) bool {
	return strings.Contains(path+"/", "/content/")
}

// content serves the immutable body of the request's path.
func (s *Server) content(w http.ResponseWriter, r *http.Request, j job) {
	body := s.immutable.get(r.URL.Path, j.size)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(DigestHeader, body.digest)
	h.Set("Etag", `"`+mesh.DigestOf([]byte(body.digest)).String()[:32]+`"`)
	if j.truncate > 0 && j.truncate < len(body.bytes) && r.Method == http.MethodGet {
		w = &truncated{ResponseWriter: w, left: j.truncate}
	}
	http.ServeContent(w, r, "", contentTime, bytes.NewReader(body.bytes))
}

// abort sends a part of a body and closes the connection.
func abort(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncated closes the connection after left bytes of the body.
type truncated struct {
	http.ResponseWriter
	left int
}

func (t *truncated) Write(b []byte) (int, error) {
	if len(b) >= t.left {
		abort(t.ResponseWriter, b[:t.left])
	}
	t.left -= len(b)
	return t.ResponseWriter.Write(b)
}
