package caller

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// typed turns f into an endpoint. Requests of another type than Q panic, since
// the chain is built by this package alone.
func newEndpoint[Q, R any](f func(context.Context, Q) (R, error)) endpoint.Endpoint {
	return func(ctx context.Context, q any) (any, error) {
		return f(ctx, q.(Q))
	}
}

// before returns the middleware that runs f before the next endpoint. An error
// of f ends the request; the context that f returns is passed on.
func before[Q any](f func(context.Context, Q) (context.Context, error)) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, q any) (any, error) {
			ctx, err := f(ctx, q.(Q))
			if err != nil {
				return nil, err
			}
			return next(ctx, q)
		}
	}
}

// invoke calls e with q and returns its typed answer.
func invoke[R, Q any](ctx context.Context, e endpoint.Endpoint, q Q) (R, error) {
	r, err := e(ctx, q)
	if err != nil {
		var zero R
		return zero, err
	}
	return r.(R), nil
}

// chain returns the endpoint that answers a *call with the *attempt that
// succeeded.
func (c *Caller) chain() endpoint.Endpoint {
	return endpoint.Chain(
		before(c.identify),
		before(c.route),
		before(c.limitRate),
		before(c.throttle),
	)(newEndpoint(c.forward))
}
