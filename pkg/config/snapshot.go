package config

import (
	"cmp"
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

	// Tier is equal for ranks of equal priority, which differ only by target, and higher
	// for less urgent ones.
	Tier int

	// Base is the rank of the route, if Name also depends on the priority of the client
	// account. See AccountRank.
	Base mesh.Rank
}

// BaseName returns the name of the rank without the priority of a client account.
func (p *RankPolicy) BaseName() mesh.Rank { return cmp.Or(p.Base, p.Name) }

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
	Public     bool // served without an API key in a snapshot with ClientAccounts
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

	// ClientAccounts are the client accounts that callers identify by API key, sorted by
	// name. If there are any, routes that are not public require a key of Keys.
	ClientAccounts []AccountPolicy
	Keys           Keys

	// Placement selects how requests are placed.
	Placement Placement
}

// Placement selects how requests are placed on backend servers.
type Placement uint8

// The values of Placement.
const (
	// PlaceByLatency places by the reported load and service time of a rank.
	PlaceByLatency Placement = iota
	// PlaceByFinish places by the expected end of the request, and decides how much
	// leaves an availability zone and how nested calls are served.
	PlaceByFinish
)

// RequiresKey reports whether callers must send an API key for r.
func (s *Snapshot) RequiresKey(r *Route) bool { return len(s.ClientAccounts) > 0 && !r.Public }

// BaseRanks returns the number of ranks without regard to the priorities of client
// accounts.
func (s *Snapshot) BaseRanks() int {
	seen := make(map[mesh.Rank]struct{}, len(s.Ranks))
	for i := range s.Ranks {
		seen[s.Ranks[i].BaseName()] = struct{}{}
	}
	return len(seen)
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

// RouteRank returns the policy of the rank of r, without regard to client accounts. It
// returns false if the snapshot has no such rank.
func (s *Snapshot) RouteRank(r *Route) (RankPolicy, bool) {
	for i := range s.Ranks {
		if s.Ranks[i].BaseName() == r.Rank {
			p := s.Ranks[i]
			p.Name, p.Base = r.Rank, ""
			return p, true
		}
	}
	return RankPolicy{}, false
}
