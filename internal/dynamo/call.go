package dynamo

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"golang.org/x/time/rate"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/wait"
)

// Names of the counters of this package.
const (
	// RequestCounter counts requests by operation and outcome.
	RequestCounter = "platform_requests"
	// RefusalCounter counts operations refused before a request was sent.
	RefusalCounter = "platform_refused"
	// RetryCounter counts retries by reason.
	RetryCounter = "platform_retries"
)

const (
	maxThrottledRetries = 6
	maxTransientRetries = 2
	backoffBase         = 20 * time.Millisecond
	maxBackoff          = time.Second
)

// operation describes one kind of request.
type operation struct {
	name          string
	budget        *rate.Limiter
	refusalReason string // counted in RefusalCounter when the budget refuses
	mutates       bool   // a lost response leaves the outcome unknown
	idempotent    bool   // repeating a request that took effect has no further effect
}

func (c *Client) readOp(name string) operation {
	return operation{name: name, budget: c.budgets.reads, refusalReason: "read_budget", idempotent: true}
}

func (c *Client) writeOp(name string, idempotent bool) operation {
	return operation{name: name, budget: c.budgets.writes, refusalReason: "write_budget", mutates: true, idempotent: idempotent}
}

// documentReadOp describes a read charged to the document row budget. Accepting
// new documents reads one row for each; the general read budget would delay each
// of them by a quarter of a second.
func (c *Client) documentReadOp() operation {
	return operation{name: "get_doc", budget: c.budgets.documentReads, refusalReason: "document_budget", idempotent: true}
}

// claimWriteOp describes a write charged to the claim row budget.
func (c *Client) claimWriteOp(name string) operation {
	return operation{name: name, budget: c.budgets.claimWrites, refusalReason: "claim_budget", mutates: true, idempotent: true}
}

// outcome classifies the result of one request.
type outcome string

const (
	succeeded       outcome = "ok"
	conditionFailed outcome = "condition"   // a condition of the request failed
	notFound        outcome = "missing"     // the object does not exist
	throttled       outcome = "throttled"   // refused without effect; may be retried
	contended       outcome = "contended"   // refused because another transaction was in progress
	unavailable     outcome = "unavailable" // without effect
	ambiguous       outcome = "ambiguous"   // may have taken effect
)

// do calls f, which sends one request, and retries while that is safe and can
// succeed. It returns nil, an error of kind fault.PlatformUnavailable,
// fault.OutcomeUnknown or fault.Canceled, or the error of f if the outcome is
// conditionFailed, notFound or contended.
func (c *Client) do(ctx context.Context, op operation, f func(context.Context) error) error {
	mayHaveRun := false // an earlier attempt may have taken effect
	for attempt := 0; ; attempt++ {
		if err := op.budget.Wait(ctx); err != nil {
			c.metrics.CounterGroup(RefusalCounter).Add(op.refusalReason, 1)
			return requestError(ctx, op, mayHaveRun, err)
		}
		err := c.doOnce(ctx, f)
		o := classify(err)
		c.metrics.CounterGroup(RequestCounter).Add(op.name+"_"+string(o), 1)
		switch o {
		case succeeded:
			return nil
		case conditionFailed, notFound, contended:
			return err
		}
		mayHaveRun = mayHaveRun || o == ambiguous
		// A retry after a timeout would only delay the caller further.
		if errors.Is(err, context.DeadlineExceeded) || !retryable(op, o, attempt) || wait.For(ctx, backoff(attempt)) != nil {
			return requestError(ctx, op, mayHaveRun, err)
		}
		c.metrics.CounterGroup(RetryCounter).Add(op.name+"_"+string(o), 1)
	}
}

func (c *Client) doOnce(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return f(ctx)
}

// retryable reports whether a request may be retried after outcome o.
func retryable(op operation, o outcome, attempt int) bool {
	switch o {
	case throttled:
		return attempt < maxThrottledRetries
	case unavailable, ambiguous:
		return op.idempotent && attempt < maxTransientRetries
	}
	return false
}

func requestError(ctx context.Context, op operation, mayHaveRun bool, err error) error {
	if op.mutates && mayHaveRun {
		return fault.Newf(fault.OutcomeUnknown, "platform %s: %w", op.name, err)
	}
	return notRunError(ctx, op, err)
}

// notRunError returns the error of an operation that had no effect.
func notRunError(ctx context.Context, op operation, err error) error {
	kind := fault.PlatformUnavailable
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = fault.Canceled
	}
	return fault.Newf(kind, "platform %s: %w", op.name, err).WithRun(fault.NotRun)
}

// apiError is implemented by all errors that a platform service returns in a
// response.
type apiError interface {
	error
	ErrorCode() string
}

func classify(err error) outcome {
	if err == nil {
		return succeeded
	}
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return classifyTransaction(canceled)
	}
	var apiErr apiError
	if errors.As(err, &apiErr) {
		o := classifyCode(apiErr.ErrorCode())
		var status interface{ HTTPStatusCode() int }
		if o == unavailable && errors.As(err, &status) && status.HTTPStatusCode() >= http.StatusInternalServerError {
			return ambiguous
		}
		return o
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unavailable
	}
	if errors.Is(err, errDigestMismatch) {
		return unavailable
	}
	return ambiguous
}

func classifyCode(code string) outcome {
	switch code {
	case "ConditionalCheckFailedException":
		return conditionFailed
	case "NoSuchKey", "NotFound":
		return notFound
	case "TransactionConflictException", "TransactionInProgressException", "ProvisionedThroughputExceededException",
		"ThrottlingException", "RequestLimitExceeded", "LimitExceededException", "SlowDown", "TooManyRequests":
		return throttled
	case "InternalServerError", "InternalServerErrorException", "InternalError", "ServiceUnavailable",
		"ServiceUnavailableException", "RequestTimeout", "UnknownError", "":
		return ambiguous
	}
	return unavailable
}

// classifyTransaction reports a failed condition in preference to a conflict with
// another transaction, because only the conflict can disappear on retry.
func classifyTransaction(e *types.TransactionCanceledException) outcome {
	o := unavailable
	for _, r := range e.CancellationReasons {
		switch reasonCode(r) {
		case "ConditionalCheckFailed":
			return conditionFailed
		case "ThrottlingError", "ProvisionedThroughputExceeded":
			o = throttled
		case "TransactionConflict":
			if o != throttled {
				o = contended
			}
		}
	}
	return o
}

func reasonCode(r types.CancellationReason) string {
	if r.Code == nil {
		return ""
	}
	return *r.Code
}

// backoff returns a random delay whose bound doubles with each attempt.
func backoff(attempt int) time.Duration {
	return jitter(min(backoffBase<<min(attempt, 16), maxBackoff))
}

// jitter returns a random duration from d/2 to d.
func jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}
