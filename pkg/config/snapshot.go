package config

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// RankPolicy is the policy of one rank.
type RankPolicy struct {
	Name   mesh.Rank
	Target time.Duration // latency within which an answer is of full worth
	Worth  float64       // worth of one answer in time
	Floor  float64       // guaranteed share of slots, 0 to 0.5
	Bulk   bool          // long bodies; kept off the connections of other ranks
}

// ServicePolicy is the policy of one service.
type ServicePolicy struct {
	Name        mesh.Service
	Slots       int // requests that one backend server runs at a time
	Connections int // connections that one backend server accepts
}

// RetryPolicy limits the attempts of one request.
type RetryPolicy struct {
	Attempts int           // attempts in all, at least 1
	Hedge    time.Duration // delay before a hedged attempt; 0 disables hedging
}

// Share is the part of the requests of a route that one service gets, relative
// to the weights of the other shares.
type Share struct {
	Service mesh.Service
	Weight  int // at least 0; the weights of a route add up to more than 0
}

// Route is one compiled route of a client account.
type Route struct {
	Name       string
	Account    mesh.ClientAccount
	Host       string   // lower case, without port; "" matches any host
	Path       string   // prefix that ends on a path segment border
	Methods    []string // upper case, sorted; empty allows all
	Service    mesh.Service
	Split      []Share // divides the requests by weight in place of Service; empty for one service
	Rank       mesh.Rank
	Idempotent bool
	Deadline   time.Duration
	Rate       float64 // requests per second of the client account; 0 is unlimited
	Retry      RetryPolicy
	Claim      bool // repeated idempotency keys are refused through the table
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

	// Literal means that the path of a route is a prefix of the path as it was
	// sent, byte by byte. Such paths begin and end with a slash.
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
