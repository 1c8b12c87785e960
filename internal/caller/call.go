package caller

import (
	"context"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/demand"
	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/internal/inbound"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// call is the state of one request of a caller as it passes through the chain.
type call struct {
	w       http.ResponseWriter
	in      *http.Request
	arrived time.Time

	id    mesh.RequestID
	nonce string // value of mesh.CallHeader
	depth int    // Lavenderrill-Depth on arrival

	table          *route.Table // one table for the whole request
	route          *route.Route
	service        mesh.Service // the service of the route or one of its shares
	account        mesh.ClientAccount
	accountRank    mesh.Rank // rank for the priority of the account
	limits         Limits    // in force on arrival
	throttle       mesh.Rank // rank under which the request is throttled
	deadline       time.Time
	callerDeadline time.Time          // deadline that the caller sent, zero if none
	ctx            context.Context    // ends gateGrace after the deadline
	cancel         context.CancelFunc // cancels ctx

	origin origin
	report demand.Report // of the last gate

	body           body
	hasBody        bool
	attempts       int
	sentAttempts   int  // attempts that were sent to a backend server
	overloaded     bool // the last attempt was refused with fault.Overloaded
	tried          []*route.Endpoint
	triedBuf       [3]*route.Endpoint // initial storage of tried
	mayHaveRun     bool               // a failed attempt may have run
	attemptCancels []context.CancelFunc
	resume         *resumption   // set once a truncated response is resumed
	memory         int64         // taken from Config.Memory
	conn           *inbound.Conn // connection with limits of an HTTP/2 request, else nil

	full *fault.Error // refusal because all endpoints are full; see pick
}

// release cancels the contexts of q and its attempts, and gives back its memory.
func (c *Caller) release(q *call) {
	c.cfg.Memory.Release(q.memory)
	if q.conn != nil {
		q.conn.EndStream()
	}
	for _, cancel := range q.attemptCancels {
		cancel()
	}
	if q.cancel != nil {
		q.cancel()
	}
}

// rank returns the name of the rank of q.
func (q *call) rank() mesh.Rank { return q.accountRank }

// baseRank returns the name of the rank of the route.
func (q *call) baseRank() mesh.Rank { return q.route.Policy.Name }

// canceled reports whether the caller has disconnected.
func (q *call) canceled() bool { return q.in.Context().Err() != nil }
