package quota

import (
	"errors"
	"fmt"
	"math"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// The exact mode limits client accounts without a route. One node, the owner, keeps the
// credit of an account. The shares of rate that nodes hold and the rate at which the
// owner's pool fills add up to the rate, and the credit that nodes may hold and the pool
// add up to the burst, so that no distribution of requests over nodes exceeds either.

const (
	// ShareLease is the lifetime of a share. Two lost renewals in a row fit into it, and
	// it ends well before the first requests, 10 s after the start of the nodes.
	ShareLease = 4500 * time.Millisecond
	// ShareInterval is the time between two demands of a node to one owner.
	ShareInterval = 1500 * time.Millisecond
	// heardTimeout is the time without a request after which an owner assumes that a node
	// does not reach it and uses rate/nodes. A node does so later than that.
	heardTimeout = 4 * time.Second

	// startedTime is the time for which a node states when it has started. Shares of the
	// process before have expired by then.
	startedTime = 2 * ShareLease

	// These divide what the bounds permit beyond rate and burst. The rest covers requests
	// that wait between the decision and their run.
	burstFraction         = 0.3  // added to the burst
	firstFallbackFraction = 0.15 // initial credit of all nodes without owner
	takeoverFraction      = 0.2  // credit of a new owner that may not know all shares
)

// Limit is the limit of a client account over all nodes.
type Limit struct {
	Rate  float64 `json:"r"` // requests per second
	Burst float64 `json:"b"` // requests
}

// within returns the smaller of l and o by field.
func (l Limit) within(o Limit) Limit {
	return Limit{Rate: min(l.Rate, o.Rate), Burst: min(l.Burst, o.Burst)}
}

// valid reports whether the fields are finite and not negative.
func (l Limit) valid() bool {
	for _, f := range []float64{l.Rate, l.Burst} {
		if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
			return false
		}
	}
	return true
}

// Bounds are what a deployment permits: (rate * Window + burst) * (1 + Overage) + Slack
// requests in each window.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // requests
}

// excess returns what is permitted beyond rate and burst.
func (b Bounds) excess(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// credit returns the largest credit of an account in requests, over all nodes.
func (b Bounds) credit(l Limit) float64 { return max(l.Burst+burstFraction*b.excess(l), 1) }

// ShareDemand is what one node demands for one account.
type ShareDemand struct {
	Account mesh.ClientAccount `json:"a"`
	Limit   Limit              `json:"l"`
	Held    Limit              `json:"h,omitzero"` // share that the node holds
	Tokens  float64            `json:"t,omitempty"`
	Applied uint64             `json:"n,omitempty"` // number of the last request with a grant that was applied
	Wanted  float64            `json:"w,omitempty"` // requests per second, refused ones included
	Waiting int                `json:"q,omitempty"` // requests that wait for the grant
	Refund  float64            `json:"u,omitempty"` // credit that the node had and did not use
}

// ShareRequest holds the demands of one node to one owner.
type ShareRequest struct {
	From     mesh.NodeID   `json:"f"`
	Number   uint64        `json:"n"`           // increases with each request, also across restarts
	Owners   uint64        `json:"o,omitempty"` // digest of the owners in the view of the node
	Started  uint64        `json:"s,omitempty"` // start of the process in ms of its clock, only in its first startedTime
	Empty    bool          `json:"e,omitempty"` // with Answer: the node holds no share of any owner
	Probe    int64         `json:"p,omitempty"` // a takeover waits for the receiver: time in ms of the clock of the sender
	Answer   int64         `json:"r,omitempty"` // Probe of the receiver to which this responds
	List     []mesh.NodeID `json:"i,omitempty"` // with Answer: owners in the view of the node
	Complete bool          `json:"c,omitempty"` // Demands has all shares that the node holds of this owner
	Demands  []ShareDemand `json:"d,omitempty"`
}

// ShareResponse is the response to a ShareRequest.
type ShareResponse struct {
	Owners uint64       `json:"o"` // digest of the owners in the view of the responder
	Grants []ShareGrant `json:"g,omitempty"`
}

// ShareGrant is the response to a ShareDemand.
type ShareGrant struct {
	Refused bool    `json:"x,omitempty"` // the node is not the owner, or the demand came late
	Limit   Limit   `json:"l,omitzero"`  // that Share is part of
	Share   Limit   `json:"h,omitzero"`
	Tokens  float64 `json:"t,omitempty"` // credit added to that of the node
	Passes  int     `json:"p,omitempty"` // waiting requests that may pass at once
	RetryMS int64   `json:"m,omitempty"` // time until there is credit for others; 0 if there is some
}

// maxAccountBytes bounds the name of an account in a demand.
const maxAccountBytes = 128

// Check returns an error if r is not valid.
func (r *ShareRequest) Check() error {
	if r.From == "" || r.Number == 0 {
		return errors.New("request for shares has no sender or number")
	}
	if len(r.List) > maxReportedOwners {
		return fmt.Errorf("request for shares lists %d owners, want at most %d", len(r.List), maxReportedOwners)
	}
	for i := range r.Demands {
		d := &r.Demands[i]
		if !d.Limit.valid() || !d.Held.valid() || !(Limit{d.Tokens, d.Wanted}).valid() || !(Limit{d.Refund, 0}).valid() || d.Waiting < 0 {
			return errors.New("demand has a number that is not valid")
		}
		if d.Account == "" || len(d.Account) > maxAccountBytes {
			return fmt.Errorf("name of an account has %d bytes, want 1 to %d", len(d.Account), maxAccountBytes)
		}
	}
	return nil
}

// kept returns the credit that a node with a share of burst keeps when it reports. It may
// save up the rest until the next report and returns it then, so that credit is not lost
// at nodes without requests.
func kept(burst float64) float64 { return max(burst/2, min(burst, 1)) }

// desiredBurst returns the credit that lets a node serve demand w without asking:
// that of one second and twice its standard deviation.
func desiredBurst(w float64) float64 { return 1 + w + 2*math.Sqrt(w) }
