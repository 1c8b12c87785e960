package hop

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxSmallBodySize is the largest body in bytes that is read before it is sent,
// so that header and body are sent in one write.
const maxSmallBodySize = 4 << 10

// singleUseBody is a request body that net/http can neither recognize as empty
// nor rewind. net/http replays a request on a broken reused connection only if
// the body is absent or has GetBody.
type singleUseBody struct {
	io.ReadCloser
}

// ErrReadRequest is wrapped by errors from reading a request body, as opposed to
// sending it.
var ErrReadRequest = errors.New("hop: request body")

// Close does nothing. The server closes the body; net/http would otherwise wait here
// for one that its caller holds back until it gets 100 Continue.
func (b *singleUseBody) Close() error { return nil }

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", ErrReadRequest, err)
	}
	return n, err
}

// makeSingleUse keeps net/http from replaying the body of req. It returns an
// error if a small body cannot be read.
func makeSingleUse(req *http.Request) error {
	req.GetBody = nil
	switch req.Body {
	case nil, http.NoBody:
		setEmptyBody(req)
	default:
		if err := ReadSmallRequest(req); err != nil {
			return err
		}
		if s, ok := req.Body.(*bufferedBody); ok {
			req.Body = s.ReadCloser
			// The body is already in memory, so there is no reason to wait for
			// 100 Continue.
			req.Header.Del("Expect")
		} else {
			req.Body = &singleUseBody{req.Body}
		}
	}
	return nil
}

// bufferedBody is a request body that was read into memory.
type bufferedBody struct {
	io.ReadCloser
}

// ReadSmallRequest reads the body of req into memory if its declared length is
// at most 4 KiB, so that a slow caller does not block the next hop.
func ReadSmallRequest(req *http.Request) error {
	if _, ok := req.Body.(*bufferedBody); ok || req.ContentLength <= 0 || req.ContentLength > maxSmallBodySize {
		return nil
	}
	b := make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, b)
	req.Body.Close()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrReadRequest, err)
	}
	req.Body = &bufferedBody{inMemory(b)}
	return nil
}

// inMemory returns a single-use body that net/http sends together with the
// header, since it recognizes this type. Unlike http.NoBody, an empty one is not
// replayed.
func inMemory(b []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(b)) }

func setEmptyBody(req *http.Request) {
	req.Body = inMemory(nil)
	req.ContentLength = 0
	switch req.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// net/http sends the empty body chunked. Some servers answer 411 to
		// these methods if the request has no framing.
	default:
		// Without this net/http starts a goroutine and a timer to find out
		// whether the body is empty.
		req.TransferEncoding = []string{"identity"}
	}
}

// OutgoingRequest returns the request that forwards in to addr. It shares the
// body and the trailer of in, has a copy of its header without hop-by-hop
// fields, and keeps its Host.
func OutgoingRequest(in *http.Request, addr mesh.Addr) *http.Request {
	h := in.Header.Clone()
	RemoveHopHeaders(h)
	if acceptsTrailers(in.Header) {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	return &http.Request{
		Method:        in.Method,
		URL:           outgoingURL(in.URL, addr),
		Header:        h,
		Host:          in.Host,
		Body:          in.Body,
		ContentLength: in.ContentLength,
		Trailer:       in.Trailer,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
}

func outgoingURL(in *url.URL, addr mesh.Addr) *url.URL {
	return &url.URL{
		Scheme:     "http",
		Host:       string(addr),
		Path:       in.Path,
		RawPath:    in.RawPath,
		RawQuery:   in.RawQuery,
		ForceQuery: in.ForceQuery,
		Opaque:     "",
	}
}

// ValidateRequest returns the refusal of a request that cannot be forwarded, or
// nil. It refuses protocol upgrades, CONNECT and bodies declared larger than
// maxBody bytes. A maxBody of 0 means no limit.
func ValidateRequest(in *http.Request, maxBody int64) *fault.Error {
	switch {
	case in.Method == http.MethodConnect:
		return fault.New(fault.MethodNotAllowed, "CONNECT is not supported")
	case len(in.Header["Upgrade"]) > 0:
		return fault.New(fault.BadRequest, "protocol upgrades are not supported")
	case maxBody > 0 && in.ContentLength > maxBody:
		return fault.Newf(fault.BodyTooLarge, "body of %d bytes, limit is %d", in.ContentLength, maxBody)
	}
	return nil
}

// LimitBody returns the body of in, whose reads fail with *http.MaxBytesError
// after maxBody bytes. A maxBody of 0 means no limit. The body must not replace
// that of in: net/http recognizes from its own one that the caller waits for
// 100 Continue, and would otherwise wait for the body before it responds.
func LimitBody(w http.ResponseWriter, in *http.Request, maxBody int64) io.ReadCloser {
	if maxBody > 0 && in.Body != nil && in.Body != http.NoBody {
		return http.MaxBytesReader(w, in.Body, maxBody)
	}
	return in.Body
}
