package retry

import (
	"time"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

// MaxDepth is the maximum number of mesh calls above a request.
const MaxDepth = 20

// minRemaining is the remaining time below which no further attempt starts.
const minRemaining = 5 * time.Millisecond

// Action is what to do after an attempt.
type Action uint8

// Actions.
const (
	Answer Action = iota // return the outcome of the attempt to the caller
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

// Reason is why an attempt is retried or not. Reasons are the names of
// counters.
type Reason string

// Reasons for a retry or hedge.
const (
	RetryNotRun     Reason = "not_run"    // known not to have run
	RetryGate       Reason = "gate"       // refused by a gate, so that no backend server received it
	RetryFree       Reason = "free"       // caused no work, since no endpoint accepted it
	RetryIdempotent Reason = "idempotent" // may have run, but is idempotent
	HedgeSlow       Reason = "hedge"      // no response header within the hedge delay
)

// Reasons for a denial.
const (
	DenyAttempts Reason = "denied_attempts"  // all attempts of the route are used
	DenyMayRun   Reason = "denied_may_run"   // not idempotent and may have run
	DenyBody     Reason = "denied_body"      // the body cannot be sent again
	DenyDeadline Reason = "denied_deadline"  // too little time is left
	DenyDepth    Reason = "denied_depth"     // the caller is a backend server
	DenyKind     Reason = "denied_kind"      // another endpoint would give the same response
	DenyBudget   Reason = "denied_budget"    // the budget of the service is exhausted
	DenyCanceled Reason = "denied_canceled"  // the caller went away
	DenyEndpoint Reason = "denied_endpoints" // no endpoint is left
)

// AttemptState describes a request after a failed attempt.
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

// Verdict is an action and the reason under which it is counted.
type Verdict struct {
	Action Action
	Reason Reason
}

// Decide returns whether the request of s is sent again. It withdraws from b
// only if all other conditions hold; the first retry of a request that caused
// no work is not counted.
func Decide(s AttemptState, b *Budget, now time.Time) Verdict {
	free := s.Run == fault.NotRun && isFree(s.Kind)
	switch {
	case s.Canceled:
		return Verdict{Answer, DenyCanceled}
	case s.Run != fault.NotRun && !s.Idempotent:
		return Verdict{Answer, DenyMayRun}
	case !retryable(s.Kind):
		return Verdict{Answer, DenyKind}
	case s.gateRefusal() && s.Attempt-s.SentAttempts <= b.currentLimit().MaxGateRefusals:
		return s.decideGateRetry()
	case b.currentLimit().MaxGateRefusals > 0 && s.SentAttempts >= s.MaxAttempts:
		return Verdict{Answer, DenyAttempts}
	case b.currentLimit().MaxGateRefusals == 0 && s.Attempt >= max(s.MaxAttempts, minAttempts(free)):
		return Verdict{Answer, DenyAttempts}
	case s.Depth > 0 && !free:
		return Verdict{Answer, DenyDepth}
	case s.Depth > 0 && s.Attempt >= 2:
		return Verdict{Answer, DenyDepth}
	case !s.Replayable:
		return Verdict{Answer, DenyBody}
	case s.Remaining < minRemaining:
		return Verdict{Answer, DenyDeadline}
	case free && s.Attempt == 1:
		// Not counted in the budget: the attempt caused no work, so that one retry
		// cannot multiply load, and when a rack fails, connections are refused to
		// more requests than the budget allows.
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

// gateRefusal reports whether a gate refused the attempt before a backend
// server received it, so that another gate may have capacity.
func (s *AttemptState) gateRefusal() bool {
	return s.Run == fault.NotRun && !s.Sent && (isFree(s.Kind) || s.Kind == fault.Overloaded)
}

// decideGateRetry returns the verdict for a request that a gate refused. A
// retry counts neither as an attempt of the route nor in the budget, since both
// limit what reaches backend servers.
func (s *AttemptState) decideGateRetry() Verdict {
	switch {
	case !s.Replayable:
		return Verdict{Answer, DenyBody}
	case s.Remaining < minRemaining:
		return Verdict{Answer, DenyDeadline}
	}
	return Verdict{Retry, RetryGate}
}

// minAttempts returns the minimum number of attempts. A request whose first
// attempt caused no work is retried once even if its route allows a single
// attempt, so that callers do not notice a drain.
func minAttempts(free bool) int {
	if free {
		return 2
	}
	return 1
}

// isFree reports whether a request that was refused with k and did not run
// caused no work: the endpoint is draining, starting or cannot be connected to.
func isFree(k fault.Kind) bool {
	return k == fault.Draining || k == fault.NoEndpoint || k == fault.NotReady
}

// retryable reports whether another endpoint may succeed after a failure of
// kind k.
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
	case s.Remaining < minRemaining:
		return Verdict{Answer, DenyDeadline}
	case !b.TryWithdraw(now):
		return Verdict{Answer, DenyBudget}
	}
	return Verdict{Hedge, HedgeSlow}
}
