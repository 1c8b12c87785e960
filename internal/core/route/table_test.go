package route

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"lavenderrill.dev/lavenderrill/pkg/config"
)

func newSnapshot(rs ...config.Route) *config.Snapshot {
	for i := range rs {
		rs[i].Rank = "urgent"
	}
	return &config.Snapshot{Version: 1, Ranks: []config.RankPolicy{{Name: "urgent"}}, Routes: rs}
}

// TestMatch guards against a request that matches the route of another host,
// path or method, and against 404 in place of 405.
func TestMatch(t *testing.T) {
	table := NewTable(newSnapshot(
		config.Route{Name: "book", Host: "a.example", Path: "/reservations", Methods: []string{"POST"}},
		config.Route{Name: "list", Host: "a.example", Path: "/reservations", Methods: []string{"GET", "HEAD"}},
		config.Route{Name: "deep", Host: "a.example", Path: "/reservations/seats/"},
		config.Route{Name: "any", Path: "/reservations"},
		config.Route{Name: "root", Path: "/"},
		config.Route{Name: "only", Host: "b.example", Path: "/x"},
	))
	for _, c := range []struct{ method, host, path, want string }{
		{"POST", "a.example", "/reservations", "book"},
		{"GET", "a.example", "/reservations/", "list"},
		{"GET", "a.example", "/reservations/1/2", "list"},
		{"PUT", "a.example", "/reservations", "[GET HEAD POST]"},
		{"PUT", "a.example", "/reservations/seats", "deep"},
		{"PUT", "a.example", "/reservations/seats/9", "deep"},
		{"GET", "a.example", "/reservationsx", "root"},
		{"GET", "a.example", "/", "root"},
		{"GET", "c.example", "/reservations/1", "any"},
		{"GET", "b.example", "/x", "only"},
		{"GET", "b.example", "/xy", "root"},
	} {
		got := table.Match(c.method, c.host, c.path)
		name := fmt.Sprint(got.Allow)
		if got.Route != nil {
			name = got.Route.Name
		}
		require.Equal(t, c.want, name, c)
	}
	require.Equal(t, Result{}, NewTable(newSnapshot()).Match("GET", "a.example", "/"))
	require.Equal(t, Result{}, NewTable(newSnapshot(config.Route{Path: "/long/path"})).Match("GET", "a", "/x"))
}

// TestMatchAgainstSearch guards against a lookup in the maps whose result
// differs from that of a linear search of all routes.
func TestMatchAgainstSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "abc"})
	path := rapid.Map(rapid.SliceOfN(segment, 0, 4), func(s []string) string { return "/" + strings.Join(s, "/") })
	host := rapid.SampledFrom([]string{"", "x", "y"})
	rapid.Check(t, func(t *rapid.T) {
		rs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) config.Route {
			return config.Route{Host: host.Draw(t, "host"), Path: path.Draw(t, "path")}
		}), 0, 8).Draw(t, "routes")
		h, p := host.Draw(t, "request host"), path.Draw(t, "request path")
		var best *config.Route
		for i := range rs {
			r := &rs[i]
			prefix := strings.TrimSuffix(r.Path, "/")
			if r.Host != "" && r.Host != h || p != prefix && !strings.HasPrefix(p, prefix+"/") {
				continue
			}
			if best == nil || best.Host == "" && r.Host != "" || best.Host == r.Host && len(r.Path) > len(best.Path) {
				best = r
			}
		}
		got := NewTable(newSnapshot(slices.Clone(rs)...)).Match("GET", h, p)
		if best == nil {
			require.Nil(t, got.Route)
			return
		}
		require.Equal(t, best.Host, got.Route.Host)
		require.Equal(t, best.Path, got.Route.Path)
	})
}

// TestNormalPath guards against accepting a path that a backend server resolves
// to one of another route.
func TestNormalPath(t *testing.T) {
	for in, want := range map[string]string{
		"/a/b": "/a/b", "/": "/", "//a///b/": "/a/b/", "/%61b": "/ab", "/a..b/...": "/a..b/...", "/%252f": "/%2f",
	} {
		got, err := NormalizePath(in)
		require.NoError(t, err, in)
		require.Equal(t, want, got)
	}
	for in, want := range map[string]error{
		"/a/../b": ErrDotSegment, "/.": ErrDotSegment, "/..": ErrDotSegment, "/%2e%2E/b": ErrDotSegment, "/a/..;x/b": ErrDotSegment,
		"/.%2e": ErrDotSegment, "//../b": ErrDotSegment,
		"/a%2fb": ErrEncodedSlash, "/a%2Fb": ErrEncodedSlash, "/a%5cb": ErrEncodedSlash, `/a\b`: ErrEncodedSlash,
		"": ErrInvalidPath, "*": ErrInvalidPath, "a/b": ErrInvalidPath, "/a%00": ErrInvalidPath, "/%zz": ErrInvalidPath, "/a\n": ErrInvalidPath,
	} {
		_, err := NormalizePath(in)
		require.ErrorIs(t, err, want, in)
	}
}

// TestNormalHost guards against two spellings of a host that match different
// routes.
func TestNormalHost(t *testing.T) {
	for in, want := range map[string]string{
		"A.Example:80": "a.example", "a.example.": "a.example", "[::1]:8080": "[::1]", "127.0.0.1": "127.0.0.1", "a:": "a",
	} {
		got, err := NormalizeHost(in)
		require.NoError(t, err, in)
		require.Equal(t, want, got)
	}
	for _, in := range []string{"", ".", ":80", "a:b", "a/b", "a@b", "[::1", "[]", "a b", "a:123456"} {
		_, err := NormalizeHost(in)
		require.ErrorIs(t, err, ErrInvalidHost, in)
	}
}

// FuzzNormalPath looks for an accepted path with a dot segment or a double
// slash, and for a panic.
func FuzzNormalPath(f *testing.F) {
	f.Add("/a/%2e./b")
	f.Fuzz(func(t *testing.T, s string) {
		p, err := NormalizePath(s)
		if err != nil {
			return
		}
		require.NotContains(t, p, "//")
		for seg := range strings.SplitSeq(p, "/") {
			require.False(t, seg == "." || seg == "..", "%q from %q", p, s)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	var rs []config.Route
	for i := range 5000 {
		rs = append(rs, config.Route{Host: fmt.Sprintf("h%d.example", i/5), Path: fmt.Sprintf("/service/path%d", i%5), Methods: []string{"GET"}})
	}
	table := NewTable(newSnapshot(rs...))
	b.ReportAllocs()
	for b.Loop() {
		host, _ := NormalizeHost("h500.example")
		path, _ := NormalizePath("/service/path3/item/12345")
		if table.Match("GET", host, path).Route == nil {
			b.Fatal("no route")
		}
	}
}
