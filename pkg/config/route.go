package config

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

var (
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
	pathPattern    = regexp.MustCompile(`^(/|(/[A-Za-z0-9._~!&'()*+,;=:@-]+)+)$`)
	allowedMethods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}
)

// methodFieldNames holds the names of the elements of a methods field. A longer
// list repeats a method, which is a fault anyway; the rest share the last name.
var methodFieldNames = func() (f [8]string) {
	for i := range f {
		f[i] = fmt.Sprintf("methods[%d]", i)
	}
	return f
}()

const maxHostBytes = 253 // bytes of a DNS name

// routeReader converts the routes of a template to routes of one client account.
//
// Without arguments it checks the template alone: in fields that contain a
// reference it checks only the kind of the parameter, and the resulting routes
// are incomplete.
type routeReader struct {
	c        *collector
	prefix   string // prepended to field names in faults
	kinds    map[string]string
	args     map[string]value
	services map[mesh.Service]ServicePolicy // nil: not checked
	ranks    map[mesh.Rank]bool             // nil: not checked
	index    int                            // index of the current route
	routes   []Route
}

func newRouteReader(c *collector, prefix string, d *templateDocument) *routeReader {
	r := &routeReader{c: c, prefix: prefix, kinds: make(map[string]string, len(d.Parameters))}
	for _, p := range d.Parameters {
		r.kinds[p.Name] = p.Kind
	}
	return r
}

func (r *routeReader) addf(field, format string, args ...any) {
	r.c.addf(fmt.Sprintf("%sroutes[%d].%s", r.prefix, r.index, field), format, args...)
}

// readRoute appends the route that d defines to r.routes. After a fault it goes
// on, and skips only the checks that need the faulty field.
func (r *routeReader) readRoute(i int, d *routeDocument) {
	r.index = i
	var t Route
	name, ok := r.text("name", d.Name, true)
	if ok {
		t.Name = name
		if !r.alreadyChecked(d.Name) {
			checkRouteName(r, name)
		}
	}
	r.readServiceAndRank(d, &t)
	r.readMatch(d, &t)
	t.Idempotent, ok = r.bool("idempotent", d.Idempotent)
	idempotentKnown := ok
	t.Claim, ok = r.bool("claim", d.Claim)
	if idempotentKnown && ok && t.Claim && t.Idempotent {
		r.addf("claim", "needs idempotent: false; an idempotent request can be repeated without a claim")
	}
	deadline, deadlineKnown := r.duration("deadline", d.Deadline, true)
	if deadlineKnown && deadline <= 0 || deadline > MaxDuration {
		r.addf("deadline", "%v is not a positive duration of at most %v", deadline, MaxDuration)
	}
	t.Deadline = deadline
	if t.Rate, ok = r.number("rate", d.Rate, 0); ok && !(t.Rate >= 0 && t.Rate <= MaxRate) {
		r.addf("rate", "%v is outside 0 to %v", t.Rate, MaxRate)
	}
	r.readRetry(d, &t, idempotentKnown, deadlineKnown)
	r.routes = append(r.routes, t)
}

func checkRouteName(r *routeReader, name string) {
	if err := mesh.CheckName(name); err != nil {
		r.addf("name", "%v", err)
	}
}

// readServiceAndRank reads the service and rank of a route.
func (r *routeReader) readServiceAndRank(d *routeDocument, t *Route) {
	if s, ok := r.text("service", d.Service, true); ok {
		t.Service = mesh.Service(s)
		if _, found := r.services[t.Service]; !found && r.services != nil {
			r.addf("service", "service %q does not exist", s)
		}
	}
	if s, ok := r.text("rank", d.Rank, true); ok {
		t.Rank = mesh.Rank(s)
		if r.ranks != nil && !r.ranks[t.Rank] {
			r.addf("rank", "rank %q does not exist", s)
		}
	}
}

// readMatch reads the host, path and methods of a route.
func (r *routeReader) readMatch(d *routeDocument, t *Route) {
	if s, ok := r.text("host", d.Host, false); ok && s != "" {
		t.Host = strings.ToLower(s)
		if !r.alreadyChecked(d.Host) && (len(s) > maxHostBytes || !hostPattern.MatchString(t.Host)) {
			r.addf("host", "%q is not a host name without port", s)
		}
	}
	if s, ok := r.text("path", d.Path, true); ok {
		t.Path = s
		if !r.alreadyChecked(d.Path) && (!pathPattern.MatchString(s) || hasDotSegment(s)) {
			r.addf("path", "%q is not a path: want unescaped segments such as /a/b, without a final slash", s)
		}
	}
	for i, v := range d.Methods {
		field := methodFieldNames[min(i, len(methodFieldNames)-1)]
		s, ok := r.text(field, v, true)
		if !ok {
			continue
		}
		if !slices.Contains(allowedMethods, s) {
			r.addf(field, "%q is not one of %s", s, strings.Join(allowedMethods, ", "))
		}
		if slices.Contains(t.Methods, s) {
			r.addf(field, "%q is listed twice", s)
			continue
		}
		t.Methods = append(t.Methods, s)
	}
	slices.Sort(t.Methods)
}

func hasDotSegment(p string) bool {
	if !strings.Contains(p, "/.") {
		return false
	}
	for s := range strings.SplitSeq(p, "/") {
		if s == "." || s == ".." {
			return true
		}
	}
	return false
}

