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

// defaultContentBytes is the length of immutable content without the size
// parameter.
const defaultContentBytes = 1 << 20

// contentModTime is the modification time of immutable content.
var contentModTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

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

// serve handles one request.
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
	params, err := s.parseParams(r, q, b)
	if err != nil {
		writeNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if s.randFloat() < b.Shed || !s.acquireSlot(ctx) {
		s.shed.Add(1)
		writeNotRun(w, http.StatusServiceUnavailable, "shed")
		return
	}
	defer s.releaseSlot()
	s.execute(ctx, w, r, q, params)
}

// requestParams holds the parameters of one execution.
type requestParams struct {
	serviceTime   time.Duration
	sizeBytes     int
	truncateBytes int
}

func (s *Server) parseParams(r *http.Request, q url.Values, b Behavior) (requestParams, error) {
	params := requestParams{sizeBytes: b.Size, truncateBytes: b.Truncate}
	if isImmutable(r.URL.Path) {
		params.sizeBytes = defaultContentBytes
	}
	t := b.ServiceTime
	if v := q.Get("time"); v != "" {
		var err error
		if t, err = ParseServiceTime(v); err != nil {
			return requestParams{}, err
		}
	}
	params.serviceTime = s.sampleServiceTime(t)
	if v := q.Get("size"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 || n > maxBodyBytes {
			return requestParams{}, strconv.ErrRange
		}
		params.sizeBytes = n
	}
	return params, nil
}

// writeNotRun refuses a request and marks it as not executed.
func writeNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(fault.RunHeader, string(fault.NotRun))
	http.Error(w, reason, status)
}

// requestContext returns the context of r with the deadline of its header, if
// any.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(mesh.DeadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// execute runs a request that holds a slot.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, q url.Values, params requestParams) {
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
	// The end of the execution is recorded before the response is sent, so that
	// a caller that has the response finds the outcome in the journal.
	_, err := io.Copy(io.Discard, r.Body)
	if err == nil {
		err = wait.For(ctx, params.serviceTime)
	}
	if err != nil {
		s.journal.finish(seq, Canceled)
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
		return
	}
	if err := s.callNested(ctx, r, q); err != nil {
		s.journal.finish(seq, Failed)
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	s.journal.finish(seq, Done)
	if isImmutable(r.URL.Path) {
		s.serveContent(w, r, params)
		return
	}
	body := ResponseBody(r.Header.Get(mesh.RequestHeader), params.sizeBytes)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	if !q.Has("chunked") {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	h.Set(DigestHeader, FormatDigest(body))
	if r.Method == http.MethodHead {
		return
	}
	if params.truncateBytes > 0 && params.truncateBytes < len(body) {
		writeAndAbort(w, body[:params.truncateBytes])
	}
	_, _ = w.Write(body)
	if q.Has("chunked") {
		_ = http.NewResponseController(w).Flush() // otherwise net/http sets Content-Length for short bodies
	}
}

func isImmutable(path string) bool {
	return strings.Contains(path+"/", "/content/")
}

// serveContent serves the immutable body of the request's path.
func (s *Server) serveContent(w http.ResponseWriter, r *http.Request, params requestParams) {
	body := s.cache.get(r.URL.Path, params.sizeBytes)
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set(DigestHeader, body.digest)
	h.Set("Etag", `"`+mesh.DigestOf([]byte(body.digest)).String()[:32]+`"`)
	if params.truncateBytes > 0 && params.truncateBytes < len(body.bytes) && r.Method == http.MethodGet {
		w = &truncatingWriter{ResponseWriter: w, remainingBytes: params.truncateBytes}
	}
	http.ServeContent(w, r, "", contentModTime, bytes.NewReader(body.bytes))
}

// writeAndAbort sends part of a body and closes the connection.
func writeAndAbort(w http.ResponseWriter, part []byte) {
	_, _ = w.Write(part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// truncatingWriter closes the connection after remainingBytes bytes of the
// body.
type truncatingWriter struct {
	http.ResponseWriter
	remainingBytes int
}

func (t *truncatingWriter) Write(b []byte) (int, error) {
	if len(b) >= t.remainingBytes {
		writeAndAbort(t.ResponseWriter, b[:t.remainingBytes])
	}
	t.remainingBytes -= len(b)
	return t.ResponseWriter.Write(b)
}
