package route

import (
	"net/http"
	"slices"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/config"
)

// Route is a route of a Table with what the request path needs at hand.
type Route struct {
	*config.Route
	RankIndex int // position of the rank, 0 is the most urgent
	Policy    config.RankPolicy
}

// Result is the outcome of a match.
type Result struct {
	Route *Route   // nil if no route matches
	Allow []string // methods of the path, sorted, if only the method does not match
}

// paths holds the routes of one host by path, without final slash; the root is
// "".
type paths struct {
	routes  map[string][]*Route
	longest int // length of the longest path
}

// Table finds the route of a request. It is immutable.
type Table struct {
	snapshot *config.Snapshot
	hosts    map[string]*paths
	anyHost  *paths
}

// NewTable returns the table of s. Routes whose rank s does not have are left
// out; a compiled snapshot has none.
func NewTable(s *config.Snapshot) *Table {
	t := &Table{snapshot: s, hosts: make(map[string]*paths)}
	rs := make([]Route, len(s.Routes))
	for i := range s.Routes {
		c := &s.Routes[i]
		rank, ok := s.RankIndex(c.Rank)
		if !ok {
			continue
		}
		rs[i] = Route{Route: c, RankIndex: rank, Policy: s.Ranks[rank]}
		t.add(&rs[i])
	}
	return t
}

func (t *Table) add(r *Route) {
	ps := t.hosts[r.Host]
	if ps == nil {
		ps = &paths{routes: make(map[string][]*Route)}
		t.hosts[r.Host] = ps
		if r.Host == "" {
			t.anyHost = ps
		}
	}
	p := r.Path
	if !t.snapshot.Literal {
		p = strings.TrimRight(r.Path, "/")
	}
	ps.routes[p] = append(ps.routes[p], r)
	ps.longest = max(ps.longest, len(p))
}

// MatchLiteral returns the route of the given host whose path is the longest
// prefix of path, which is compared as it was sent. The snapshot must be
// literal. It returns nil if no route matches.
func (t *Table) MatchLiteral(host, path string) *Route {
	ps := t.hosts[host]
	if ps == nil {
		return nil
	}
	for end := min(len(path), ps.longest); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if rs := ps.routes[path[:end]]; rs != nil {
			return rs[0]
		}
	}
	return nil
}

// Snapshot returns the snapshot that t was built from.
func (t *Table) Snapshot() *config.Snapshot { return t.snapshot }

// Match returns the route of a request. Host and path must be normal (see
// NormalizeHost and NormalizePath). Routes of the exact host come before those of
// any host, then the longest path decides, then the method: a path whose
// routes all exclude the method is not searched further.
func (t *Table) Match(method, host, path string) Result {
	if ps := t.hosts[host]; ps != nil && host != "" {
		if rs := ps.find(path); rs != nil {
			return choose(rs, method)
		}
	}
	if t.anyHost != nil {
		if rs := t.anyHost.find(path); rs != nil {
			return choose(rs, method)
		}
	}
	return Result{}
}

// find returns the routes of the longest path that is a prefix of path on a
// segment border.
func (ps *paths) find(path string) []*Route {
	end := len(path)
	if end > ps.longest {
		// Prefixes longer than every path cannot match, so that a request
		// with very many segments costs no more than one with few.
		end = ps.longest
		for end < len(path) && path[end] != '/' {
			end--
			if end < 0 {
				return nil
			}
		}
	}
	for {
		if rs := ps.routes[path[:end]]; rs != nil {
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

// choose returns the first route that allows the method. HEAD is allowed wherever
// GET is, as RFC 9110 section 9.1 expects.
func choose(rs []*Route, method string) Result {
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
