// Package mesh defines the named identifiers shared by every part of
// lavenderrill and by programs that import its other public packages.
//
// The types carry no behaviour beyond formatting and parsing. They exist so
// that a node id cannot be passed where an availability zone is expected.
package mesh
