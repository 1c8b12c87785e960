package hop

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// bufferSize is the size in bytes of the buffers used to copy bodies.
const bufferSize = 32 << 10

var bufferPool = sync.Pool{New: func() any {
	b := make([]byte, bufferSize)
	return &b
}}

// ErrReadResponse is wrapped by errors from reading a response body, as opposed
// to writing it.
var ErrReadResponse = errors.New("hop: response body was cut short")

// CopyResponse writes resp to w, without its hop-by-hop fields, and closes its
// body. Its header fields are added to those that w already has. After an error
// the body is not complete, and the caller must call Abort. The status of resp
// must not be 101.
func CopyResponse(w http.ResponseWriter, resp *http.Response) error {
	defer resp.Body.Close()
	CopyHeader(w, resp)
	if _, err := CopyBody(w, resp.Body, IsStreaming(resp)); err != nil {
		return err
	}
	CopyTrailer(w, resp)
	return nil
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// ConnContext is for http.Server.ConnContext. It lets Abort and SetAbortive find
// the connection of a request.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// ConnOf returns the connection of a request, or nil if it is not known.
func ConnOf(r *http.Request) net.Conn {
	nc, _ := r.Context().Value(connKey{}).(net.Conn)
	return nc
}

// Abort breaks off the response to r at once, so that it never ends cleanly. It
// panics with http.ErrAbortHandler.
func Abort(r *http.Request) {
	// Before it closes the connection, net/http waits for the rest of the body of r,
	// which the caller may hold back. HTTP/2 resets the stream instead.
	if nc, ok := r.Context().Value(connKey{}).(net.Conn); ok && r.ProtoMajor == 1 {
		nc.Close()
	}
	panic(http.ErrAbortHandler)
}

// SetAbortive sets whether closing the connection of r resets it, however it is
// closed. It has no effect on a connection that cannot be reset.
func SetAbortive(r *http.Request, abortive bool) {
	nc, ok := r.Context().Value(connKey{}).(interface{ SetLinger(sec int) error })
	if !ok {
		return
	}
	sec := -1
	if abortive {
		sec = 0
	}
	_ = nc.SetLinger(sec) // fails if the connection is closed
}

// hasValidStatus reports whether the status of resp is one that HTTP defines; see RFC 9110
// section 15. net/http accepts any three digits. What a response with another one states
// cannot be trusted, and the program of a caller may take it for a success.
func hasValidStatus(resp *http.Response) bool {
	return resp.StatusCode >= 100 && resp.StatusCode <= 599
}

// CopyHeader writes the status and header of resp to w, without its hop-by-hop
// fields, and declares its trailers.
func CopyHeader(w http.ResponseWriter, resp *http.Response) {
	RemoveHopHeaders(resp.Header)
	dst := w.Header()
	for k, vs := range resp.Header {
		dst[k] = append(dst[k], vs...)
	}
	for k := range resp.Trailer {
		dst.Add("Trailer", k)
	}
	w.WriteHeader(resp.StatusCode)
	if len(resp.Trailer) > 0 || IsStreaming(resp) {
		// Trailers need a chunked body, which net/http chooses on a flush, and
		// the first part of a stream may come much later than its header.
		_ = http.NewResponseController(w).Flush()
	}
}

// IsStreaming reports whether each part of resp's body must be flushed as it
// arrives: the length is unknown or the content is an event stream.
func IsStreaming(resp *http.Response) bool {
	return resp.ContentLength < 0 || strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// CopyBody copies src to w until io.EOF and returns the number of bytes copied.
// With flush each part is flushed as it arrives. Errors from src wrap
// ErrReadResponse; other errors come from w.
func CopyBody(w http.ResponseWriter, src io.Reader, flush bool) (int64, error) {
	if s, ok := src.(*pooledBody); ok {
		return s.WriteTo(w)
	}
	p := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(p)
	var flusher *http.ResponseController
	if flush {
		flusher = http.NewResponseController(w)
	}
	var total int64
	for {
		n, rerr := src.Read(*p)
		if n > 0 {
			m, err := w.Write((*p)[:n])
			total += int64(m)
			if err != nil {
				return total, err
			}
			if flusher != nil {
				if err := flusher.Flush(); err != nil {
					return total, err
				}
			}
		}
		if rerr == io.EOF {
			return total, nil
		}
		if rerr != nil {
			return total, fmt.Errorf("%w: %w", ErrReadResponse, rerr)
		}
	}
}

// pooledBody is a response body that was read into a pooled buffer.
type pooledBody struct {
	bytes.Reader
	buffer *[]byte
}

// Close returns the buffer to the pool.
func (p *pooledBody) Close() error {
	p.release()
	return nil
}

func (p *pooledBody) release() {
	if p.buffer != nil {
		p.Reset(nil)
		bufferPool.Put(p.buffer)
		p.buffer = nil
	}
}

// ReadSmallResponse reads the body of resp into memory if its declared length
// is at most 32 KiB. An error wraps ErrReadResponse and means that the body was
// truncated; nothing has been forwarded at that point, so the caller can still
// get an error response.
func ReadSmallResponse(resp *http.Response) error {
	n := resp.ContentLength
	if n <= 0 || n > bufferSize || resp.Body == http.NoBody {
		return nil
	}
	p := &pooledBody{buffer: bufferPool.Get().(*[]byte)}
	_, err := io.ReadFull(resp.Body, (*p.buffer)[:n])
	resp.Body.Close()
	if err != nil {
		p.release()
		return fmt.Errorf("%w: %w", ErrReadResponse, err)
	}
	p.Reset((*p.buffer)[:n])
	resp.Body = p
	return nil
}

// CopyTrailer adds the trailers of resp to w. The body of resp must have been
// read to its end.
func CopyTrailer(w http.ResponseWriter, resp *http.Response) {
	dst := w.Header()
	declared := dst["Trailer"]
	for k, vs := range resp.Trailer {
		key := k
		if !contains(declared, k) {
			key = http.TrailerPrefix + k
		}
		dst[key] = append([]string(nil), vs...)
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