func (r *routeReader) readRetry(d *routeDocument, t *Route, idempotentKnown, deadlineKnown bool) {
	n, ok := r.number("retry.attempts", d.Retry.Attempts, 1)
	if ok && (n < 1 || n > MaxAttempts || n != float64(int(n))) {
		r.addf("retry.attempts", "%v is not a whole number from 1 to %d", n, MaxAttempts)
		n = 1
	}
	t.Retry.Attempts = int(n)
	h, ok := r.duration("retry.hedge", d.Retry.Hedge, false)
	if !ok || h == 0 {
		return
	}
	t.Retry.Hedge = h
	if h < 0 {
		r.addf("retry.hedge", "%v is negative", h)
	}
	if idempotentKnown && !t.Idempotent {
		r.addf("retry.hedge", "needs idempotent: true")
	}
	if deadlineKnown && h >= t.Deadline {
		r.addf("retry.hedge", "%v is not below the deadline %v", h, t.Deadline)
	}
}

// resolve returns v with its references replaced by arguments. It adds a fault
// and returns false if a reference is malformed or undeclared. It returns false
// without a fault if v has references and r has no arguments.
func (r *routeReader) resolve(field string, v value) (value, bool) {
	if isLiteral(v) {
		return v, true
	}
	if name, ok := soleReference(v); ok && r.args != nil {
		return r.args[name], true
	}
	var b strings.Builder
	rest := v.text
	for {
		before, after, found := strings.Cut(rest, "${")
		b.WriteString(before)
		if !found {
			return newTextValue(b.String()), r.args != nil
		}
		name, after, found := strings.Cut(after, "}")
		if !found {
			r.addf(field, "%q holds an unfinished reference; want ${name}", v.text)
			return value{}, false
		}
		if _, ok := r.kinds[name]; !ok {
			r.addf(field, "parameter %q is not declared", name)
			return value{}, false
		}
		b.WriteString(r.args[name].text)
		rest = after
	}
}

// isLiteral reports whether v contains no reference.
func isLiteral(v value) bool { return v.kind != textValue || !strings.Contains(v.text, "${") }

// alreadyChecked reports whether v was checked with the template alone.
func (r *routeReader) alreadyChecked(v value) bool { return r.args != nil && isLiteral(v) }

// soleReference returns the parameter name if v is exactly one reference.
func soleReference(v value) (string, bool) {
	if v.kind != textValue || !strings.HasPrefix(v.text, "${") || strings.IndexByte(v.text, '}') != len(v.text)-1 {
		return "", false
	}
	return v.text[2 : len(v.text)-1], true
}

func (r *routeReader) text(field string, v value, required bool) (string, bool) {
	if v.kind == absent {
		if required {
			r.addf(field, "must be set")
		}
		return "", !required
	}
	if v.kind != textValue {
		r.addf(field, "want a string, not %s", v.kind)
		return "", false
	}
	v, ok := r.resolve(field, v)
	if !ok || !r.checkText(field, v.text) {
		return "", false
	}
	return v.text, true
}

func (r *routeReader) checkText(field, s string) bool {
	scratch := &collector{}
	if checkText(scratch, "", s) {
		return true
	}
	r.addf(field, "%s", scratch.faults[0].Reason)
	return false
}

// resolveTyped returns v with its references replaced. It adds a fault unless v
// is of kind k or is exactly one reference to a parameter of one of the given
// kinds.
func (r *routeReader) resolveTyped(field string, v value, k valueKind, kinds ...string) (value, bool) {
	if v.kind == k {
		return v, true
	}
	name, ok := soleReference(v)
	if !ok {
		r.addf(field, "want %s or ${name}, not %s", k, v.kind)
		return value{}, false
	}
	if kind, ok := r.kinds[name]; ok && !slices.Contains(kinds, kind) {
		r.addf(field, "parameter %q is of kind %s, want %s", name, kind, strings.Join(kinds, " or "))
		return value{}, false
	}
	return r.resolve(field, v)
}

func (r *routeReader) bool(field string, v value) (bool, bool) {
	if v.kind == absent {
		return false, true
	}
	v, ok := r.resolveTyped(field, v, boolValue, kindBool)
	return v.bool(), ok
}

func (r *routeReader) number(field string, v value, def float64) (float64, bool) {
	if v.kind == absent {
		return def, true
	}
	v, ok := r.resolveTyped(field, v, numberValue, kindInt, kindNumber)
	return v.number(), ok
}

func (r *routeReader) duration(field string, v value, required bool) (time.Duration, bool) {
	s, ok := r.text(field, v, required)
	if !ok || s == "" {
		return 0, ok
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.addf(field, "%q is not a duration such as 150ms or 2s", s)
		return 0, false
	}
	return d, true
}

// checkOverlap adds a fault for each pair of routes of one account that have
// the same name, or that match the same requests.
func (r *routeReader) checkOverlap() {
	names := make(map[string]int, len(r.routes))
	for i := range r.routes {
		r.index = i
		t := &r.routes[i]
		if j, ok := names[t.Name]; ok && t.Name != "" {
			r.addf("name", "%q is also the name of routes[%d]", t.Name, j)
		}
		names[t.Name] = i
		if t.Path == "" || r.args == nil {
			continue
		}
		for j := range i {
			u := &r.routes[j]
			if t.Path == u.Path && t.Host == u.Host && methodsOverlap(t.Methods, u.Methods) {
				r.addf("path", "host %q, path %q and a method are shared with routes[%d]", t.Host, t.Path, j)
			}
		}
	}
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}

func compareRoutes(a, b *Route) int {
	return cmp.Or(
		strings.Compare(a.Host, b.Host),
		strings.Compare(a.Path, b.Path),
		strings.Compare(a.Name, b.Name),
		strings.Compare(string(a.Account), string(b.Account)),
	)
}
