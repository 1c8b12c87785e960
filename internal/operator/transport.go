package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// maxBody bounds the body of one call.
const maxBody = 16 << 20

// typed makes a go-kit endpoint of a function with a typed request and response.
func typed[Req, Resp any](f func(context.Context, Req) (Resp, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r, ok := request.(Req)
		if !ok {
			return nil, fault.Newf(fault.Internal, "request has type %T", request)
		}
		return f(ctx, r)
	}
}

// serve makes a handler of f behind the middleware of s.
func serve[Req, Resp any](s *Server, decode func(*http.Request) (Req, error), f func(context.Context, Req) (Resp, error)) http.Handler {
	return s.authenticated(httptransport.NewServer(
		s.count(typed(f)),
		func(_ context.Context, r *http.Request) (any, error) { return decode(r) },
		httptransport.EncodeJSONResponse,
		httptransport.ServerErrorEncoder(s.writeError),
	))
}

// decodeBody reads a JSON body strictly.
func decodeBody[Req any](r *http.Request) (Req, error) {
	var out Req
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&out); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return out, fault.Newf(fault.BodyTooLarge, "body has more than %d bytes", maxBody)
		}
		return out, fault.Newf(fault.BadRequest, "decode body: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return out, fault.New(fault.BadRequest, "decode body: data after the JSON value")
	}
	return out, nil
}

// authenticated refuses calls without the operator token, before their body is
// read. It compares digests, so that the time of the comparison tells nothing
// about the token.
func (s *Server) authenticated(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.cfg.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(t))
		if !ok || t == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			s.refused.Add(string(fault.Unauthorized), 1)
			fault.Write(w, fault.New(fault.Unauthorized, "operator token is missing or wrong"), "")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) count(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		resp, err := next(ctx, request)
		s.calls.Add(1)
		if err != nil {
			s.refused.Add(string(asFault(err).Kind), 1)
		}
		return resp, err
	}
}

func (s *Server) writeError(_ context.Context, err error, w http.ResponseWriter) {
	fault.Write(w, asFault(err), "")
}

// asFault turns the errors of package config into refusals.
func asFault(err error) *fault.Error {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return fault.Newf(fault.InvalidConfig, "%w", err)
	}
	// A fault already says whether the change may have taken effect, also if a
	// passed deadline caused it, as when the platform does not answer a read.
	var known *fault.Error
	if !errors.As(err, &known) && errors.Is(err, context.DeadlineExceeded) {
		return fault.Newf(fault.OutcomeUnknown, "%w", err)
	}
	return fault.From(err)
}

func unknownCall(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, fault.New(fault.NotFound, fmt.Sprintf("no call %s %s", r.Method, r.URL.Path)), "")
}
