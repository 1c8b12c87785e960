// Package mesh defines the identifier types and header names shared by every part
// of lavenderrill and by programs that import its other public packages.
//
// The types only add formatting and parsing. They exist so that, for example, a
// node ID cannot be passed where an availability zone is expected.
package mesh
