package hop

import (
	"bufio"
	"bytes"
	"errors"
	"net/textproto"
)

// maxScannedHead limits the part of a response that a headScanner holds, in bytes. A
// longer header is refused by net/http.
const maxScannedHead = 2 * defaultMaxHeaderBytes

// errFaultyFraming is returned for an HTTP/1.0 response with Transfer-Encoding.
var errFaultyFraming = errors.New("hop: HTTP/1.0 response with Transfer-Encoding")

// Beginnings of the responses that a headScanner looks at.
var (
	http10Response  = []byte("HTTP/1.0 ")
	interimResponse = []byte("HTTP/1.1 1")
)

// headScanner finds the field Transfer-Encoding in the header of an HTTP/1.0 response.
// RFC 9112 section 6.1 calls its framing faulty. net/http drops the field and reads the
// chunks, also truncated ones, as a complete body.
type headScanner struct {
	buffer []byte
	active bool
}

// begin prepares h for the next response.
func (h *headScanner) begin() { h.buffer, h.active = nil, true }

// isFaulty reads the next bytes of the response. It reports true once, at the end of a
// faulty header.
func (h *headScanner) isFaulty(p []byte) bool {
	for h.active {
		if len(h.buffer) > 0 {
			p = append(h.buffer, p...)
		}
		h.buffer = nil
		if !beginsAs(p, http10Response) && !beginsAs(p, interimResponse) || len(p) > maxScannedHead {
			h.active = false
			return false
		}
		head, rest, ok := cutHead(p)
		switch {
		case !ok:
			h.buffer = bytes.Clone(p)
			return false
		case bytes.HasPrefix(head, interimResponse):
			p = rest
			if len(p) == 0 {
				return false
			}
		default:
			h.active = false
			return hasTransferEncoding(head)
		}
	}
	return false
}

// beginsAs reports whether p begins with prefix, or is the beginning of it.
func beginsAs(p, prefix []byte) bool {
	n := min(len(p), len(prefix))
	return bytes.Equal(p[:n], prefix[:n])
}

// cutHead splits p after the blank line that ends a header.
func cutHead(p []byte) (head, rest []byte, ok bool) {
	end := -1
	for _, blank := range []string{"\n\r\n", "\n\n"} {
		if i := bytes.Index(p, []byte(blank)); i >= 0 && (end < 0 || i+len(blank) < end) {
			end = i + len(blank)
		}
	}
	if end < 0 {
		return nil, nil, false
	}
	return p[:end], p[end:], true
}

func hasTransferEncoding(head []byte) bool {
	r := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := r.ReadLine(); err != nil {
		return false
	}
	fields, err := r.ReadMIMEHeader()
	return err == nil && fields["Transfer-Encoding"] != nil // net/http refuses a malformed header
}
