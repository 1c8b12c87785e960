package trial

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Request is a request that a caller sends.
type Request struct {
	Method string // GET if empty
	Host   string
	Path   string // with query
	ID     mesh.RequestID
	Key    string // Idempotency-Key
	Body   string
	// Idempotent allows the request to run more than once.
	Idempotent bool
}

// Result is the outcome of a request as its caller sees it.
type Result struct {
	Request Request
	Node    string // name of the node called
	Status  int    // 0 if there was no response
	Kind    fault.Kind
	Run     fault.RunState
	Reason  string // of a refusal
	Version string
	Size    int   // bytes of the body received
	Err     error // nil if a complete response was received and checked
	Begin   time.Time
	Took    time.Duration
}

// OK reports whether the request succeeded with a complete, matching response.
func (r Result) OK() bool { return r.Err == nil && r.Status/100 == 2 }

// NotRun reports whether the response says that the request did not run.
func (r Result) NotRun() bool { return r.Run == fault.NotRun }

// Caller sends requests to nodes. It never sends a request twice.
type Caller struct {
	client *http.Client
}

// NewCaller returns a Caller that keeps up to conns idle connections per node.
func NewCaller(conns int) *Caller {
	return &Caller{client: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: conns, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// errOtherRequest is returned for a response with the id of another request.
var errOtherRequest = errors.New("response carries the id of another request")

// Call sends q to n and checks that the response is complete and belongs to q.
func (c *Caller) Call(ctx context.Context, n *Node, q Request) Result {
	res := Result{Request: q, Node: n.Name, Begin: time.Now()}
	res.Err = c.call(ctx, n.Addrs().Caller, q, &res)
	res.Took = time.Since(res.Begin)
	return res
}

func (c *Caller) call(ctx context.Context, addr string, q Request, res *Result) error {
	method := q.Method
	if method == "" {
		method = http.MethodGet
	}
	var body io.Reader
	if method != http.MethodGet && method != http.MethodHead {
		// Without GetBody, http.Transport cannot resend a request with an
		// Idempotency-Key.
		body = struct{ io.Reader }{strings.NewReader(q.Body)}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+q.Path, body)
	if err != nil {
		return err
	}
	r.Host = q.Host
	if body != nil {
		r.ContentLength = int64(len(q.Body))
		if q.Body == "" {
			r.ContentLength = -1
		}
	}
	r.Header.Set(mesh.RequestHeader, string(q.ID))
	if q.Key != "" {
		r.Header.Set("Idempotency-Key", q.Key)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	res.Kind = fault.Kind(resp.Header.Get(fault.KindHeader))
	res.Run = fault.RunState(resp.Header.Get(fault.RunHeader))
	res.Version = resp.Header.Get(mesh.VersionHeader)
	b, err := io.ReadAll(resp.Body)
	res.Size = len(b)
	if err != nil {
		return err
	}
	if resp.Header.Get(mesh.RequestHeader) != string(q.ID) {
		return errOtherRequest
	}
	if resp.StatusCode/100 != 2 {
		var refusal fault.Body
		if json.Unmarshal(b, &refusal) == nil {
			res.Reason = refusal.Reason
		}
		return nil
	}
	if err := backend.CheckResponse(resp.Header, b, q.ID); err != nil {
		return err
	}
	return backend.CheckBody(q.Path, b, q.ID)
}
