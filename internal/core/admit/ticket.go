package admit

import (
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// State is the state of a Ticket.
type State uint8

// The states of a ticket. Admitted, Refused and Canceled are decisions; a
// ticket gets exactly one of them.
const (
	Unoffered State = iota
	Queued
	Admitted
	Refused
	Canceled
	Finished // admitted earlier and done
)

var stateNames = [...]string{"unoffered", "queued", "admitted", "refused", "canceled", "finished"}

// String returns the lower-case name of s.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Ticket is one request at the gate. The exported fields are set by the caller
// before Offer and not changed afterwards. A ticket must not be copied or
// offered twice.
type Ticket struct {
	Rank     mesh.Rank
	Account  mesh.ClientAccount
	Route    string    // route whose service time applies; "" means that of the rank
	Nested   bool      // call of a backend server for a request that holds a slot; see NestedRank
	Deadline time.Time // latest useful time of the response; zero means none
	Target   time.Time // latest time of a response of full worth; zero means the target of the rank, counted from Offer
	AdmitBy  time.Time // latest time of admission; zero means that only the deadline applies
	EndBy    time.Time // end of the node that sent the request; zero means that it does not stop
	Data     any       // for the caller's use

	state        State
	refusal      *fault.Error
	rank         *rank
	accountQueue *accountQueue
	next         *Ticket
	prev         *Ticket
	heapIndex    int // position in the expiry heap, or -1
	offered      time.Duration
	admitted     time.Duration
	deadline     time.Duration
	endBy        time.Duration // time by which the request must end, or noDeadline
	target       time.Duration
	late         bool          // waits in the late queue
	waitLimit    time.Duration // end of the wait in the queue, apart from endBy
	expiresAt    time.Duration // end of the wait in the queue
	charged      float64       // slot seconds charged at admission
	service      *serviceTime  // service time of the route, or of the rank
}

// State returns the state of t.
func (t *Ticket) State() State { return t.state }

// Refusal returns the reason of a refused ticket, or nil. The error is shared
// between tickets and must not be changed.
func (t *Ticket) Refusal() *fault.Error { return t.refusal }

// Waited returns the time that an admitted ticket spent in the queue.
func (t *Ticket) Waited() time.Duration { return t.admitted - t.offered }

// Refusals are shared between tickets, so that refusing allocates nothing
// during a flood.
var (
	errQueueFull        = fault.New(fault.Overloaded, "the queue of the rank is full")
	errWaitOverDeadline = fault.New(fault.Overloaded, "expected wait exceeds the remaining deadline")
	errWaitOverTarget   = fault.New(fault.Overloaded, "expected wait exceeds the target of the rank")
	errDisplaced        = fault.New(fault.Overloaded, "displaced by a client account with less waiting work")
	errOutranked        = fault.New(fault.Overloaded, "displaced by a more urgent request while all queues together were full")
	errLateForTarget    = fault.New(fault.Overloaded, "waited too long for the target of the rank")
	errLateForDeadline  = fault.New(fault.DeadlineExceeded, "too little time was left after the wait")
	errTargetPassed     = fault.New(fault.Overloaded, "the target had passed, and work that can be in time took all slots")
	errExpired          = fault.New(fault.DeadlineExceeded, "deadline passed in the queue")
	errDraining         = fault.New(fault.Draining, "the backend server takes no new work")
	errOutlastsNode     = outlastsNode()
	errNoRanks          = fault.New(fault.NotReady, "no configuration is held yet")
)

// refusalLabels holds the counter labels of the refusals.
var refusalLabels = map[*fault.Error]string{
	errQueueFull:        "queue_full",
	errWaitOverDeadline: "wait_over_deadline",
	errWaitOverTarget:   "wait_over_target",
	errDisplaced:        "displaced",
	errOutranked:        "outranked",
	errLateForTarget:    "late_for_target",
	errLateForDeadline:  "late_for_deadline",
	errTargetPassed:     "late_without_room",
	errExpired:          "expired_in_queue",
	errDraining:         "draining",
	errOutlastsNode:     "outlasts_node",
	errNoRanks:          "no_ranks",
}

// RefusalLabel returns the label under which the refusal e of a ticket is
// counted, or "" if e is not the refusal of a ticket.
func RefusalLabel(e *fault.Error) string { return refusalLabels[e] }
