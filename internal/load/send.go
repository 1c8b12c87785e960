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
	// maxIdleConns is the highest number of idle connections kept to one address.
	maxIdleConns = 2048
	// maxDirectConns is the highest number of connections of the load tool to one
	// backend server. Backend servers accept at most 110 connections; the rest is
	// left for the gate.
	maxDirectConns = 80
	// maxRoundRobinAttempts is the highest number of attempts per request of the
	// round-robin client.
	maxRoundRobinAttempts = 3
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
				MaxIdleConnsPerHost: maxIdleConns, MaxConnsPerHost: conns, DisableCompression: true, IdleConnTimeout: time.Minute,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &sender{mesh: client(0), direct: client(maxDirectConns)}
}

func (s *sender) close() {
	s.mesh.CloseIdleConnections()
	s.direct.CloseIdleConnections()
}

// request describes a request to send.
type request struct {
	via       Via
	method    string
	host      string
	path      string
	bodyBytes int
	id        mesh.RequestID
	nextAddr  func() string // returns the address of the next attempt, or "" if there is none
}

// send sends req, with retries if its Via has them. The durations of the result
// are not set.
func (s *sender) send(ctx context.Context, req request) result {
	switch req.via {
	case ViaMesh:
		return s.attempt(ctx, s.mesh, req)
	case ViaDirect:
		return s.attempt(ctx, s.direct, req)
	}
	var r result
	for i := range maxRoundRobinAttempts {
		retries := i
		r = s.attempt(ctx, s.direct, req)
		r.retries = retries
		retryable := r.outcome == refused || r.outcome == unknown && req.method == http.MethodGet
		if !retryable || ctx.Err() != nil {
			break
		}
	}
	return r
}

// attempt makes one attempt to send req.
func (s *sender) attempt(ctx context.Context, client *http.Client, req request) result {
	addr := req.nextAddr()
	if addr == "" {
		return result{outcome: unsent}
	}
	var body io.Reader
	if req.method != http.MethodGet {
		// A body without GetBody keeps http.Transport from resending the request.
		body = struct{ io.Reader }{bytes.NewReader(make([]byte, req.bodyBytes))}
	}
	httpReq, err := http.NewRequestWithContext(ctx, req.method, "http://"+addr+req.path, body)
	if err != nil {
		return result{outcome: broken, reason: err.Error()}
	}
	if body != nil {
		httpReq.ContentLength = int64(req.bodyBytes)
		if req.bodyBytes == 0 {
			httpReq.Body = http.NoBody
		}
	}
	httpReq.Host = req.host
	httpReq.Header.Set(mesh.RequestHeader, string(req.id))
	resp, err := client.Do(httpReq)
	if err != nil {
		return result{outcome: unknown, reason: errorReason(err)}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		if ctx.Err() != nil {
			return result{outcome: unknown, reason: "timeout"}
		}
		return result{outcome: broken, reason: "truncated"}
	}
	return classify(req, resp, respBody)
}

// classify returns the result of a request with a complete response.
func classify(req request, resp *http.Response, body []byte) result {
	h := resp.Header
	if h.Get(mesh.RequestHeader) != string(req.id) {
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
	err := backend.CheckResponse(h, body, req.id)
	if err == nil {
		err = backend.CheckBody(req.path, body, req.id)
	}
	if err != nil {
		return result{outcome: broken, reason: "wrong digest"}
	}
	return result{outcome: answered}
}

func errorReason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "timeout") {
		return "timeout"
	}
	return "connection"
}

// requestPath returns the path of e with the query parameters for the backend
// server.
func (e StreamSpec) requestPath() string {
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
