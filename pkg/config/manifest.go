package config

import (
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// DocumentKey addresses one document of the configuration.
type DocumentKey string

// FleetKey addresses the fleet document.
const FleetKey DocumentKey = "fleet"

const (
	templatePrefix = "template/"
	accountPrefix  = "account/"
)

// TemplateKey addresses the template of the given name.
func TemplateKey(name string) DocumentKey { return DocumentKey(templatePrefix + name) }

// AccountKey addresses the document of client account a.
func AccountKey(a mesh.ClientAccount) DocumentKey { return DocumentKey(accountPrefix + string(a)) }

// IsTemplate reports whether k addresses a template.
func (k DocumentKey) IsTemplate() bool { return strings.HasPrefix(string(k), templatePrefix) }

// IsAccount reports whether k addresses a client account.
func (k DocumentKey) IsAccount() bool { return strings.HasPrefix(string(k), accountPrefix) }

// Entry binds a document to one of its revisions.
type Entry struct {
	Key      DocumentKey   `json:"key"`
	Revision mesh.Revision `json:"revision"`
	Part     mesh.Digest   `json:"part"`
}

// Manifest lists the documents of one configuration, sorted by key.
type Manifest struct {
	Entries []Entry `json:"entries"`
}

// Part is the canonical encoding of one document. Its digest names it.
type Part []byte

// Delta leads from the manifest of version Base to that of version Target.
type Delta struct {
	Base    mesh.Version
	Target  mesh.Version
	Digest  mesh.Digest // digest of the target manifest
	Changed []Entry     // added or changed entries, sorted by key
	Removed []DocumentKey
	Parts   []Part // the parts that Changed names
}
