package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/retry"
	"lavenderrill.dev/lavenderrill/internal/hop"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	reservedPrefix     = "Lavenderrill-"
	maxRequestIDLength = 64 // maximum length of a request id from a caller
)

// identify sets the request id and depth of q, removes reserved headers, and
// refuses requests that cannot be forwarded.
func (c *Caller) identify(ctx context.Context, q *call) (context.Context, error) {
	h := q.in.Header
	ids := h[mesh.RequestHeader]
	q.id = c.requestID(ids)
	q.nonce = strconv.FormatUint(rand.Uint64(), 36)
	q.w.Header()[mesh.RequestHeader] = []string{string(q.id)}
	depth, deadline := h.Get(mesh.DepthHeader), h.Get(mesh.DeadlineHeader)
	removeReserved(h)
	q.limits = c.cfg.limits()
	size := headerSize(q.in)
	if size > q.limits.MaxHeader {
		q.w.Header()["Connection"] = closeValue
		return ctx, fault.Newf(fault.HeaderTooLarge, "header has %d bytes, want at most %d", size, q.limits.MaxHeader)
	}
	if e := c.unavailable(); e != nil {
		return ctx, e
	}
	if e := hop.ValidateRequest(q.in, q.limits.MaxBody); e != nil {
		return ctx, e
	}
	if c.cfg.ForwardIDs && (len(ids) != 1 || q.id == "") {
		return ctx, fault.Newf(fault.BadRequest, "%d request ids, want one that is not empty", len(ids))
	}
	if e := refuseTrace(q.in); e != nil {
		return ctx, e
	}
	n, err := parseCount(depth)
	if err != nil {
		return ctx, fault.New(fault.BadRequest, mesh.DepthHeader+" is not a number")
	}
	if n+1 > retry.MaxDepth {
		return ctx, fault.Newf(fault.DepthExceeded, "call is more than %d levels deep", retry.MaxDepth)
	}
	q.depth = n
	ms, err := parseCount(deadline)
	if err != nil {
		return ctx, fault.New(fault.BadRequest, mesh.DeadlineHeader+" is not a number")
	}
	if deadline != "" {
		q.deadline = q.arrived.Add(time.Duration(ms) * time.Millisecond)
		q.callerDeadline = q.deadline
	}
	if c.cfg.Memory != nil {
		if e := c.reserve(q, requestCost(q, size)); e != nil {
			return ctx, e
		}
	}
	return ctx, nil
}

// unavailable returns the refusal of all requests while the node stops or is not ready.
func (c *Caller) unavailable() *fault.Error {
	if d := c.shutdownRetryAfter.Load(); d > 0 {
		e := fault.New(fault.Draining, "node stops")
		e.RetryAfter = time.Duration(d)
		return e
	}
	if !c.cfg.Ready() {
		return fault.New(fault.NotReady, "node is not ready")
	}
	return nil
}

// refuseTrace refuses TRACE, since its response would disclose the hop headers with the
// token.
func refuseTrace(r *http.Request) *fault.Error {
	if r.Method == http.MethodTrace {
		return fault.New(fault.MethodNotAllowed, "TRACE is not supported")
	}
	return nil
}

// headerSize returns the size of the header of r in bytes, including the
// request line.
func headerSize(r *http.Request) int {
	const separators = 4 // colon, space and line end of each field
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v) + separators
		}
	}
	return n
}

// requestID returns the id of a request that has ids: the first one, unless it is not valid
// and may be replaced by a new one.
func (c *Caller) requestID(ids []string) mesh.RequestID {
	s := ""
	if len(ids) > 0 {
		s = ids[0]
	}
	if c.cfg.ForwardIDs || validID(s) {
		return mesh.RequestID(s)
	}
	return mesh.RequestID(uuid.NewString())
}

func validID(s string) bool {
	if s == "" || len(s) > maxRequestIDLength {
		return false
	}
	for _, c := range []byte(s) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '-', c == '_', c == '.', c == ':':
		default:
			return false
		}
	}
	return true
}

// removeReserved deletes all headers of the mesh except those in keep. Those
// that a caller may set have been read before.
func removeReserved(h http.Header, keep ...string) {
	for k := range h {
		if strings.HasPrefix(k, reservedPrefix) && !slices.Contains(keep, k) {
			delete(h, k)
		}
	}
}

// parseCount parses a decimal number below 1<<30; an empty s is 0.
func parseCount(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(s, 10, 30)
	return int(n), err
}
