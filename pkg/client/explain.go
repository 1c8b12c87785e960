package client

import (
	"fmt"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// ExplainPath is the path of a call that explains a request.
const ExplainPath = "/v1/explain"

// Duration is a time.Duration that JSON represents as text, such as "1.5s".
type Duration time.Duration

// String returns d as text.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// ExplainRequest asks how a request of a caller would be routed.
type ExplainRequest struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	Path   string `json:"path"`
	// Account is the client account that sends the request, and KeyDigest the SHA-256
	// digest of its API key. At most one of them is given.
	Account   mesh.ClientAccount `json:"account,omitempty"`
	KeyDigest *mesh.Digest       `json:"key_digest,omitempty"`
	Service   mesh.Service       `json:"service,omitempty"`  // of a route with several; the one with the greatest weight if empty
	Deadline  Duration           `json:"deadline,omitempty"` // that the caller sends; none if 0
}

// Explanation says how a request would be routed or why it would be refused.
type Explanation struct {
	Version    mesh.Version       `json:"version"`
	Route      string             `json:"route,omitempty"`
	Account    mesh.ClientAccount `json:"account,omitempty"`
	Service    mesh.Service       `json:"service,omitempty"`
	Split      []ServiceWeight    `json:"split,omitempty"` // services of a route with several
	Rank       mesh.Rank          `json:"rank,omitempty"`
	Deadline   Duration           `json:"deadline,omitempty"`
	Nested     bool               `json:"nested,omitempty"`     // counts as a nested call
	RouteRate  float64            `json:"route_rate,omitempty"` // limit of the route in requests/s; not evaluated
	Quota      *Quota             `json:"quota,omitempty"`
	Throttle   *Throttle          `json:"throttle,omitempty"`
	Early      *EarlyRefusal      `json:"early_refusal,omitempty"`
	Zones      *Zones             `json:"zones,omitempty"`
	Candidates []Candidate        `json:"candidates,omitempty"`
	Omitted    int                `json:"omitted,omitempty"` // candidates that are not listed
	Outcomes   []Outcome          `json:"outcomes"`          // likeliest first
	// Refusal is that of a request that would be refused for certain.
	Refusal
}

// ServiceWeight is the weight of one service of a route.
type ServiceWeight struct {
	Service mesh.Service `json:"service"`
	Weight  int          `json:"weight"`
}

// Limit is a limit of requests: a rate per second, and a burst beyond it.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Quota is the decision on the limit of a client account.
type Quota struct {
	Decision string      `json:"decision"` // admitted, refused, or waits for the owner
	Limit    Limit       `json:"limit"`    // over all nodes
	Share    Limit       `json:"share"`    // that the node holds
	Credit   float64     `json:"credit"`   // requests that the node may admit at once
	Owner    mesh.NodeID `json:"owner,omitempty"`
	// Fallback means that the owner does not answer, so that the limit is divided by Nodes.
	Fallback bool `json:"fallback,omitempty"`
	Nodes    int  `json:"nodes"`
}

// The values of Quota.Decision.
const (
	QuotaAdmitted = "admitted"
	QuotaRefused  = "refused"
	QuotaWaits    = "waits for the owner"
)

// Throttle is the decision whether a request is refused near the caller, since gates would
// refuse it.
type Throttle struct {
	Key      mesh.Rank `json:"key"`      // requests that are throttled together
	Share    float64   `json:"share"`    // of the requests, refused under pressure
	Pressure float64   `json:"pressure"` // lowest that endpoints report for the rank
	Refused  float64   `json:"refused"`  // share of the requests that is refused now
}

// EarlyRefusal is the share of the requests that the gate of the node which was asked
// refuses because of the calls that they need. Other gates decide for themselves.
type EarlyRefusal struct {
	Share   float64      `json:"share"`
	Reason  string       `json:"reason,omitempty"` // vain or yield
	Service mesh.Service `json:"service,omitempty"`
}

// Zones is the last decision on the share of requests that leaves the availability zone, and
// what it was decided from.
type Zones struct {
	Home     mesh.AvailabilityZone `json:"home"`
	Shares   []ZoneShare           `json:"shares"`           // of other zones
	Inputs   *ZoneInputs           `json:"inputs,omitempty"` // nil without a decision
	ByteCost Duration              `json:"byte_cost"`        // wait that the bytes of this request are worth
}

// ZoneShare is the share of requests that is sent to one zone.
type ZoneShare struct {
	Zone  mesh.AvailabilityZone `json:"zone"`
	Share float64               `json:"share"`
}

// ZoneInputs is what a decision on zones is based on.
type ZoneInputs struct {
	Loads    []ZoneLoad `json:"loads"`
	Latency  Duration   `json:"latency"`
	ByteCost Duration   `json:"byte_cost"` // mean over requests
	Deciders int        `json:"deciders"`  // nodes that decide on the same reports
	Demand   float64    `json:"demand"`    // of this node in slots
}

// ZoneLoad is the load of a service in one zone.
type ZoneLoad struct {
	Zone   mesh.AvailabilityZone `json:"zone"`
	Slots  float64               `json:"slots"`
	Busy   float64               `json:"busy"` // requests in flight and waiting
	Finish Duration              `json:"finish"`
	Age    Duration              `json:"age"` // of the reports
}

// Candidate is an endpoint as the node that was asked sees it.
type Candidate struct {
	Endpoint
	Use       string    `json:"use"` // open, probing, ejected, draining, yielding, cautious or closed
	InFlight  int       `json:"inflight"`
	Slots     int       `json:"slots"`
	Pressure  float64   `json:"pressure"`
	Requests  float64   `json:"requests"`             // estimated in flight and waiting, of all nodes
	ReportAge *Duration `json:"report_age,omitempty"` // of the load; nil without a report
	Finish    Duration  `json:"finish,omitempty"`     // expected time until the request ends there
	Room      bool      `json:"room"`
	Chosen    float64   `json:"chosen"`             // share of the choices
	Excluded  string    `json:"excluded,omitempty"` // why it is not chosen
}

// Outcome is one way in which a request may end, sent to an endpoint or refused.
type Outcome struct {
	Share    float64               `json:"share"` // probability
	Endpoint mesh.NodeID           `json:"endpoint,omitempty"`
	Zone     mesh.AvailabilityZone `json:"zone,omitempty"`
	Refusal
}

// Refusal is the refusal of a request as its caller would receive it.
type Refusal struct {
	Kind       string `json:"refusal,omitempty"` // "" if the request is not refused
	Reason     string `json:"reason,omitempty"`
	Run        string `json:"run,omitempty"`
	Status     int    `json:"status,omitempty"`
	RetryAfter string `json:"retry_after,omitempty"` // header; varies at random
}
