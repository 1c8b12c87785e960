package table

import (
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// maxTransact is the most writes in a transaction.
const maxTransact = 100

// tokenAge is how long a ClientRequestToken makes a repeated transaction have
// no further effect.
const tokenAge = 10 * time.Minute

type conditionCheckInput struct {
	TableName string
	Key       Item
	expressions
}

func (in *conditionCheckInput) change() (change, error) {
	pk, sk, err := onlyKey(in.Key)
	if err != nil {
		return change{}, err
	}
	if in.ConditionExpression == nil {
		return change{}, validation("The ConditionExpression of a ConditionCheck must be set")
	}
	cond, err := in.onlyCondition()
	return change{pk: pk, sk: sk, cond: cond, check: true, onFail: in.ReturnValuesOnConditionCheckFailure}, err
}

type transactItem struct {
	Put            *putItemInput
	Delete         *deleteItemInput
	Update         *updateItemInput
	ConditionCheck *conditionCheckInput
}

type transactWriteInput struct {
	TransactItems      []transactItem
	ClientRequestToken string
}

type transactWriteOutput struct{}

// step is one write of a transaction with its table.
type step struct {
	change
	store *store
}

func (s *Server) step(it transactItem) (step, error) {
	var name string
	var c change
	var err error
	switch {
	case it.Put != nil:
		name = it.Put.TableName
		c, err = it.Put.change()
	case it.Delete != nil:
		name = it.Delete.TableName
		c, err = it.Delete.change()
	case it.Update != nil:
		name = it.Update.TableName
		c, err = it.Update.change()
	case it.ConditionCheck != nil:
		name = it.ConditionCheck.TableName
		c, err = it.ConditionCheck.change()
	default:
		err = validation("TransactItems contains an item without an operation")
	}
	if err != nil {
		return step{}, err
	}
	t, err := s.store(name)
	return step{c, t}, err
}

func (s *Server) steps(in *transactWriteInput) ([]step, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransact {
		return nil, validation("Member must have length between 1 and %d at 'transactItems'", maxTransact)
	}
	type rowKey struct {
		store  *store
		pk, sk string
	}
	seen := make(map[rowKey]bool)
	var steps []step
	for _, it := range in.TransactItems {
		st, err := s.step(it)
		if err != nil {
			return nil, err
		}
		k := rowKey{st.store, st.pk, st.sk}
		if seen[k] {
			return nil, validation("Transaction request cannot include multiple operations on one item")
		}
		seen[k] = true
		steps = append(steps, st)
	}
	return steps, nil
}

func (s *Server) transactWrite(r *http.Request, in *transactWriteInput) (*transactWriteOutput, error) {
	steps, err := s.steps(in)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(in.TransactItems)
	if err != nil {
		return nil, err
	}
	// The lock of the tokens also makes transactions exclude each other, which
	// avoids an order of table locks.
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	now := time.Now()
	sum := sha256.Sum256(body)
	done, err := s.tokens.seen(in.ClientRequestToken, sum, now)
	if done || err != nil {
		return &transactWriteOutput{}, err
	}
	if inject.HasConflict(r.Context()) {
		return nil, canceled(conflicts(len(steps)))
	}
	if err := commit(steps, now); err != nil {
		return nil, err
	}
	s.tokens.add(in.ClientRequestToken, sum, now)
	return &transactWriteOutput{}, nil
}

// commit applies all steps or none.
func commit(steps []step, now time.Time) error {
	locked := make(map[*store]bool)
	for _, st := range steps {
		if !locked[st.store] {
			locked[st.store] = true
			st.store.mu.Lock()
			defer st.store.mu.Unlock()
		}
	}
	reasons := make([]reason, len(steps))
	next := make([]Item, len(steps))
	failed := false
	for i, st := range steps {
		var err error
		reasons[i], next[i], err = st.evaluate()
		if err != nil {
			return err
		}
		failed = failed || reasons[i].Code != "None"
	}
	if failed {
		return canceled(reasons)
	}
	for i, st := range steps {
		if !st.check {
			st.store.put(st.pk, st.sk, next[i], now)
		}
	}
	return nil
}

func (st step) evaluate() (reason, Item, error) {
	old := st.store.current(st.pk, st.sk)
	if st.cond != nil && !st.cond.eval(old) {
		r := reason{Code: "ConditionalCheckFailed", Message: conditionFailed}
		if st.onFail == "ALL_OLD" {
			r.Item = old
		}
		return r, nil, nil
	}
	if st.check {
		return reason{Code: "None"}, nil, nil
	}
	it, err := st.next(old)
	return reason{Code: "None"}, it, err
}

func conflicts(n int) []reason {
	rs := make([]reason, n)
	for i := range rs {
		rs[i] = reason{Code: "None"}
	}
	rs[0] = reason{Code: "TransactionConflict", Message: "Transaction is ongoing for the item"}
	return rs
}

func canceled(reasons []reason) error {
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	e := newError("TransactionCanceledException", "Transaction cancelled, please refer cancellation reasons for specific reasons [%s]", strings.Join(codes, ", "))
	e.Reasons = reasons
	return e
}

// tokens remembers the transactions committed with a ClientRequestToken.
type tokens struct {
	mu    sync.Mutex
	sums  map[string][sha256.Size]byte
	order []tokenTime
}

type tokenTime struct {
	token string
	at    time.Time
}

// seen reports whether the transaction was committed before. It returns an
// error if the token was used for another transaction.
func (t *tokens) seen(token string, sum [sha256.Size]byte, now time.Time) (bool, error) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) > tokenAge {
		delete(t.sums, t.order[0].token)
		t.order = t.order[1:]
	}
	old, ok := t.sums[token]
	if token == "" || !ok {
		return false, nil
	}
	if old != sum {
		return false, newError("IdempotentParameterMismatchException", "The request parameters do not match those of an earlier request with the same client token")
	}
	return true, nil
}

func (t *tokens) add(token string, sum [sha256.Size]byte, now time.Time) {
	if token == "" {
		return
	}
	if t.sums == nil {
		t.sums = make(map[string][sha256.Size]byte)
	}
	t.sums[token] = sum
	t.order = append(t.order, tokenTime{token, now})
}
