package config

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// ParseDocuments parses the YAML documents in r. Errors refer to r as file. All
// faults of the file are reported together in an *InvalidError.
//
// Faults that involve more than one document, such as a route to a service that
// the fleet does not define, are reported by Compile.
func ParseDocuments(file string, r io.Reader) ([]Document, error) {
	c := &collector{file: file}
	b, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(b) > MaxFileBytes {
		c.addf("", "has more than %d bytes", MaxFileBytes)
		return nil, c.err()
	}
	docs := parseStream(c, string(b))
	if len(docs) == 0 && c.count() == 0 {
		c.addf("", "contains no document")
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return docs, nil
}

func parseStream(c *collector, s string) []Document {
	var docs []Document
	seen := make(map[DocumentKey]bool)
	dec := yaml.NewDecoder(strings.NewReader(s))
	for {
		var n yaml.Node
		err := dec.Decode(&n)
		if errors.Is(err, io.EOF) {
			return docs
		}
		if err != nil {
			c.addf("", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
			return docs
		}
		if len(docs) >= MaxDocuments {
			c.addf("", "contains more than %d documents", MaxDocuments)
			return docs
		}
		d, ok := parseDocument(c, &n)
		if !ok {
			continue
		}
		if seen[d.Key] {
			c.addf(string(d.Key), "is defined twice (second definition at line %d)", n.Line)
		}
		seen[d.Key] = true
		docs = append(docs, d)
	}
}

func parseDocument(c *collector, n *yaml.Node) (Document, bool) {
	before := c.count()
	if n.Kind == yaml.DocumentNode && len(n.Content) == 1 {
		n = n.Content[0]
	}
	if n.Kind == yaml.ScalarNode && n.ShortTag() == "!!null" {
		return Document{}, false // an empty document, as after a final separator
	}
	if !checkTree(c, n, 0) {
		return Document{}, false
	}
	d := readDocument(c, n)
	if d == nil || c.count() > before {
		return Document{}, false
	}
	d.check(c)
	if c.count() > before {
		return Document{}, false
	}
	p, err := marshal(d)
	if err != nil {
		c.addf("", "cannot be encoded: %v", err)
		return Document{}, false
	}
	if len(p) > MaxPartBytes {
		c.addf(string(d.key()), "has %d bytes when encoded, want at most %d", len(p), MaxPartBytes)
		return Document{}, false
	}
	return Document{Key: d.key(), Part: p, File: c.file}, true
}

// checkTree rejects anchors, aliases and deep nesting, with which a small file
// could expand to a large document.
func checkTree(c *collector, n *yaml.Node, depth int) bool {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		c.addf("", "line %d: anchors and aliases are not supported", n.Line)
		return false
	}
	if depth > maxNesting {
		c.addf("", "line %d: nested more than %d levels deep", n.Line, maxNesting)
		return false
	}
	for _, m := range n.Content {
		if !checkTree(c, m, depth+1) {
			return false
		}
	}
	return true
}

func readDocument(c *collector, n *yaml.Node) document {
	if n.Kind != yaml.MappingNode {
		c.addf("", "line %d: want a mapping that begins with fleet, template or account", n.Line)
		return nil
	}
	var kinds []string
	for i := 0; i+1 < len(n.Content); i += 2 {
		switch k := n.Content[i].Value; k {
		case "fleet", "account":
			kinds = append(kinds, k)
		case "template":
			kinds = append(kinds, k)
		}
	}
	switch strings.Join(kinds, " ") {
	case "fleet":
		return readFleet(c, n)
	case "template":
		return readTemplate(c, n)
	case "account", "account template", "template account":
		return readAccount(c, n)
	}
	c.addf("", "line %d: want exactly one of fleet, template and account", n.Line)
	return nil
}

func readFleet(c *collector, n *yaml.Node) document {
	o := readObject(c, n, "", "fleet", "ranks", "services")
	d := &fleetDocument{Fleet: o.text("fleet"), Ranks: []rankDocument{}, Services: []serviceDocument{}}
	o.each("ranks", func(o object) {
		d.Ranks = append(d.Ranks, rankDocument{
			Name: mesh.Rank(o.text("name")), Target: o.duration("target"),
			Worth: o.number("worth"), Floor: o.number("floor"), Bulk: o.bool("bulk"),
		})
	}, "name", "target", "worth", "floor", "bulk")
	o.each("services", func(o object) {
		d.Services = append(d.Services, serviceDocument{
			Name: mesh.Service(o.text("name")), Slots: o.int("slots"), Connections: o.int("connections"),
		})
	}, "name", "slots", "connections")
	return d
}

func readTemplate(c *collector, n *yaml.Node) document {
	o := readObject(c, n, "", "template", "parameters", "routes")
	d := &templateDocument{Template: o.text("template"), Parameters: []parameterDocument{}, Routes: []routeDocument{}}
	o.each("parameters", func(o object) {
		d.Parameters = append(d.Parameters, parameterDocument{
			Name: o.text("name"), Kind: o.text("kind"), Required: o.bool("required"),
			Min: o.scalar("min"), Max: o.scalar("max"), Default: o.scalar("default"),
		})
	}, "name", "kind", "required", "min", "max", "default")
	o.each("routes", func(o object) {
		r := routeDocument{
			Name: o.scalar("name"), Host: o.scalar("host"), Path: o.scalar("path"), Methods: o.scalars("methods"),
			Service: o.scalar("service"), Rank: o.scalar("rank"), Idempotent: o.scalar("idempotent"),
			Deadline: o.scalar("deadline"), Rate: o.scalar("rate"), Claim: o.scalar("claim"),
		}
		if m := o.fields["retry"]; m != nil {
			t := readObject(c, m, o.fieldPath("retry"), "attempts", "hedge")
			r.Retry = retryDocument{Attempts: t.scalar("attempts"), Hedge: t.scalar("hedge")}
		}
		d.Routes = append(d.Routes, r)
	}, "name", "host", "path", "methods", "service", "rank", "idempotent", "deadline", "rate", "retry", "claim")
	return d
}

func readAccount(c *collector, n *yaml.Node) document {
	o := readObject(c, n, "", "account", "template", "parameters")
	d := &accountDocument{
		Account: mesh.ClientAccount(o.text("account")), Template: o.text("template"), Parameters: map[string]value{},
	}
	if m := o.fields["parameters"]; m != nil {
		t := readObject(c, m, "parameters")
		for _, name := range slices.Sorted(maps.Keys(t.fields)) {
			d.Parameters[name] = t.scalar(name)
		}
	}
	return d
}

// object is a YAML mapping without repeated fields.
type object struct {
	c      *collector
	path   string
	fields map[string]*yaml.Node
}

// readObject reads the mapping n at path. It adds a fault for each repeated
// field and, if known is not empty, for each field that known does not list.
func readObject(c *collector, n *yaml.Node, path string, known ...string) object {
	o := object{c, path, make(map[string]*yaml.Node)}
	if n.Kind != yaml.MappingNode {
		c.addf(path, "line %d: want a mapping", n.Line)
		return o
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		switch {
		case k.Kind != yaml.ScalarNode || k.ShortTag() != "!!str":
			c.addf(path, "line %d: want a string as field name", k.Line)
		case o.fields[k.Value] != nil:
			c.addf(o.fieldPath(k.Value), "line %d: field is repeated", k.Line)
		case len(known) > 0 && !slices.Contains(known, k.Value):
			c.addf(o.fieldPath(k.Value), "line %d: unknown field; want one of %s", k.Line, strings.Join(known, ", "))
		default:
			o.fields[k.Value] = v
		}
	}
	return o
}

func (o object) fieldPath(field string) string {
	if o.path == "" {
		return field
	}
	return o.path + "." + field
}

// each calls f for every mapping in the list at the given field.
func (o object) each(field string, f func(object), known ...string) {
	n := o.fields[field]
	if n == nil {
		return
	}
	if n.Kind != yaml.SequenceNode {
		o.c.addf(o.fieldPath(field), "line %d: want a list", n.Line)
		return
	}
	for i, m := range n.Content {
		f(readObject(o.c, m, fmt.Sprintf("%s[%d]", o.fieldPath(field), i), known...))
	}
}

func (o object) scalar(field string) value {
	if n := o.fields[field]; n != nil {
		return readScalar(o.c, n, o.fieldPath(field))
	}
	return value{}
}

func (o object) scalars(field string) []value {
	n := o.fields[field]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode {
		o.c.addf(o.fieldPath(field), "line %d: want a list", n.Line)
		return nil
	}
	var vs []value
	for i, m := range n.Content {
		vs = append(vs, readScalar(o.c, m, fmt.Sprintf("%s[%d]", o.fieldPath(field), i)))
	}
	return vs
}

func (o object) typedScalar(field string, k valueKind) value {
	v := o.scalar(field)
	if v.kind != k && v.kind != absent {
		o.c.addf(o.fieldPath(field), "line %d: want %s, not %s", o.fields[field].Line, k, v.kind)
		return value{}
	}
	return v
}

func (o object) text(field string) string { return o.typedScalar(field, textValue).text }

func (o object) bool(field string) bool { return o.typedScalar(field, boolValue).bool() }

func (o object) number(field string) float64 { return o.typedScalar(field, numberValue).number() }

func (o object) int(field string) int {
	f := o.number(field)
	if f != float64(int(f)) {
		o.c.addf(o.fieldPath(field), "want a whole number, not %v", f)
	}
	return int(f)
}

func (o object) duration(field string) duration {
	v := o.typedScalar(field, textValue)
	if v.kind == absent {
		return 0
	}
	d, err := time.ParseDuration(v.text)
	if err != nil {
		o.c.addf(o.fieldPath(field), "%q is not a duration such as 150ms or 2s", v.text)
	}
	return duration(d)
}

func readScalar(c *collector, n *yaml.Node, field string) value {
	if n.Kind != yaml.ScalarNode {
		c.addf(field, "line %d: want a single value", n.Line)
		return value{}
	}
	switch n.ShortTag() {
	case "!!str":
		return newTextValue(n.Value)
	case "!!bool":
		var b bool
		if err := n.Decode(&b); err == nil {
			return newBoolValue(b)
		}
	case "!!int", "!!float":
		var f float64
		if err := n.Decode(&f); err == nil {
			v, err := newNumberValue(f)
			if err != nil {
				c.addf(field, "line %d: %v", n.Line, err)
			}
			return v
		}
	case "!!null":
		c.addf(field, "line %d: has no value", n.Line)
		return value{}
	}
	c.addf(field, "line %d: %q is not a string, a number, true or false; quote it if it is a string", n.Line, n.Value)
	return value{}
}
