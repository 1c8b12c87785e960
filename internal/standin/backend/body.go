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

// maxBodyBytes is the largest response body that a request can ask for.
const maxBodyBytes = 256 << 20

// ResponseBody returns n bytes derived from seed: the response body of the
// request with that id, or the immutable content of that path. Callers use it
// to verify that a response belongs to their request.
func ResponseBody(seed string, n int) []byte {
	b := make([]byte, n)
	// ChaCha8.Read never fails.
	_, _ = rand.NewChaCha8(sha256.Sum256([]byte(seed))).Read(b)
	return b
}

// FormatDigest returns the value of DigestHeader for body.
func FormatDigest(body []byte) string {
	d := mesh.DigestOf(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(d[:]) + ":"
}

// ErrWrongBody reports a complete response whose body or request id does not
// belong to the request.
var ErrWrongBody = errors.New("response does not belong to the request")

// CheckResponse returns an error that wraps ErrWrongBody unless h and body are
// the complete response to the request with the given id.
func CheckResponse(h http.Header, body []byte, id mesh.RequestID) error {
	if got := h.Get(mesh.RequestHeader); got != string(id) {
		return fmt.Errorf("%w: response has request id %q, want %q", ErrWrongBody, got, id)
	}
	if got, want := FormatDigest(body), h.Get(DigestHeader); got != want {
		return fmt.Errorf("%w: body of %d bytes has digest %s, want %q as in the header", ErrWrongBody, len(body), got, want)
	}
	return nil
}

// CheckBody returns an error that wraps ErrWrongBody unless body is the one
// that a backend stand-in returns for a request with that path and id. The check
// does not depend on headers, which a node may replace.
func CheckBody(path string, body []byte, id mesh.RequestID) error {
	path, _, _ = strings.Cut(path, "?")
	seed := string(id)
	if isImmutable(path) {
		seed = path
	}
	if !bytes.Equal(body, ResponseBody(seed, len(body))) {
		return fmt.Errorf("%w: body of %d bytes does not match request %q", ErrWrongBody, len(body), id)
	}
	return nil
}
