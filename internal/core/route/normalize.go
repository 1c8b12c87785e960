package route

import (
	"errors"
	"net/url"
	"strings"
)

// Errors of NormalizeHost and NormalizePath.
var (
	ErrInvalidHost  = errors.New("host is not valid")
	ErrInvalidPath  = errors.New("path is not absolute or holds an invalid character")
	ErrDotSegment   = errors.New("path holds a dot segment")
	ErrEncodedSlash = errors.New("path holds an encoded slash or a backslash")
)

// NormalizeHost returns the host of a Host header in the form that routes use:
// lower case, without port and without trailing dot. It does not allocate if
// host already has this form.
func NormalizeHost(host string) (string, error) {
	h := host
	if strings.HasPrefix(h, "[") {
		end := strings.IndexByte(h, ']')
		if end < 2 || !validPort(h[end+1:]) {
			return "", ErrInvalidHost
		}
		h = h[:end+1]
	} else if i := strings.IndexByte(h, ':'); i >= 0 {
		if !validPort(h[i:]) {
			return "", ErrInvalidHost
		}
		h = h[:i]
	}
	h = strings.TrimSuffix(h, ".")
	if h == "" {
		return "", ErrInvalidHost
	}
	for i := 0; i < len(h); i++ {
		if !validHostByte(h[i]) {
			return "", ErrInvalidHost
		}
	}
	return strings.ToLower(h), nil
}

// validPort reports whether s is empty or a colon followed by digits.
func validPort(s string) bool {
	if s == "" {
		return true
	}
	if s[0] != ':' || len(s) > 6 {
		return false
	}
	for _, c := range []byte(s[1:]) {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func validHostByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		c == '.' || c == '-' || c == '_' || c == ':' || c == '[' || c == ']'
}

// NormalizePath returns the path by which a request with the given escaped path
// is matched: decoded, with runs of slashes collapsed. Dot segments and encoded
// slashes are rejected rather than resolved, since a backend server may resolve
// them differently and so serve a path of another route. NormalizePath does not
// allocate if the path is already normalized.
func NormalizePath(escaped string) (string, error) {
	if escaped == "" || escaped[0] != '/' {
		return "", ErrInvalidPath
	}
	p := escaped
	if strings.IndexByte(p, '%') >= 0 {
		if hasEncodedSlash(p) {
			return "", ErrEncodedSlash
		}
		d, err := url.PathUnescape(p)
		if err != nil {
			return "", ErrInvalidPath
		}
		p = d
	}
	return normalizeDecoded(p)
}

// NormalizeURLPath returns the normalized path of u (see NormalizePath).
func NormalizeURLPath(u *url.URL) (string, error) {
	if u.RawPath != "" {
		return NormalizePath(u.RawPath)
	}
	// Without a RawPath the path was sent in the default encoding, which does
	// not encode slashes.
	if u.Path == "" || u.Path[0] != '/' {
		return "", ErrInvalidPath
	}
	return normalizeDecoded(u.Path)
}

// normalizeDecoded checks the decoded path p and collapses runs of slashes.
func normalizeDecoded(p string) (string, error) {
	double := false
	start := 1
	for i := 1; i <= len(p); i++ {
		if i < len(p) {
			switch c := p[i]; {
			case c == '\\':
				return "", ErrEncodedSlash
			case c < 0x20 || c == 0x7f:
				return "", ErrInvalidPath
			case c != '/':
				continue
			}
		}
		switch seg := p[start:i]; {
		case isDotSegment(seg):
			return "", ErrDotSegment
		case seg == "" && i < len(p):
			double = true
		}
		start = i + 1
	}
	if double {
		p = collapseSlashes(p)
	}
	return p, nil
}

// isDotSegment reports whether seg is a dot segment, with or without path
// parameters: some servers strip ";x" before they resolve "..;x".
func isDotSegment(seg string) bool {
	if i := strings.IndexByte(seg, ';'); i >= 0 {
		seg = seg[:i]
	}
	return seg == "." || seg == ".."
}

func hasEncodedSlash(p string) bool {
	for i := 0; i+2 < len(p); i++ {
		if p[i] != '%' {
			continue
		}
		a, b := p[i+1], p[i+2]|0x20
		if a == '2' && b == 'f' || a == '5' && b == 'c' {
			return true
		}
	}
	return false
}

func collapseSlashes(p string) string {
	var b strings.Builder
	b.Grow(len(p))
	for i := 0; i < len(p); i++ {
		if p[i] == '/' && i > 0 && p[i-1] == '/' {
			continue
		}
		b.WriteByte(p[i])
	}
	return b.String()
}
