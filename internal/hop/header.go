package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the fields that concern a single connection. Trailer is
// one of them because the sender of each hop writes its own declaration.
var hopByHopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Http2-Settings",
}

// RemoveHopHeaders deletes from h the hop-by-hop fields of RFC 9110 section
// 7.6.1, including those that the Connection field names.
func RemoveHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// acceptsTrailers reports whether the TE field of h accepts trailers.
func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(name), "trailers") {
				return true
			}
		}
	}
	return false
}
