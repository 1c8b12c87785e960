package config

import (
	"strings"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// DocumentKey identifies one document of the configuration.
type DocumentKey string

// FleetKey is the key of the fleet document.
const FleetKey DocumentKey = "fleet"

const (
	templatePrefix = "template/"
	accountPrefix  = "account/"
)

// TemplateKey returns the key of the template with the given name.
func TemplateKey(name string) DocumentKey { return DocumentKey(templatePrefix + name) }

// AccountKey returns the key of the document of client account a.
func AccountKey(a mesh.ClientAccount) DocumentKey { return DocumentKey(accountPrefix + string(a)) }

// IsTemplate reports whether k is the key of a template.
func (k DocumentKey) IsTemplate() bool { return strings.HasPrefix(string(k), templatePrefix) }

// IsAccount reports whether k is the key of a client account.
func (k DocumentKey) IsAccount() bool { return strings.HasPrefix(string(k), accountPrefix) }

// Entry records the revision and the part of one document.
type Entry struct {
	Key      DocumentKey   `json:"key"`
	Revision mesh.Revision `json:"revision"`
	Part     mesh.Digest   `json:"part"`
}

// Manifest lists the documents of one configuration, sorted by key.
type Manifest struct {
	Entries []Entry `json:"entries"`
}

// Part is the canonical encoding of one document, identified by its digest.
type Part []byte

// Delta is the difference between the manifests of versions Base and Target.
type Delta struct {
	Base    mesh.Version
	Target  mesh.Version
	Digest  mesh.Digest // digest of the target manifest
	Changed []Entry     // added or changed entries, sorted by key
	Removed []DocumentKey
	Parts   []Part // parts that Changed names; those that the receiver has may be omitted
}
