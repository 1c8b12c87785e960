package route

import (
	"net/http"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
)

// Route is a route of a Table with the policy of its rank.
type Route struct {
	*config.Route
	Policy config.RankPolicy // without regard to client accounts
}

// Result is the outcome of a match.
type Result struct {
	Route *Route   // nil if no route matches
	Allow []string // methods of the path, sorted, if only the method does not match
}

// hostRoutes holds the routes of one host by path, without trailing slash; the
// root is "". The paths of a literal snapshot keep their slash.
type hostRoutes struct {
	routes  map[string][]*Route
	longest int // length of the longest path
}

// Table finds the route of a request. It is immutable.
type Table struct {
	snapshot *config.Snapshot
	hosts    map[string]*hostRoutes
	anyHost  *hostRoutes
}

// NewTable returns the table of s. Routes whose rank is not in s are skipped; a
// compiled snapshot has none.
func NewTable(s *config.Snapshot) *Table {
	t := &Table{snapshot: s, hosts: make(map[string]*hostRoutes)}
	rs := make([]Route, len(s.Routes))
	for i := range s.Routes {
		c := &s.Routes[i]
		policy, ok := s.RouteRank(c)
		if !ok {
			continue
		}
		rs[i] = Route{Route: c, Policy: policy}
		t.addRoute(&rs[i])
	}
	return t
}

func (t *Table) addRoute(r *Route) {
	hr := t.hosts[r.Host]
	if hr == nil {
		hr = &hostRoutes{routes: make(map[string][]*Route)}
		t.hosts[r.Host] = hr
		if r.Host == "" {
			t.anyHost = hr
		}
	}
	p := r.Path
	if !t.snapshot.Literal {
		p = strings.TrimRight(r.Path, "/")
	}
	hr.routes[p] = append(hr.routes[p], r)
	hr.longest = max(hr.longest, len(p))
}

// MatchLiteral returns the route of the given host whose path is the longest
// prefix of path, which is compared as it was sent. The snapshot must be
// literal. It returns nil if no route matches.
func (t *Table) MatchLiteral(host, path string) *Route {
	hr := t.hosts[host]
	if hr == nil {
		return nil
	}
	for end := min(len(path), hr.longest); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if rs := hr.routes[path[:end]]; rs != nil {
			return rs[0]
		}
	}
	return nil
}

// Snapshot returns the snapshot that t was built from.
func (t *Table) Snapshot() *config.Snapshot { return t.snapshot }

// Match returns the route of a request. Host and path must be normalized (see
// NormalizeHost and NormalizePath). Routes of the exact host come before those of
// any host, then the longest path decides, then the method: if all routes of
// that path exclude the method, shorter paths are not searched.
func (t *Table) Match(method, host, path string) Result {
	if hr := t.hosts[host]; hr != nil && host != "" {
		if rs := hr.longestPrefix(path); rs != nil {
			return matchMethod(rs, method)
		}
	}
	if t.anyHost != nil {
		if rs := t.anyHost.longestPrefix(path); rs != nil {
			return matchMethod(rs, method)
		}
	}
	return Result{}
}

// longestPrefix returns the routes of the longest path that is a prefix of path
// at a segment boundary.
func (hr *hostRoutes) longestPrefix(path string) []*Route {
	end := len(path)
	if end > hr.longest {
		// Prefixes longer than every path cannot match. They are skipped, so that
		// a request with very many segments costs no more than one with few.
		end = hr.longest
		for end < len(path) && path[end] != '/' {
			end--
			if end < 0 {
				return nil
			}
		}
	}
	for {
		if rs := hr.routes[path[:end]]; rs != nil {
			return rs
		}
		if end == 0 {
			return nil
		}
		end = strings.LastIndexByte(path[:end], '/')
		if end < 0 {
			return nil
		}
	}
}

// matchMethod returns the first route that allows the method. HEAD is allowed
// wherever GET is, as RFC 9110 section 9.1 expects.
func matchMethod(rs []*Route, method string) Result {
	for _, r := range rs {
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) || method == http.MethodHead && slices.Contains(r.Methods, http.MethodGet) {
			return Result{Route: r}
		}
	}
	var allow []string
	for _, r := range rs {
		allow = append(allow, r.Methods...)
	}
	slices.Sort(allow)
	return Result{Allow: slices.Compact(allow)}
}
