package config

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// RankPolicy is the policy of one rank.
type RankPolicy struct {
	Name   mesh.Rank
	Target time.Duration // latency within which a response has full worth
	Worth  float64       // worth of one response within the target
	Floor  float64       // guaranteed share of slots, 0 to 0.5
	Bulk   bool          // long bodies; uses separate connections
}

// ServicePolicy is the policy of one service.
type ServicePolicy struct {
	Name        mesh.Service
	Slots       int // requests that one backend server runs concurrently
	Connections int // connections that one backend server accepts
}

// RetryPolicy limits the attempts of one request.
type RetryPolicy struct {
	Attempts int           // total number of attempts, at least 1
	Hedge    time.Duration // delay before a hedged attempt; 0 disables hedging
}

// Share is the fraction of the requests of a route that one service receives, in
// proportion to its weight among the shares of the route.
type Share struct {
	Service mesh.Service
	Weight  int // at least 0; the sum of the weights of a route is positive
}

// Route is one compiled route of a client account.
type Route struct {
	Name       string
	Account    mesh.ClientAccount
	Host       string   // lower case, without port; "" matches any host
	Path       string   // prefix that ends at a path segment boundary
	Methods    []string // upper case, sorted; empty allows all
	Service    mesh.Service
	Split      []Share // distributes requests by weight and replaces Service; empty for one service
	Rank       mesh.Rank
	Idempotent bool
	Deadline   time.Duration
	Rate       float64 // requests per second of the client account; 0 is unlimited
	Retry      RetryPolicy
	Claim      bool // refuses repeated idempotency keys by means of claims in the table
}

// Snapshot is one complete, validated configuration.
type Snapshot struct {
	Version  mesh.Version
	Digest   mesh.Digest // digest of the manifest
	Fleet    string
	Ranks    []RankPolicy // most urgent first
	Services map[mesh.Service]ServicePolicy
	Accounts []mesh.ClientAccount // sorted
	Routes   []Route              // sorted by host, path and name

	// Literal means that a route path is compared byte by byte as a prefix of the
	// path as it was sent. Such route paths begin and end with a slash.
	Literal bool
}

// RankIndex returns the position of rank r, where 0 is the most urgent, and
// false if the snapshot has no such rank.
func (s *Snapshot) RankIndex(r mesh.Rank) (int, bool) {
	for i := range s.Ranks {
		if s.Ranks[i].Name == r {
			return i, true
		}
	}
	return 0, false
}
