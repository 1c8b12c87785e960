package table

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// Config configures a Server.
type Config struct {
	Seed uint64 // seed of the random choices of faults
}

// Server is a stand-in of a table service. It implements http.Handler.
type Server struct {
	*inject.Injector

	mu     sync.RWMutex
	tables map[string]*tableStore
	tokens idempotencyTokens
}

// New returns a server without tables.
func New(cfg Config) *Server {
	s := &Server{tables: make(map[string]*tableStore)}
	s.Injector = inject.New(inject.Service{
		Handler:     http.HandlerFunc(s.serve),
		Operation:   operationName,
		Writes:      isWrite,
		Unavailable: func(w http.ResponseWriter) { writeError(w, serviceUnavailable()) },
		Throttled: func(w http.ResponseWriter) {
			writeError(w, newError("ProvisionedThroughputExceededException", "The level of configured provisioned throughput for the table was exceeded"))
		},
	}, cfg.Seed)
	return s
}

const targetPrefix = "DynamoDB_20120810."

func operationName(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
}

func isWrite(op string) bool {
	switch op {
	case "PutItem", "UpdateItem", "DeleteItem", "TransactWriteItems", "CreateTable":
		return true
	}
	return false
}

func serviceUnavailable() *apiError {
	e := newError("InternalServerError", "The service is unavailable")
	e.status = http.StatusServiceUnavailable
	return e
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	out, err := s.dispatch(r)
	if err != nil {
		writeError(w, toAPIError(err))
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) dispatch(r *http.Request) (any, error) {
	if r.Method != http.MethodPost || !strings.HasPrefix(r.Header.Get("X-Amz-Target"), targetPrefix) {
		return nil, newError("UnknownOperationException", "")
	}
	if !strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ") {
		return nil, newError("MissingAuthenticationTokenException", "Request is missing Authentication Token")
	}
	switch op := operationName(r); op {
	case "CreateTable":
		return decodeAndCall(r, s.createTable)
	case "DescribeTable":
		return decodeAndCall(r, s.describeTable)
	case "GetItem":
		return decodeAndCall(r, s.getItem)
	case "PutItem":
		return decodeAndCall(r, s.putItem)
	case "UpdateItem":
		return decodeAndCall(r, s.updateItem)
	case "DeleteItem":
		return decodeAndCall(r, s.deleteItem)
	case "Query":
		return decodeAndCall(r, s.query)
	case "TransactWriteItems":
		return decodeAndCall(r, s.transactWrite)
	default:
		return nil, newError("UnknownOperationException", "operation %q is not supported", op)
	}
}

// decodeAndCall decodes the body of r, calls f and returns its output.
func decodeAndCall[In, Out any](r *http.Request, f func(*http.Request, *In) (*Out, error)) (any, error) {
	var in In
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if err := json.Unmarshal(b, &in); err != nil {
		e := newError("", "%s", err)
		e.Type = "com.amazon.coral.service#SerializationException"
		return nil, e
	}
	out, err := f(r, &in)
	if err != nil {
		return nil, err
	}
	return out, nil
}

func writeError(w http.ResponseWriter, e *apiError) { writeJSON(w, e.status, e) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/x-amz-json-1.0")
	h.Set("X-Amz-Crc32", strconv.FormatUint(uint64(crc32.ChecksumIEEE(b)), 10))
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *Server) lookupTable(name string) (*tableStore, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if t := s.tables[name]; t != nil {
		return t, nil
	}
	return nil, resourceNotFound()
}

// readTime returns the time as of which r reads the table. It is in the past for
// eventually consistent reads if staleness is injected.
func readTime(r *http.Request, consistent bool) time.Time {
	now := time.Now()
	if consistent {
		return now
	}
	return now.Add(-inject.Staleness(r.Context()))
}
