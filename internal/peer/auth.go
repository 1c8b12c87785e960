package peer

import (
	"bytes"
	"crypto/hmac"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// authHeader carries the time of a request in Unix milliseconds, a colon
	// and the tag in hexadecimal.
	authHeader = "Lavenderrill-Auth"
	// authWindow is the largest accepted difference between that time and the
	// local clock. It allows for large clock skew: a replayed request has no
	// further effect.
	authWindow = 10 * time.Minute
	// maxBodyBytes limits the body of a request between nodes. A delta of all
	// documents fits.
	maxBodyBytes = 8 << 20
)

// signer signs and verifies HTTP requests.
type signer struct{ key []byte }

func (s signer) tag(method, path, timestamp string, body []byte) string {
	d := mesh.DigestOf(body)
	return hex.EncodeToString(hmacSum(s.key, []byte(method+"\n"+path+"\n"+timestamp+"\n"), d[:]))
}

// sign sets the authentication header of r, which has the given body.
func (s signer) sign(r *http.Request, now time.Time, body []byte) {
	timestamp := strconv.FormatInt(now.UnixMilli(), 10)
	r.Header.Set(authHeader, timestamp+":"+s.tag(r.Method, r.URL.Path, timestamp, body))
}

// verify checks the authentication header of r, which has the given body.
func (s signer) verify(r *http.Request, now time.Time, body []byte) error {
	timestamp, tag, ok := strings.Cut(r.Header.Get(authHeader), ":")
	if !ok {
		return errors.New("authentication header is absent or malformed")
	}
	if !hmac.Equal([]byte(tag), []byte(s.tag(r.Method, r.URL.Path, timestamp, body))) {
		return errors.New("authentication tag is wrong")
	}
	ms, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return fmt.Errorf("authentication time: %w", err)
	}
	if d := now.Sub(time.UnixMilli(ms)); d > authWindow || d < -authWindow {
		return fmt.Errorf("authentication time differs by %s", d)
	}
	return nil
}

// signingTransport is an http.RoundTripper that signs each request.
type signingTransport struct {
	signer signer
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		b, err := io.ReadAll(r.Body)
		if err := errors.Join(err, r.Body.Close()); err != nil {
			return nil, err
		}
		body = b
	}
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(bytes.NewReader(body))
	c.ContentLength = int64(len(body))
	// All requests between nodes are idempotent, so the transport may retry one
	// if a reused connection turns out to be closed.
	c.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	t.signer.sign(c, time.Now(), body)
	return t.next.RoundTrip(c)
}

// CloseIdleConnections closes the idle connections of the next transport.
func (t signingTransport) CloseIdleConnections() {
	if c, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// authenticate passes requests with a valid signature to next and refuses all
// others.
func (p *Peer) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			p.refuse(w, fault.Newf(fault.BodyTooLarge, "read request: %w", err))
			return
		}
		if err := p.signer.verify(r, time.Now(), body); err != nil {
			p.refuse(w, fault.Newf(fault.Unauthorized, "%w", err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// refuse responds to a request on the peer listener with e and counts it.
func (p *Peer) refuse(w http.ResponseWriter, e *fault.Error) {
	p.stats.refused.Add(string(e.Kind), 1)
	fault.Write(w, e, "")
}
