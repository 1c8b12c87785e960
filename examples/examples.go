// Package examples holds the configuration of two deployments: the lending
// office of Central Java and Dúnvinnsla.
package examples

import "embed"

// Files holds the YAML documents in the folders lending-office and dunvinnsla.
//
//go:embed lending-office/*.yaml dunvinnsla/*.yaml
var Files embed.FS
