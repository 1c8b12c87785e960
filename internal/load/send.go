package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/standin/backend"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// maxIdle is the number of connections kept to one address.
	maxIdle = 2048
	// directConnections is the most connections of the load tool to one
	// backend server. It leaves room for those of the gate under the limit of
	// 110 that backend servers have.
	directConnections = 80
	// roundRobinAttempts is the most attempts of the round-robin client.
	roundRobinAttempts = 3
)

// sender sends requests over HTTP/1.1.
type sender struct {
	mesh   *http.Client
	direct *http.Client
}

func newSender() *sender {
	client := func(conns int) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdle, MaxConnsPerHost: conns, DisableCompression: true, IdleConnTimeout: time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &sender{mesh: client(0), direct: client(directConnections)}
}

func (s *sender) close() {
	s.mesh.CloseIdleConnections()
	s.direct.CloseIdleConnections()
}

// call is one request.
type call struct {
	via    Via
	method string
	host   string
	path   string
	body   int
	id     mesh.RequestID
	addrs  func() string // next address
}

// do sends c and returns its outcome without times.
func (s *sender) do(ctx context.Context, c call) result {
	switch c.via {
	case ViaMesh:
		return s.once(ctx, s.mesh, c)
	case ViaDirect:
		return s.once(ctx, s.direct, c)
	}
	var r result
	for i := range roundRobinAttempts {
		retries := i
		r = s.once(ctx, s.direct, c)
		r.retries = retries
		again := r.outcome == refused || r.outcome == unknown && c.method == http.MethodGet
		if !again || ctx.Err() != nil {
			break
		}
	}
	return r
}

// once makes one attempt.
func (s *sender) once(ctx context.Context, client *http.Client, c call) result {
	addr := c.addrs()
	if addr == "" {
		return result{outcome: unsent}
	}
	var body io.Reader
	if c.method != http.MethodGet {
		// The single-use body keeps http.Transport from sending the request again.
		body = struct{ io.Reader }{bytes.NewReader(make([]byte, c.body))}
	}
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+addr+c.path, body)
	if err != nil {
		return result{outcome: broken, reason: err.Error()}
	}
	if body != nil {
		q.ContentLength = int64(c.body)
		if c.body == 0 {
			q.Body = http.NoBody
		}
	}
	q.Host = c.host
	q.Header.Set(mesh.RequestHeader, string(c.id))
	resp, err := client.Do(q)
	if err != nil {
		return result{outcome: unknown, reason: reasonOf(err)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() != nil {
			return result{outcome: unknown, reason: "timeout"}
		}
		return result{outcome: broken, reason: "truncated"}
	}
	return classify(c, resp, b)
}

// classify returns the outcome of a complete response.
func classify(c call, resp *http.Response, b []byte) result {
	h := resp.Header
	if h.Get(mesh.RequestHeader) != string(c.id) {
		return result{outcome: broken, reason: "wrong id"}
	}
	kind := h.Get(fault.KindHeader)
	switch {
	case fault.RunState(h.Get(fault.RunHeader)) == fault.NotRun:
		if kind == "" {
			kind = "shed"
		}
		return result{outcome: refused, reason: kind}
	case kind != "":
		return result{outcome: unknown, reason: kind}
	case resp.StatusCode/100 != 2:
		return result{outcome: failed, reason: strconv.Itoa(resp.StatusCode)}
	}
	err := backend.CheckResponse(h, b, c.id)
	if err == nil {
		err = backend.CheckBody(c.path, b, c.id)
	}
	if err != nil {
		return result{outcome: broken, reason: "wrong digest"}
	}
	return result{outcome: answered}
}

func reasonOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout") {
		return "timeout"
	}
	return "connection"
}

// target returns path with the parameters that e asks of the backend server.
func (e StreamSpec) target() string {
	path := e.Path
	add := func(name string, n int) {
		if n > 0 {
			sep := "?"
			if strings.Contains(path, "?") {
				sep = "&"
			}
			path += fmt.Sprintf("%s%s=%d", sep, name, n)
		}
	}
	add("size", e.ResponseBytes)
	add("depth", e.Depth)
	return path
}
