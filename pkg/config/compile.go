package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Compile builds the snapshot that nodes serve as version v from the complete
// configuration that m lists. The part function returns the part with the given
// digest, or false if it is not available.
//
// Compile has no side effects other than calling part. All faults are reported
// together in an *InvalidError, with document keys in place of file names.
// Compile does not check that a part matches its digest: part must do so.
func Compile(v mesh.Version, m Manifest, part func(mesh.Digest) (Part, bool)) (*Snapshot, error) {
	if err := m.Check(); err != nil {
		return nil, err
	}
	k := &compilation{
		c:         &collector{file: "manifest"},
		templates: make(map[string]*templateDocument),
		owners:    make(map[hostPath]mesh.ClientAccount),
		snapshot:  &Snapshot{Version: v, Digest: m.Digest(), Services: make(map[mesh.Service]ServicePolicy)},
	}
	k.load(m, part)
	if k.fleet == nil && k.c.count() == 0 {
		k.c.addf(string(FleetKey), "the fleet document is missing")
	}
	if k.c.count() == 0 {
		k.addFleet()
		k.checkTemplates()
		k.addAccounts()
	}
	if err := k.c.err(); err != nil {
		return nil, err
	}
	k.sort()
	return k.snapshot, nil
}

// hostPath is a host and path, which at most one client account may use.
type hostPath struct{ host, path string }

// compilation is the state of one call of Compile.
type compilation struct {
	c                *collector
	fleet            *fleetDocument
	templates        map[string]*templateDocument
	accounts         []*accountDocument // sorted by name, as in the manifest
	invalidTemplates map[string]bool    // templates that have faults without arguments
	ranks            map[mesh.Rank]bool
	owners           map[hostPath]mesh.ClientAccount
	snapshot         *Snapshot
}

func (k *compilation) load(m Manifest, part func(mesh.Digest) (Part, bool)) {
	for _, e := range m.Entries {
		p, ok := part(e.Part)
		if !ok {
			k.c.addf(string(e.Key), "part %s is missing", e.Part)
			continue
		}
		d, faults := decode(string(e.Key), p)
		k.c.merge(faults)
		if d == nil {
			continue
		}
		if d.key() != e.Key {
			k.c.addf(string(e.Key), "part %s is the document %s", e.Part, d.key())
			continue
		}
		switch d := d.(type) {
		case *fleetDocument:
			k.fleet = d
		case *templateDocument:
			k.templates[d.Template] = d
		case *accountDocument:
			k.accounts = append(k.accounts, d)
		}
	}
}

func (k *compilation) addFleet() {
	s := k.snapshot
	s.Fleet = k.fleet.Fleet
	k.ranks = make(map[mesh.Rank]bool, len(k.fleet.Ranks))
	for _, r := range k.fleet.Ranks {
		k.ranks[r.Name] = true
		s.Ranks = append(s.Ranks, RankPolicy{Name: r.Name, Target: time.Duration(r.Target), Worth: r.Worth, Floor: r.Floor, Bulk: r.Bulk})
	}
	for _, p := range k.fleet.Services {
		s.Services[p.Name] = ServicePolicy(p)
	}
}

// reader returns a route reader that also checks that services and ranks exist.
func (k *compilation) reader(c *collector, prefix string, d *templateDocument) *routeReader {
	r := newRouteReader(c, prefix, d)
	r.services = k.snapshot.Services
	r.ranks = k.ranks
	return r
}

// checkTemplates checks the services and ranks that templates name without a
// reference, so that such a fault is reported once and not for each account.
func (k *compilation) checkTemplates() {
	k.invalidTemplates = make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(k.templates)) {
		t := k.templates[name]
		c := &collector{file: string(TemplateKey(name))}
		r := k.reader(c, "", t)
		for i := range t.Routes {
			r.readRoute(i, &t.Routes[i])
		}
		k.invalidTemplates[name] = c.count() > 0
		k.c.merge(c)
	}
}

func (k *compilation) addAccounts() {
	for _, a := range k.accounts {
		k.snapshot.Accounts = append(k.snapshot.Accounts, a.Account)
		c := &collector{file: string(AccountKey(a.Account))}
		t, ok := k.templates[a.Template]
		if !ok {
			c.addf("template", "template %q does not exist", a.Template)
		} else if !k.invalidTemplates[a.Template] {
			k.addRoutes(c, a, t)
		}
		k.c.merge(c)
	}
}

func (k *compilation) addRoutes(c *collector, a *accountDocument, t *templateDocument) {
	args := arguments(c, a, t)
	if c.count() > 0 {
		return
	}
	if len(k.snapshot.Routes)+len(t.Routes) > MaxTotalRoutes {
		c.addf("", "raises the number of routes of all accounts above %d", MaxTotalRoutes)
		return
	}
	r := k.reader(c, fmt.Sprintf("template %s: ", a.Template), t)
	r.args = args
	r.routes = make([]Route, 0, len(t.Routes))
	for i := range t.Routes {
		r.readRoute(i, &t.Routes[i])
	}
	r.checkOverlap()
	for i := range r.routes {
		r.routes[i].Account = a.Account
		r.index = i
		k.assignOwner(r, &r.routes[i])
	}
	k.snapshot.Routes = append(k.snapshot.Routes, r.routes...)
}

// assignOwner makes the account of t the owner of its host and path, or adds a
// fault if another account owns them.
func (k *compilation) assignOwner(r *routeReader, t *Route) {
	hp := hostPath{t.Host, t.Path}
	if owner, ok := k.owners[hp]; ok && owner != t.Account {
		r.addf("path", "host %q and path %q belong to account %q", t.Host, t.Path, owner)
		return
	}
	k.owners[hp] = t.Account
}

// arguments returns the value of each parameter of t for account a.
func arguments(c *collector, a *accountDocument, t *templateDocument) map[string]value {
	args := make(map[string]value, len(t.Parameters))
	for i := range t.Parameters {
		p := &t.Parameters[i]
		v, ok := a.Parameters[p.Name]
		switch {
		case ok:
			p.checkValue(c, "parameters."+p.Name, v)
		case p.Required:
			c.addf("parameters."+p.Name, "must be set: template %q requires it", t.Template)
		default:
			v = p.Default
		}
		args[p.Name] = v
	}
	for _, name := range slices.Sorted(maps.Keys(a.Parameters)) {
		if _, ok := args[name]; !ok {
			c.addf("parameters."+name, "template %q has no such parameter", t.Template)
		}
	}
	return args
}

func (k *compilation) sort() {
	s := k.snapshot
	slices.SortFunc(s.Routes, func(a, b Route) int { return compareRoutes(&a, &b) })
	slices.SortFunc(s.Accounts, func(a, b mesh.ClientAccount) int { return strings.Compare(string(a), string(b)) })
}
