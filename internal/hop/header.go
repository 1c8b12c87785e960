package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders are the fields that concern a single connection. Trailer is among
// them because the declaration is written anew by the sender of each hop.
var hopHeaders = []string{
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
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// wantsTrailers reports whether the TE field of h accepts trailers.
func wantsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for name := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(name), "trailers") {
				return true
			}
		}
	}
	return false
}
