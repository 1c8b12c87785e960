package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Action says whether a change adds, changes or removes its subject.
type Action string

// The actions.
const (
	Added   Action = "added"
	Changed Action = "changed"
	Removed Action = "removed"
)

// FieldChange is the change of one field. Before is empty for an added subject
// and After for a removed one.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Change is the change of one rank, service or route.
type Change struct {
	Name   string        `json:"name"`
	Action Action        `json:"action"`
	Fields []FieldChange `json:"fields"`
}

// AccountChange is the change of one client account and its routes.
type AccountChange struct {
	Account mesh.ClientAccount `json:"account"`
	Action  Action             `json:"action"`
	Routes  []Change           `json:"routes"`
}

// Changes lists what differs between two snapshots. Every list is sorted by
// name.
type Changes struct {
	Fleet    []Change        `json:"fleet"` // name of the fleet and order of its ranks
	Ranks    []Change        `json:"ranks"`
	Services []Change        `json:"services"`
	Accounts []AccountChange `json:"accounts"`
}

// Plan returns the changes from before to after. A nil snapshot is treated as
// empty.
func Plan(before, after *Snapshot) Changes {
	if before == nil {
		before = new(Snapshot)
	}
	if after == nil {
		after = new(Snapshot)
	}
	return Changes{
		Fleet:    diffSubjects(fleetSubjects(before), fleetSubjects(after)),
		Ranks:    diffSubjects(rankSubjects(before), rankSubjects(after)),
		Services: diffSubjects(serviceSubjects(before), serviceSubjects(after)),
		Accounts: planAccounts(before, after),
	}
}

// Empty reports whether c lists no change.
func (c Changes) Empty() bool {
	return len(c.Fleet) == 0 && len(c.Ranks) == 0 && len(c.Services) == 0 && len(c.Accounts) == 0
}

// String returns c as text: one line per subject, marked with +, - or ~, and
// one line below it per changed field.
func (c Changes) String() string {
	if c.Empty() {
		return "no changes\n"
	}
	var b strings.Builder
	writeChanges(&b, "", "", c.Fleet)
	writeChanges(&b, "", "rank ", c.Ranks)
	writeChanges(&b, "", "service ", c.Services)
	for _, a := range c.Accounts {
		fmt.Fprintf(&b, "%s account %s\n", mark(a.Action), a.Account)
		writeChanges(&b, "    ", "route ", a.Routes)
	}
	return b.String()
}

func mark(a Action) string {
	switch a {
	case Added:
		return "+"
	case Removed:
		return "-"
	}
	return "~"
}

func writeChanges(b *strings.Builder, indent, subject string, cs []Change) {
	for _, c := range cs {
		fmt.Fprintf(b, "%s%s %s%s\n", indent, mark(c.Action), subject, c.Name)
		for _, f := range c.Fields {
			switch c.Action {
			case Added:
				fmt.Fprintf(b, "%s    %s: %s\n", indent, f.Name, f.After)
			case Removed:
				fmt.Fprintf(b, "%s    %s: %s\n", indent, f.Name, f.Before)
			case Changed:
				fmt.Fprintf(b, "%s    %s: %s -> %s\n", indent, f.Name, f.Before, f.After)
			}
		}
	}
}

// subject is the name and the fields of a fleet, rank, service or route. Subjects
// of one kind have the same fields in the same order.
type subject struct {
	name   string
	fields []FieldChange // values are in After
}

