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
	"lavenderrill.dev/lavenderrill/pkg/client"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// maxBodyBytes bounds the body of one call.
const maxBodyBytes = 16 << 20

// newEndpoint returns a go-kit endpoint that calls f.
func newEndpoint[Req, Resp any](f func(context.Context, Req) (Resp, error)) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		r, ok := request.(Req)
		if !ok {
			return nil, fault.Newf(fault.Internal, "unexpected request type %T", request)
		}
		return f(ctx, r)
	}
}

// newHandler returns an HTTP handler that calls f behind the middleware of s.
func newHandler[Req, Resp any](s *Server, decode func(*http.Request) (Req, error), f func(context.Context, Req) (Resp, error)) http.Handler {
	return s.requireToken(newTransport(s.countCalls(newEndpoint(f)), decode))
}

func newTransport[Req any](e endpoint.Endpoint, decode func(*http.Request) (Req, error)) http.Handler {
	return httptransport.NewServer(
		e,
		func(_ context.Context, r *http.Request) (any, error) { return decode(r) },
		httptransport.EncodeJSONResponse,
		httptransport.ServerErrorEncoder(writeError),
	)
}

// maxExplainBytes bounds the body of a call of the handler that NewExplainHandler returns.
const maxExplainBytes = 16 << 10

// NewExplainHandler returns the handler of client.ExplainPath for nodes without an operator
// listener. It requires no token and counts nothing.
func NewExplainHandler(explain func(client.ExplainRequest) client.Explanation) http.Handler {
	e := newEndpoint(func(_ context.Context, r client.ExplainRequest) (client.Explanation, error) { return explain(r), nil })
	h := newTransport(e, decodeBody[client.ExplainRequest])
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			fault.Write(w, fault.New(fault.MethodNotAllowed, "explanations are requested by POST"), "")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxExplainBytes)
		h.ServeHTTP(w, r)
	})
}

// decodeBody decodes a JSON body and refuses unknown fields and trailing data.
func decodeBody[Req any](r *http.Request) (Req, error) {
	var out Req
	dec := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&out); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return out, fault.Newf(fault.BodyTooLarge, "body has more than %d bytes", large.Limit)
		}
		return out, fault.Newf(fault.BadRequest, "decode body: %w", err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return out, fault.New(fault.BadRequest, "decode body: data after the JSON value")
	}
	return out, nil
}

// requireToken refuses calls without the operator token before their body is
// read. It compares digests, so that the time of the comparison reveals nothing
// about the token.
func (s *Server) requireToken(next http.Handler) http.Handler {
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

func (s *Server) countCalls(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		resp, err := next(ctx, request)
		s.calls.Add(1)
		if err != nil {
			s.refused.Add(string(asFault(err).Kind), 1)
		}
		return resp, err
	}
}

func writeError(_ context.Context, err error, w http.ResponseWriter) {
	fault.Write(w, asFault(err), "")
}

// asFault converts err to a fault. Errors of package config become faults of kind
// fault.InvalidConfig.
func asFault(err error) *fault.Error {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		return fault.Newf(fault.InvalidConfig, "%w", err)
	}
	// A fault already states whether the change may have taken effect, even if an
	// exceeded deadline caused it, as when the platform does not answer a read.
	var faultErr *fault.Error
	if !errors.As(err, &faultErr) && errors.Is(err, context.DeadlineExceeded) {
		return fault.Newf(fault.OutcomeUnknown, "%w", err)
	}
	return fault.From(err)
}

func refuseUnknownCall(w http.ResponseWriter, r *http.Request) {
	fault.Write(w, fault.New(fault.NotFound, fmt.Sprintf("unknown call %s %s", r.Method, r.URL.Path)), "")
}
