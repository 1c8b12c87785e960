package retry

import (
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

// MaxDepth is the greatest number of mesh calls above a request.
const MaxDepth = 20

// leastRemaining is the remaining time below which no further attempt starts.
const leastRemaining = 5 * time.Millisecond

// Action is what to do after an attempt.
type Action uint8

// The actions.
const (
	Answer Action = iota // give the caller the outcome of the attempt
	Retry                // send the request to another endpoint
	Hedge                // send it to another endpoint while the first attempt runs
)

// String returns the lower-case name of a.
func (a Action) String() string {
	switch a {
	case Answer:
		return "answer"
	case Retry:
		return "retry"
	case Hedge:
		return "hedge"
	}
	return "invalid"
}

// Reason says why an attempt is repeated or not. Reasons are the names of
// counters.
type Reason string

// The reasons of a repetition.
const (
	RetryNotRun     Reason = "not_run"    // proved not run
	RetryGate       Reason = "gate"       // a gate refused it, so no backend server had it
	RetryFree       Reason = "free"       // cost the fleet nothing: no endpoint took it
	RetryIdempotent Reason = "idempotent" // may have run, but may run twice
	HedgeSlow       Reason = "hedge"      // no response header within the hedge delay
)

// The reasons of a denial.
const (
	DenyAttempts Reason = "denied_attempts"  // all attempts of the route are used
	DenyMayRun   Reason = "denied_may_run"   // not idempotent and may have run
	DenyBody     Reason = "denied_body"      // the body cannot be sent again
	DenyDeadline Reason = "denied_deadline"  // too little time is left
	DenyDepth    Reason = "denied_depth"     // the caller is a backend server
	DenyKind     Reason = "denied_kind"      // another endpoint would answer the same
	DenyBudget   Reason = "denied_budget"    // the budget of the service is spent
	DenyCanceled Reason = "denied_canceled"  // the caller went away
	DenyEndpoint Reason = "denied_endpoints" // no endpoint is left
)

// AttemptState is what is known after a failed attempt.
type AttemptState struct {
	Idempotent   bool           // of the route
	Kind         fault.Kind     // of the refusal or failure
	Run          fault.RunState // whether the request may have run
	Attempt      int            // number of the failed attempt, from 1
	MaxAttempts  int            // attempts that the route allows
	Sent         bool           // the failed attempt was sent to a backend server
	SentAttempts int            // attempts that were sent to a backend server, this one included
	Depth        int            // Lavenderrill-Depth on arrival; 0 from a client
	Remaining    time.Duration  // until the deadline
	Replayable   bool           // the body can be sent again
	Canceled     bool           // the caller went away
}

// Verdict is a decision and the reason that is counted.
type Verdict struct {
	Action Action
	Reason Reason
}

// Decide returns whether the request of s is sent again. It takes from b only
// if all other conditions hold; the first repetition of a request that cost the
// fleet nothing is not counted.
func Decide(s AttemptState, b *Budget, now time.Time) Verdict {
	free := s.Run == fault.NotRun && isFree(s.Kind)
	switch {
	case s.Canceled:
		return Verdict{Answer, DenyCanceled}
	case s.Run != fault.NotRun && !s.Idempotent:
		return Verdict{Answer, DenyMayRun}
	case !retryable(s.Kind):
		return Verdict{Answer, DenyKind}
	case s.gateRefusal() && s.Attempt-s.SentAttempts <= b.bound().MaxGateRefusals:
		return s.askGate()
	case b.bound().MaxGateRefusals > 0 && s.SentAttempts >= s.MaxAttempts:
		return Verdict{Answer, DenyAttempts}
	case b.bound().MaxGateRefusals == 0 && s.Attempt >= max(s.MaxAttempts, freeAttempts(free)):
		return Verdict{Answer, DenyAttempts}
	case s.Depth > 0 && !free:
		return Verdict{Answer, DenyDepth}
	case s.Depth > 0 && s.Attempt >= 2:
		return Verdict{Answer, DenyDepth}
	case !s.Replayable:
		return Verdict{Answer, DenyBody}
	case s.Remaining < leastRemaining:
		return Verdict{Answer, DenyDeadline}
	case free && s.Attempt == 1:
		// Outside the budget: the attempt cost the fleet nothing, so sending
		// it once more cannot multiply load, and when a rack fails more than
		// the budget's share of requests meet a refused connection.
		return Verdict{Retry, RetryFree}
	case !b.TryWithdraw(now):
		return Verdict{Answer, DenyBudget}
	}
	switch {
	case free:
		return Verdict{Retry, RetryFree}
	case s.Run == fault.NotRun:
		return Verdict{Retry, RetryNotRun}
	}
	return Verdict{Retry, RetryIdempotent}
}

// gateRefusal reports whether a gate refused the attempt before its backend server
// had it, so that another gate may have room.
func (s *AttemptState) gateRefusal() bool {
	return s.Run == fault.NotRun && !s.Sent && (isFree(s.Kind) || s.Kind == fault.Overloaded)
}

// askGate is the verdict for a request that no backend server has had. It costs
// neither an attempt of the route nor a part of the budget, both of which limit
// what reaches backend servers.
func (s *AttemptState) askGate() Verdict {
	switch {
	case !s.Replayable:
		return Verdict{Answer, DenyBody}
	case s.Remaining < leastRemaining:
		return Verdict{Answer, DenyDeadline}
	}
	return Verdict{Retry, RetryGate}
}

// freeAttempts is the least number of attempts: a request whose first attempt
// cost the fleet nothing is sent once more even if its route allows a single
// attempt, so that a drain is not seen by callers.
func freeAttempts(free bool) int {
	if free {
		return 2
	}
	return 1
}

// isFree reports whether a refusal of kind k that did not run cost the fleet
// nothing: the endpoint drains, starts, or could not be connected to.
func isFree(k fault.Kind) bool {
	return k == fault.Draining || k == fault.NoEndpoint || k == fault.NotReady
}

// retryable reports whether another endpoint may answer otherwise than with k.
func retryable(k fault.Kind) bool {
	switch k {
	case fault.Overloaded, fault.Throttled, fault.Draining, fault.NoEndpoint,
		fault.NotReady, fault.OutcomeUnknown, fault.DeadlineExceeded, fault.Internal:
		return true
	}
	return false
}

// DecideHedge returns whether a second attempt starts while the first one of s
// still runs. Kind and Run of s are not used.
func DecideHedge(s AttemptState, b *Budget, now time.Time) Verdict {
	switch {
	case s.Canceled:
		return Verdict{Answer, DenyCanceled}
	case !s.Idempotent:
		return Verdict{Answer, DenyMayRun}
	case s.Attempt >= s.MaxAttempts:
		return Verdict{Answer, DenyAttempts}
	case s.Depth > 0:
		return Verdict{Answer, DenyDepth}
	case !s.Replayable:
		return Verdict{Answer, DenyBody}
	case s.Remaining < leastRemaining:
		return Verdict{Answer, DenyDeadline}
	case !b.TryWithdraw(now):
		return Verdict{Answer, DenyBudget}
	}
	return Verdict{Hedge, HedgeSlow}
}
