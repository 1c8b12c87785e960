package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// DigestHeader carries the SHA-256 digest of the complete body (RFC 9530).
const DigestHeader = "Repr-Digest"

// maxBody is the largest body that a request can ask for, in bytes.
const maxBody = 256 << 20

// ResponseBody returns the n bytes that follow from name: the response to the request
// with that id, or the immutable content of that path. A caller can verify
// with it that a response belongs to its own request.
func ResponseBody(name string, n int) []byte {
	b := make([]byte, n)
	// Read of a ChaCha8 never fails.
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(name))).Read(b)
	return b
}

// FormatDigest returns the value of DigestHeader for body.
func FormatDigest(body []byte) string {
	d := mesh.DigestOf(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}

// ErrWrongBody is the error of a body or an id that does not belong to the
// request although the response looked complete.
var ErrWrongBody = errors.New("response does not belong to the request")

// CheckResponse returns an error that wraps ErrWrongBody unless h and body are the complete response
// to the request with the given id.
func CheckResponse(h http.Header, body []byte, id mesh.RequestID) error {
	if got := h.Get(mesh.RequestHeader); got != string(id) {
		return fmt.Errorf("%w: it carries request id %q, want %q", ErrWrongBody, got, id)
	}
	if got, want := FormatDigest(body), h.Get(DigestHeader); got != want {
		return fmt.Errorf("%w: body of %d bytes has digest %s, header says %q", ErrWrongBody, len(body), got, want)
	}
	return nil
}

// CheckBody returns an error that wraps ErrWrongBody unless body is the one
// that a backend stand-in returns for a request with that path and id. It holds
// even if a node replaced the headers of the response.
func CheckBody(path string, body []byte, id mesh.RequestID) error {
	path, _, _ = strings.Cut(path, "?")
	name := string(id)
	if immutable(path) {
		name = path
	}
	if !bytes.Equal(body, ResponseBody(name, len(body))) {
		return fmt.Errorf("%w: body of %d bytes is not that of request %q", ErrWrongBody, len(body), id)
	}
	return nil
}
