package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Document is one parsed document and the name of the file that defines it.
type Document struct {
	Key  DocumentKey
	Part Part
	File string
}

// Digest returns the digest that identifies p.
func (p Part) Digest() mesh.Digest { return mesh.DigestOf(p) }

// YAML returns the document that p encodes as YAML, the form that operators
// edit. Parsing the result with ParseDocuments yields p again.
func (p Part) YAML() ([]byte, error) {
	var n yaml.Node
	if err := yaml.Unmarshal(p, &n); err != nil {
		return nil, fmt.Errorf("part %s: %w", p.Digest(), err)
	}
	setBlockStyle(&n)
	b, err := yaml.Marshal(&n)
	if err != nil {
		return nil, fmt.Errorf("part %s: %w", p.Digest(), err)
	}
	return b, nil
}

// setBlockStyle removes the flow style and the quotes of JSON. The encoder
// quotes a string again where its plain form would be read as another type.
func setBlockStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		setBlockStyle(c)
	}
}

// Key decodes p and returns its document key.
func (p Part) Key() (DocumentKey, error) {
	d, c := decode("part", p)
	if err := c.err(); err != nil {
		return "", err
	}
	return d.key(), nil
}

// document is the decoded content of a fleet, template or account document.
type document interface {
	key() DocumentKey
	// check adds the faults that can be detected without other documents.
	check(*collector)
}

type fleetDocument struct {
	Fleet    string            `json:"fleet"`
	Ranks    []rankDocument    `json:"ranks"`
	Services []serviceDocument `json:"services"`
}

type rankDocument struct {
	Name   mesh.Rank `json:"name"`
	Target duration  `json:"target"`
	Worth  float64   `json:"worth"`
	Floor  float64   `json:"floor"`
	Bulk   bool      `json:"bulk"`
}

type serviceDocument struct {
	Name        mesh.Service `json:"name"`
	Slots       int          `json:"slots"`
	Connections int          `json:"connections"`
}

type templateDocument struct {
	Template   string              `json:"template"`
	Parameters []parameterDocument `json:"parameters"`
	Routes     []routeDocument     `json:"routes"`
}

type parameterDocument struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"`
	Required bool   `json:"required,omitempty"`
	Min      value  `json:"min,omitzero"`
	Max      value  `json:"max,omitzero"`
	Default  value  `json:"default,omitzero"`
}

// routeDocument keeps scalars unparsed, since each may contain references to
// parameters.
type routeDocument struct {
	Name       value         `json:"name,omitzero"`
	Host       value         `json:"host,omitzero"`
	Path       value         `json:"path,omitzero"`
	Methods    []value       `json:"methods,omitempty"`
	Service    value         `json:"service,omitzero"`
	Rank       value         `json:"rank,omitzero"`
	Idempotent value         `json:"idempotent,omitzero"`
	Deadline   value         `json:"deadline,omitzero"`
	Rate       value         `json:"rate,omitzero"`
	Retry      retryDocument `json:"retry,omitzero"`
	Claim      value         `json:"claim,omitzero"`
}

type retryDocument struct {
	Attempts value `json:"attempts,omitzero"`
	Hedge    value `json:"hedge,omitzero"`
}

type accountDocument struct {
	Account    mesh.ClientAccount `json:"account"`
	Template   string             `json:"template"`
	Parameters map[string]value   `json:"parameters"`
}

func (d *fleetDocument) key() DocumentKey    { return FleetKey }
func (d *templateDocument) key() DocumentKey { return TemplateKey(d.Template) }
func (d *accountDocument) key() DocumentKey  { return AccountKey(d.Account) }

// marshal is json.Marshal without HTML escaping.
func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimRight(b.Bytes(), "\n"), nil
}

// decode returns the content of p and its faults, which are reported for the
// given file. The content is nil if p cannot be decoded.
func decode(file string, p Part) (document, *collector) {
	c := &collector{file: file}
	if len(p) > MaxPartBytes {
		c.addf("", "has %d bytes, want at most %d", len(p), MaxPartBytes)
		return nil, c
	}
	var d document
	switch {
	case bytes.HasPrefix(p, []byte(`{"fleet":`)):
		d = new(fleetDocument)
	case bytes.HasPrefix(p, []byte(`{"template":`)):
		d = new(templateDocument)
	case bytes.HasPrefix(p, []byte(`{"account":`)):
		d = new(accountDocument)
	default:
		c.addf("", "is not a fleet, template or account document")
		return nil, c
	}
	dec := json.NewDecoder(bytes.NewReader(p))
	dec.DisallowUnknownFields()
	if err := dec.Decode(d); err != nil {
		c.addf("", "cannot be decoded: %v", err)
		return nil, c
	}
	if _, err := dec.Token(); err != io.EOF {
		c.addf("", "has data after the document")
		return nil, c
	}
	d.check(c)
	return d, c
}

// checkText reports whether s is short enough and can be written in YAML without
// escapes, and adds a fault if not.
func checkText(c *collector, field, s string) bool {
	if len(s) > MaxTextBytes {
		c.addf(field, "has %d bytes, want at most %d", len(s), MaxTextBytes)
		return false
	}
	if i := strings.IndexFunc(s, func(r rune) bool { return r < ' ' || r == 0x7f || r == '\uFEFF' || r == '\uFFFD' }); i >= 0 {
		c.addf(field, "contains a control character at byte %d", i)
		return false
	}
	return true
}
