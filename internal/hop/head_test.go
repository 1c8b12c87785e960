package hop

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadScanner guards against an HTTP/1.0 response with Transfer-Encoding that is not
// noticed, however its bytes arrive, and against the refusal of any other response.
func TestHeadScanner(t *testing.T) {
	const chunks = "\r\n5\r\nhello\r\n0\r\n\r\n"
	for text, want := range map[string]bool{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                 true,
		"HTTP/1.0 200 OK\nX: y\ntransfer-encoding: chunked\n\nhello":                                 true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:    true,
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello":                                          false,
		"HTTP/1.0 200 OK\r\n\r\nTransfer-Encoding: chunked\r\n\r\n":                                  false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                 false,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks: false,
		"HTTP/1.1 204 No Content\r\n\r\n":                                                            false,
		"no response":                                                                                false,
	} {
		for size := 1; size <= len(text); size++ {
			var h headScanner
			h.begin()
			got := false
			for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
				got = h.isFaulty([]byte(rest[:min(size, len(rest))])) || got
			}
			require.Equal(t, want, got, "%q, %d bytes a read", text, size)
		}
	}
}
