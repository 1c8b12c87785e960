package hop

import (
	"errors"
	"net/http"
	"strings"
)

// errSplicedHead is returned for a response whose header has a status line inside it.
var errSplicedHead = errors.New("hop: the response header contains a second status line")

// isSpliced reports whether the header of resp begins with a part of another response: a
// peer wrote an earlier response once more, broke off in the reason phrase or in a header
// value, and the response to the request follows. Its status and first fields are then
// those of the earlier response, and its last ones, such as the request id, its own.
func isSpliced(resp *http.Response) bool {
	if hasStatusLine(resp.Status) {
		return true
	}
	for _, vs := range resp.Header {
		for _, v := range vs {
			if hasStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// hasStatusLine reports whether s contains an HTTP/1 status line.
func hasStatusLine(s string) bool {
	const version = "HTTP/1."
	for {
		_, rest, ok := strings.Cut(s, version)
		if !ok {
			return false
		}
		if len(rest) >= 5 && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) &&
			(len(rest) == 5 || rest[5] == ' ') {
			return true
		}
		s = rest
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
