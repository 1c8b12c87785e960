package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/internal/check"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Definition is a configuration that a platform has decoded from a form of its own. It
// has no documents: routes have a priority and a target in place of a rank, and their
// paths are literal. See Snapshot.Literal.
type Definition struct {
	Version   mesh.Version
	Digest    mesh.Digest
	Services  []ServicePolicy
	Routes    []RouteDefinition
	Accounts  []AccountDefinition
	Placement Placement
}

// RouteDefinition is one route of a Definition. Its host may have upper case, and its
// rank is not set.
type RouteDefinition struct {
	Route
	Priority int // 0 is the most urgent
	Target   time.Duration
	Bulk     bool
}

// AccountDefinition is one client account of a Definition.
type AccountDefinition struct {
	AccountPolicy
	Keys       []string
	KeyDigests []mesh.Digest // of further keys
}

// Build validates d and returns its snapshot. Its error lists every fault, and no key.
func Build(d *Definition) (*Snapshot, error) {
	s := &Snapshot{
		Version:   d.Version,
		Digest:    d.Digest,
		Services:  make(map[mesh.Service]ServicePolicy, len(d.Services)),
		Literal:   true,
		Placement: d.Placement,
	}
	var errs []error
	for _, p := range d.Services {
		if err := check.Range("connections", p.Connections, maxDefinedCount); err != nil {
			errs = append(errs, fmt.Errorf("service %q: %w", p.Name, err))
		}
		s.Services[p.Name] = p
	}
	errs = append(errs, d.checkRoutes(s), d.addAccounts(s))
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	s.Ranks = d.ranks()
	s.Routes = slices.Grow(s.Routes, len(d.Routes))
	for i := range d.Routes {
		t := d.Routes[i].Route
		t.Host = strings.ToLower(t.Host)
		t.Rank = d.Routes[i].rankPolicy().Name
		if len(t.Split) > 0 {
			t.Service = t.Split[0].Service
		}
		s.Routes = append(s.Routes, t)
	}
	return s, nil
}

func (d *Definition) checkRoutes(s *Snapshot) error {
	var errs []error
	seen := make(map[string]bool)
	for i := range d.Routes {
		r := &d.Routes[i]
		if err := r.check(s); err != nil {
			errs = append(errs, fmt.Errorf("route %q: %w", r.Name, err))
		}
		hostPrefix := r.Host + r.Path
		if seen[hostPrefix] {
			errs = append(errs, fmt.Errorf("route %q: another route has the same host and prefix", r.Name))
		}
		seen[hostPrefix] = true
	}
	return errors.Join(errs...)
}

func (r *RouteDefinition) check(s *Snapshot) error {
	var errs []error
	addf := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if !strings.HasPrefix(r.Path, "/") || !strings.HasSuffix(r.Path, "/") {
		addf("prefix %q does not begin and end with a slash", r.Path)
	}
	if r.Deadline <= 0 || r.Retry.Attempts <= 0 {
		addf("timeout %d ms and attempts %d must be positive", r.Deadline.Milliseconds(), r.Retry.Attempts)
	}
	errs = append(errs, check.Range("attempts", r.Retry.Attempts, maxDefinedCount))
	totalWeight := 0
	for _, t := range r.Split {
		if _, ok := s.Services[t.Service]; !ok {
			addf("service %q does not exist", t.Service)
		}
		errs = append(errs, check.Range("weight", t.Weight, maxDefinedCount))
		totalWeight += t.Weight
	}
	if _, ok := s.Services[r.Service]; !ok && len(r.Split) == 0 {
		addf("service %q does not exist", r.Service)
	}
	if len(r.Split) > 0 && totalWeight <= 0 {
		addf("weights add up to %d, want a positive sum", totalWeight)
	}
	return errors.Join(errs...)
}

// rankPolicy returns the rank of r. Routes with equal priority, target and bulk flag
// share a rank.
func (r *RouteDefinition) rankPolicy() RankPolicy {
	p := RankPolicy{
		Name:   mesh.Rank(fmt.Sprintf("p%d-%dms", r.Priority, r.Target.Milliseconds())),
		Target: r.Target,
		Floor:  definedRankFloor,
		Bulk:   r.Bulk,
	}
	if r.Bulk {
		p.Name += "-bulk"
	}
	return p
}

