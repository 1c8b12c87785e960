package rollout

import (
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// OrderID identifies an order. A later order has a larger one.
type OrderID uint64

// orderVerBits is the number of low bits of an OrderID that hold the version. Up to 2^13
// eras, ids are exact in JSON parsers that read numbers as floating point.
const orderVerBits = 40

// NewOrderID returns the id of an order that has the given version in the given era of the
// store. Versions are given out again in a later era.
func NewOrderID(era, ver uint64) OrderID { return OrderID(era<<orderVerBits | ver) }

// Era returns the era of the store in which the order was read.
func (id OrderID) Era() uint64 { return uint64(id >> orderVerBits) }

// Ver returns the version of the order in the store.
func (id OrderID) Ver() uint64 { return uint64(id & (1<<orderVerBits - 1)) }

// Order is the request to move a service to backend servers of another version.
type Order struct {
	ID       OrderID              `json:"id"`
	Service  mesh.Service         `json:"service"`
	Target   mesh.SoftwareVersion `json:"target"` // empty if the order was removed
	Duration time.Duration        `json:"duration"`
}

// Same reports whether o and p are the same order. One that was lost when the store was
// restored from a copy has another version after the operator has written it again.
func (o Order) Same(p Order) bool {
	return o.ID == p.ID || o.ID.Era() != p.ID.Era() && o.sameContent(p)
}

// SameRow reports whether o and p are the same row of the store, which a copy of the store
// keeps with its version.
func (o Order) SameRow(p Order) bool { return o.ID.Ver() == p.ID.Ver() && o.sameContent(p) }

func (o Order) sameContent(p Order) bool {
	return o.Service == p.Service && o.Target == p.Target && o.Duration == p.Duration
}

// Bounds limit what a bad version may cost.
type Bounds struct {
	Share float64 // of all requests that reach the service, that a bad version may get
	Slack float64 // requests beyond Share
}

// Phase is the phase of a roll-out.
type Phase string

// The phases in order. RolledBack may follow any other phase but Completed.
const (
	Waiting    Phase = "waiting"   // for warm endpoints of the target version
	Canary     Phase = "canary"    // a few endpoints of the target version serve, each as much as an old one
	Wide       Phase = "wide"      // more of them serve, within the bound on exposure
	Switching  Phase = "switching" // all of them serve, and old endpoints are chosen last
	Closing    Phase = "closing"   // old endpoints take no new requests
	Completed  Phase = "completed"
	RolledBack Phase = "rolled_back"
)

// Final reports whether no other phase follows p.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// Counts are the requests of one route at one gate since the order.
type Counts struct {
	Sent    uint64        `json:"sent"`    // sent to the backend server
	Done    uint64        `json:"done"`    // complete responses below status 500
	Failed  uint64        `json:"failed"`  // responses of status 500 or above
	Broken  uint64        `json:"broken"`  // missing or truncated responses
	Expired uint64        `json:"expired"` // ended by their deadline or their caller
	Refused uint64        `json:"refused"` // refused by the backend server as not run
	Busy    time.Duration `json:"busy"`    // time in the backend server, that of running requests included
}

// plus returns the sum of a and b.
func (a Counts) plus(b Counts) Counts {
	return Counts{a.Sent + b.Sent, a.Done + b.Done, a.Failed + b.Failed, a.Broken + b.Broken, a.Expired + b.Expired, a.Refused + b.Refused, a.Busy + b.Busy}
}

// minus returns the counts of a beyond those of b, an earlier state of the same gate.
func (a Counts) minus(b Counts) Counts {
	return Counts{
		sub(a.Sent, b.Sent), sub(a.Done, b.Done), sub(a.Failed, b.Failed),
		sub(a.Broken, b.Broken), sub(a.Expired, b.Expired), sub(a.Refused, b.Refused), max(a.Busy-b.Busy, 0),
	}
}

func sub(a, b uint64) uint64 { return a - min(a, b) }

// ran returns the requests that were not refused.
func (a Counts) ran() uint64 { return sub(a.Sent, a.Refused) }

// Totals are the requests of a whole service since the order.
type Totals struct {
	Sent    uint64 `json:"sent"`    // by all versions
	Exposed uint64 `json:"exposed"` // by the target version
}

// atLeast returns the larger figures of a and b.
func (a Totals) atLeast(b Totals) Totals {
	return Totals{max(a.Sent, b.Sent), max(a.Exposed, b.Exposed)}
}

// Report is what a gate tells the decider.
type Report struct {
	Node     mesh.NodeID           `json:"node"`
	Start    int64                 `json:"start"` // distinguishes processes with the same node id
	Zone     mesh.AvailabilityZone `json:"zone"`
	Version  mesh.SoftwareVersion  `json:"version"`
	Order    Order                 `json:"order"`
	OrderAge time.Duration         `json:"order-age"`
	Slots    int                   `json:"slots"`
	Healthy  bool                  `json:"healthy"` // the backend server is ready but for the roll-out
	Warm     bool                  `json:"warm"`    // and at full speed
	Age      time.Duration         `json:"age"`     // since the backend server was first heard of
	Crashed  bool                  `json:"crashed"` // the backend server was lost or replaced since the order
	Closed   bool                  `json:"closed"`  // the gate takes no new requests
	InFlight int                   `json:"in-flight"`
	Cap      uint64                `json:"cap"` // of the last directive
	Routes   map[string]Counts     `json:"routes"`
	Phase    Phase                 `json:"phase"`  // last known one
	Totals   Totals                `json:"totals"` // last known ones
}

// Sent returns the requests of all routes.
func (r *Report) Sent() uint64 {
	var n uint64
	for _, c := range r.Routes {
		n += c.Sent
	}
	return n
}

// Directive tells a gate what to do until the next one. Without a further one it is
// valid for DirectiveLifetime.
type Directive struct {
	Phase     Phase   `json:"phase"`
	Open      bool    `json:"open"`
	Last      bool    `json:"last"`      // open, but chosen only if no other endpoint is left
	Unlimited bool    `json:"unlimited"` // Cap and Rate do not apply
	Cap       uint64  `json:"cap"`       // requests since the order that the gate may send in all
	Rate      float64 `json:"rate"`      // requests per second
	Totals    Totals  `json:"totals"`
	Quorum    bool    `json:"quorum"` // more than half of the gates report to the decider
	Stored    bool    `json:"stored"` // the final phase is in the store as of Era
	Era       uint64  `json:"era"`    // of the store
}

const (
	// ReportInterval is the time between two reports of a gate.
	ReportInterval = 300 * time.Millisecond
	// DirectiveLifetime is the time for which a gate follows a directive. After that, a
	// gate of the target version closes and any other gate opens.
	DirectiveLifetime = time.Second
)