// diffSubjects returns the changes from one list of subjects to another, sorted
// by name.
func diffSubjects(before, after []subject) []Change {
	old := make(map[string]subject, len(before))
	for _, s := range before {
		old[s.name] = s
	}
	cs := []Change{}
	for _, s := range after {
		o, ok := old[s.name]
		delete(old, s.name)
		if !ok {
			cs = append(cs, Change{s.name, Added, s.fields})
		} else if fs := diffFields(o.fields, s.fields); len(fs) > 0 {
			cs = append(cs, Change{s.name, Changed, fs})
		}
	}
	for _, o := range old {
		fs := make([]FieldChange, len(o.fields))
		for i, f := range o.fields {
			fs[i] = FieldChange{Name: f.Name, Before: f.After}
		}
		cs = append(cs, Change{o.name, Removed, fs})
	}
	slices.SortFunc(cs, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return cs
}

func diffFields(before, after []FieldChange) []FieldChange {
	var fs []FieldChange
	for i, f := range after {
		if b := before[i].After; b != f.After {
			fs = append(fs, FieldChange{Name: f.Name, Before: b, After: f.After})
		}
	}
	return fs
}

func fleetSubjects(s *Snapshot) []subject {
	if len(s.Ranks) == 0 {
		return nil
	}
	names := make([]string, len(s.Ranks))
	for i, r := range s.Ranks {
		names[i] = string(r.Name)
	}
	return []subject{{"fleet", []FieldChange{
		{Name: "name", After: s.Fleet},
		{Name: "order of ranks", After: strings.Join(names, ", ")},
	}}}
}

func rankSubjects(s *Snapshot) []subject {
	var list []subject
	for _, r := range s.Ranks {
		list = append(list, subject{string(r.Name), []FieldChange{
			{Name: "target", After: r.Target.String()},
			{Name: "worth", After: formatFloat(r.Worth)},
			{Name: "floor", After: formatFloat(r.Floor)},
			{Name: "bulk", After: strconv.FormatBool(r.Bulk)},
		}})
	}
	return list
}

func serviceSubjects(s *Snapshot) []subject {
	var list []subject
	for _, p := range s.Services {
		list = append(list, subject{string(p.Name), []FieldChange{
			{Name: "slots", After: strconv.Itoa(p.Slots)},
			{Name: "connections", After: strconv.Itoa(p.Connections)},
		}})
	}
	return list
}

func routeSubject(r *Route) subject {
	return subject{r.Name, []FieldChange{
		{Name: "host", After: cmp.Or(r.Host, "any")},
		{Name: "path", After: r.Path},
		{Name: "methods", After: cmp.Or(strings.Join(r.Methods, ", "), "any")},
		{Name: "service", After: string(r.Service)},
		{Name: "rank", After: string(r.Rank)},
		{Name: "idempotent", After: strconv.FormatBool(r.Idempotent)},
		{Name: "deadline", After: r.Deadline.String()},
		{Name: "rate", After: formatFloat(r.Rate)},
		{Name: "attempts", After: strconv.Itoa(r.Retry.Attempts)},
		{Name: "hedge", After: r.Retry.Hedge.String()},
		{Name: "claim", After: strconv.FormatBool(r.Claim)},
	}}
}

// formatFloat returns the shortest text that parses to f.
func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

func planAccounts(before, after *Snapshot) []AccountChange {
	old, current := accountRoutes(before), accountRoutes(after)
	names := slices.Collect(maps.Keys(current))
	for a := range old {
		if _, ok := current[a]; !ok {
			names = append(names, a)
		}
	}
	slices.Sort(names)
	list := []AccountChange{}
	for _, a := range names {
		o, inOld := old[a]
		n, inCurrent := current[a]
		c := AccountChange{Account: a, Action: Changed}
		switch {
		case !inOld:
			c.Action = Added
		case !inCurrent:
			c.Action = Removed
		case slices.EqualFunc(o, n, equalRoutes):
			continue
		}
		c.Routes = diffSubjects(routeSubjects(o), routeSubjects(n))
		list = append(list, c)
	}
	return list
}

// accountRoutes returns the routes of each client account in the order of s.
func accountRoutes(s *Snapshot) map[mesh.ClientAccount][]*Route {
	m := make(map[mesh.ClientAccount][]*Route, len(s.Accounts))
	for _, a := range s.Accounts {
		m[a] = nil
	}
	for i := range s.Routes {
		r := &s.Routes[i]
		m[r.Account] = append(m[r.Account], r)
	}
	return m
}

func routeSubjects(rs []*Route) []subject {
	list := make([]subject, len(rs))
	for i, r := range rs {
		list[i] = routeSubject(r)
	}
	return list
}

func equalRoutes(a, b *Route) bool {
	return a.Name == b.Name && len(diffFields(routeSubject(a).fields, routeSubject(b).fields)) == 0
}
