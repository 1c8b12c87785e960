package caller

import (
	"context"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// authenticate sets the client account of q by its API key, and refuses a request
// without a valid key on a route that requires one. The key is not forwarded, nor does
// it appear in the refusal.
func (c *Caller) authenticate(ctx context.Context, q *call) (context.Context, error) {
	s := q.table.Snapshot()
	if len(s.ClientAccounts) == 0 {
		return ctx, nil
	}
	key := c.cfg.APIKey(q.in.Header)
	delete(q.in.Header, "Authorization")
	if e := q.setAccount(s.Keys.Account(key)); e != nil {
		return ctx, e
	}
	return ctx, nil
}

// setAccount sets the client account of q, whose key is known or not, and the rank for its
// priority. It refuses a request without an account on a route that requires one.
func (q *call) setAccount(account mesh.ClientAccount, known bool) *fault.Error {
	s := q.table.Snapshot()
	required := s.RequiresKey(q.route.Route)
	if required && !known {
		return fault.New(fault.Unauthorized, "the API key is missing or not valid")
	}
	q.account = account
	if p := s.Account(account); required && p != nil {
		q.accountRank = config.AccountRank(p.Priority, q.baseRank())
	}
	return nil
}