// ranks returns the distinct ranks of all routes, ordered by priority and then by
// target. If there are client accounts, the ranks of routes that require a key are
// repeated for each priority of an account, which takes precedence. Those of public
// routes come first: nested calls of backend servers, which carry no key, finish work
// that has already been started.
func (d *Definition) ranks() []RankPolicy {
	var open, keyed []rankedPolicy
	for i := range d.Routes {
		r := &d.Routes[i]
		if len(d.Accounts) > 0 && !r.Public {
			keyed = append(keyed, rankedPolicy{r.Priority, r.rankPolicy()})
		} else {
			open = append(open, rankedPolicy{r.Priority, r.rankPolicy()})
		}
	}
	out := appendTiers(nil, sortedPolicies(open))
	keyedPolicies := sortedPolicies(keyed)
	for _, priority := range d.accountPriorities() {
		n := len(out)
		out = appendTiers(out, keyedPolicies)
		for i := n; i < len(out); i++ {
			p := &out[i]
			p.Base, p.Name = p.Name, AccountRank(priority, p.Name)
		}
	}
	if floor := maxDefinedFloorSum / float64(max(len(out), 1)); len(d.Accounts) > 0 && floor < definedRankFloor {
		for i := range out {
			out[i].Floor = floor
		}
	}
	return out
}

// rankedPolicy is a rank with the priority of its routes.
type rankedPolicy struct {
	priority int
	RankPolicy
}

// sortedPolicies returns the distinct policies of rs, most urgent first.
func sortedPolicies(rs []rankedPolicy) []RankPolicy {
	slices.SortFunc(rs, func(a, b rankedPolicy) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.Target, b.Target), cmp.Compare(a.Name, b.Name))
	})
	rs = slices.CompactFunc(rs, func(a, b rankedPolicy) bool { return a.Name == b.Name })
	out := make([]RankPolicy, len(rs))
	for i := range rs {
		out[i] = rs[i].RankPolicy
		out[i].Tier = rs[i].priority
	}
	return out
}

// appendTiers appends ps, whose tiers are priorities, to out, with tiers that are higher
// than those of out.
func appendTiers(out, ps []RankPolicy) []RankPolicy {
	tier := 0
	if n := len(out); n > 0 {
		tier = out[n-1].Tier + 1
	}
	for i, p := range ps {
		if i > 0 && p.Tier != ps[i-1].Tier {
			tier++
		}
		p.Tier = tier
		out = append(out, p)
	}
	return out
}

// accountPriorities returns the distinct priorities of client accounts, most urgent first.
func (d *Definition) accountPriorities() []int {
	var out []int
	for i := range d.Accounts {
		out = append(out, d.Accounts[i].Priority)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// addAccounts adds the client accounts and their keys to s. Its error lists every fault,
// and no key.
func (d *Definition) addAccounts(s *Snapshot) error {
	var errs []error
	for i := range d.Accounts {
		a := &d.Accounts[i]
		faults := []error{a.check()}
		for _, key := range a.Keys {
			faults = append(faults, s.Keys.Add(key, a.Name))
		}
		for _, digest := range a.KeyDigests {
			faults = append(faults, s.Keys.AddDigest(digest, a.Name))
		}
		if err := errors.Join(faults...); err != nil {
			errs = append(errs, fmt.Errorf("client account %q: %w", a.Name, err))
		}
		s.ClientAccounts = append(s.ClientAccounts, a.AccountPolicy)
	}
	slices.SortFunc(s.ClientAccounts, func(a, b AccountPolicy) int { return cmp.Compare(a.Name, b.Name) })
	for i := 1; i < len(s.ClientAccounts); i++ {
		if s.ClientAccounts[i].Name == s.ClientAccounts[i-1].Name {
			errs = append(errs, fmt.Errorf("client account %q exists twice", s.ClientAccounts[i].Name))
		}
	}
	if n := len(d.accountPriorities()); n > maxAccountPriorities {
		errs = append(errs, fmt.Errorf("client accounts have %d priorities, want at most %d", n, maxAccountPriorities))
	}
	return errors.Join(errs...)
}

func (a *AccountDefinition) check() error {
	errs := []error{
		check.Range("priority", a.Priority, maxDefinedCount),
		check.Range("rate", a.Rate, maxDefinedCount),
		check.Range("burst", a.Burst, maxDefinedCount),
	}
	if a.Name == "" || len(a.Name) > maxAccountNameBytes || strings.ContainsFunc(string(a.Name), isControl) {
		errs = append(errs, errors.New("the name is empty, too long or has control characters"))
	}
	return errors.Join(errs...)
}

// isControl reports whether r cannot be sent in a header field.
func isControl(r rune) bool { return r < ' ' || r == 0x7f }
