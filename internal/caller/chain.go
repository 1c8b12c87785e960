package caller

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// newEndpoint adapts f to an endpoint. A request of a type other than Q panics,
// since only this package builds the chain.
func newEndpoint[Q, R any](f func(context.Context, Q) (R, error)) endpoint.Endpoint {
	return func(ctx context.Context, q any) (any, error) {
		return f(ctx, q.(Q))
	}
}

// before returns the middleware that runs f before the next endpoint. An error
// from f ends the request; otherwise the next endpoint gets the context that f
// returns.
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

// invoke calls e with q and returns its typed response.
func invoke[R, Q any](ctx context.Context, e endpoint.Endpoint, q Q) (R, error) {
	r, err := e(ctx, q)
	if err != nil {
		var zero R
		return zero, err
	}
	return r.(R), nil
}

// chain returns the endpoint that maps a *call to its successful *attempt.
func (c *Caller) chain() endpoint.Endpoint {
	return endpoint.Chain(
		before(c.identify),
		before(c.route),
		before(c.recognizeCall),
		before(c.authenticate),
		c.limitAccount,
		before(c.limitRate),
		before(c.throttle),
	)(newEndpoint(c.forwardObserved))
}
