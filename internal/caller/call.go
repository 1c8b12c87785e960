package caller

import (
	"context"
	"net/http"
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/route"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// call is one request of a caller on its way through the chain.
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
	throttle       mesh.Rank    // rank under which the request is throttled
	deadline       time.Time
	callerDeadline time.Time          // end of the caller's own wait, zero if it did not say
	ctx            context.Context    // ends at the deadline
	cancel         context.CancelFunc // of the deadline

	body           body
	hasBody        bool // a request body exists
	attempts       int
	sentAttempts   int  // attempts that were sent to a backend server
	overloaded     bool // the last attempt was refused for load
	tried          []*route.Endpoint
	triedBuf       [3]*route.Endpoint // backs tried
	mayHaveRun     bool               // a failed attempt may have run
	attemptCancels []context.CancelFunc
	resume         *resumption // set while the rest of a cut response is requested
}

// end releases what the request holds.
func (q *call) release() {
	for _, cancel := range q.attemptCancels {
		cancel()
	}
	if q.cancel != nil {
		q.cancel()
	}
}

// rank returns the name of the rank of q.
func (q *call) rank() mesh.Rank { return q.route.Policy.Name }

// canceled reports whether the caller went away.
func (q *call) canceled() bool { return q.in.Context().Err() != nil }
