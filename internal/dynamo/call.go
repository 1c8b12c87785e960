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
	// RetryCounter counts repeated requests by reason.
	RetryCounter = "platform_retries"
)

const (
	throttledRetries = 6
	transientRetries = 2
	backoffBase      = 20 * time.Millisecond
	backoffLimit     = time.Second
)

// operation describes one kind of request.
type operation struct {
	name    string
	budget  *rate.Limiter
	refusal string // reason counted when the budget refuses
	effect  bool   // a lost response leaves the outcome unknown
	repeat  bool   // repeating a request that took effect changes nothing more
}

func (c *Client) read(name string) operation {
	return operation{name: name, budget: c.budgets.reads, refusal: "read_budget", repeat: true}
}

func (c *Client) write(name string, repeat bool) operation {
	return operation{name: name, budget: c.budgets.writes, refusal: "write_budget", effect: true, repeat: repeat}
}

// documentRead is a read on the budget of document rows. An accept of new
// documents reads one row for each, so that the general budget would let it wait
// for a quarter of a second per document.
func (c *Client) documentRead() operation {
	return operation{name: "get_doc", budget: c.budgets.documents, refusal: "document_budget", repeat: true}
}

// claimWrite is a write on the budget of claim rows.
func (c *Client) claimWrite(name string) operation {
	return operation{name: name, budget: c.budgets.claims, refusal: "claim_budget", effect: true, repeat: true}
}

// outcome says what became of one request.
type outcome string

const (
	succeeded   outcome = "ok"
	condition   outcome = "condition"   // refused by a condition of the request
	missing     outcome = "missing"     // the object does not exist
	throttled   outcome = "throttled"   // refused without effect; may be repeated
	contended   outcome = "contended"   // refused because another transaction was in progress
	unavailable outcome = "unavailable" // without effect
	ambiguous   outcome = "ambiguous"   // may have taken effect
)

// do runs f, which makes one request, and repeats it while that is safe and
// may help. It returns nil, an error of kind fault.PlatformUnavailable,
// fault.OutcomeUnknown or fault.Canceled, or, if the outcome is condition,
// missing or contended, the error of f.
func (c *Client) do(ctx context.Context, op operation, f func(context.Context) error) error {
	unsure := false // an earlier attempt may have taken effect
	for attempt := 0; ; attempt++ {
		if err := op.budget.Wait(ctx); err != nil {
			c.metrics.CounterGroup(RefusalCounter).Add(op.refusal, 1)
			return failure(ctx, op, unsure, err)
		}
		err := c.once(ctx, f)
		o := classify(err)
		c.metrics.CounterGroup(RequestCounter).Add(op.name+"_"+string(o), 1)
		switch o {
		case succeeded:
			return nil
		case condition, missing, contended:
			return err
		}
		unsure = unsure || o == ambiguous
		// A second wait for a platform that does not respond would only keep
		// the caller longer.
		if errors.Is(err, context.DeadlineExceeded) || !retryable(op, o, attempt) || wait.For(ctx, backoff(attempt)) != nil {
			return failure(ctx, op, unsure, err)
		}
		c.metrics.CounterGroup(RetryCounter).Add(op.name+"_"+string(o), 1)
	}
}

func (c *Client) once(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return f(ctx)
}

// retryable reports whether a request may be repeated after outcome o.
func retryable(op operation, o outcome, attempt int) bool {
	switch o {
	case throttled:
		return attempt < throttledRetries
	case unavailable, ambiguous:
		return op.repeat && attempt < transientRetries
	}
	return false
}

func failure(ctx context.Context, op operation, unsure bool, err error) error {
	if op.effect && unsure {
		return fault.Newf(fault.OutcomeUnknown, "platform %s: %w", op.name, err)
	}
	return withoutEffect(ctx, op, err)
}

// withoutEffect returns the error of an operation that changed nothing.
func withoutEffect(ctx context.Context, op operation, err error) error {
	kind := fault.PlatformUnavailable
	if errors.Is(ctx.Err(), context.Canceled) {
		kind = fault.Canceled
	}
	return fault.Newf(kind, "platform %s: %w", op.name, err).WithRun(fault.NotRun)
}

// apiError is what the errors that a platform service responds with have in
// common.
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
	var api apiError
	if errors.As(err, &api) {
		o := classifyCode(api.ErrorCode())
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
	if errors.Is(err, errDigest) {
		return unavailable
	}
	return ambiguous
}

func classifyCode(code string) outcome {
	switch code {
	case "ConditionalCheckFailedException":
		return condition
	case "NoSuchKey", "NotFound":
		return missing
	case "TransactionConflictException", "TransactionInProgressException", "ProvisionedThroughputExceededException",
		"ThrottlingException", "RequestLimitExceeded", "LimitExceededException", "SlowDown", "TooManyRequests":
		return throttled
	case "InternalServerError", "InternalServerErrorException", "InternalError", "ServiceUnavailable",
		"ServiceUnavailableException", "RequestTimeout", "UnknownError", "":
		return ambiguous
	}
	return unavailable
}

// classifyTransaction prefers a failed condition to a conflict with another
// transaction, because only the latter can vanish on repetition.
func classifyTransaction(e *types.TransactionCanceledException) outcome {
	o := unavailable
	for _, r := range e.CancellationReasons {
		switch code(r) {
		case "ConditionalCheckFailed":
			return condition
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

func code(r types.CancellationReason) string {
	if r.Code == nil {
		return ""
	}
	return *r.Code
}

// backoff returns a random delay whose bound doubles with each attempt.
func backoff(attempt int) time.Duration {
	return jitter(min(backoffBase<<min(attempt, 16), backoffLimit))
}

// jitter returns a random duration from d/2 to d.
func jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	return d/2 + rand.N(d/2)
}
