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

// maxTransactItems limits the operations in a transaction.
const maxTransactItems = 100

// tokenLifetime is how long a ClientRequestToken makes a repeated transaction
// idempotent.
const tokenLifetime = 10 * time.Minute

type conditionCheckInput struct {
	TableName string
	Key       Item
	expressionParams
}

func (in *conditionCheckInput) conditionalWrite() (conditionalWrite, error) {
	pk, sk, err := exactPrimaryKey(in.Key)
	if err != nil {
		return conditionalWrite{}, err
	}
	if in.ConditionExpression == nil {
		return conditionalWrite{}, validationError("The ConditionExpression of a ConditionCheck must be set")
	}
	cond, err := in.soleCondition()
	return conditionalWrite{pk: pk, sk: sk, cond: cond, checkOnly: true, returnOnFailure: in.ReturnValuesOnConditionCheckFailure}, err
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

// transactOp is one operation of a transaction with its table.
type transactOp struct {
	conditionalWrite
	table *tableStore
}

func (s *Server) newTransactOp(it transactItem) (transactOp, error) {
	var name string
	var c conditionalWrite
	var err error
	switch {
	case it.Put != nil:
		name = it.Put.TableName
		c, err = it.Put.conditionalWrite()
	case it.Delete != nil:
		name = it.Delete.TableName
		c, err = it.Delete.conditionalWrite()
	case it.Update != nil:
		name = it.Update.TableName
		c, err = it.Update.conditionalWrite()
	case it.ConditionCheck != nil:
		name = it.ConditionCheck.TableName
		c, err = it.ConditionCheck.conditionalWrite()
	default:
		err = validationError("TransactItems contains an item without an operation")
	}
	if err != nil {
		return transactOp{}, err
	}
	t, err := s.lookupTable(name)
	return transactOp{c, t}, err
}

func (s *Server) newTransactOps(in *transactWriteInput) ([]transactOp, error) {
	if len(in.TransactItems) == 0 || len(in.TransactItems) > maxTransactItems {
		return nil, validationError("Member must have length between 1 and %d at 'transactItems'", maxTransactItems)
	}
	type rowKey struct {
		table  *tableStore
		pk, sk string
	}
	seen := make(map[rowKey]bool)
	var ops []transactOp
	for _, it := range in.TransactItems {
		op, err := s.newTransactOp(it)
		if err != nil {
			return nil, err
		}
		k := rowKey{op.table, op.pk, op.sk}
		if seen[k] {
			return nil, validationError("Transaction request cannot include multiple operations on one item")
		}
		seen[k] = true
		ops = append(ops, op)
	}
	return ops, nil
}

func (s *Server) transactWrite(r *http.Request, in *transactWriteInput) (*transactWriteOutput, error) {
	ops, err := s.newTransactOps(in)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(in.TransactItems)
	if err != nil {
		return nil, err
	}
	// The lock of the tokens also serializes transactions, so that no lock order
	// of tables is needed to avoid deadlocks.
	s.tokens.mu.Lock()
	defer s.tokens.mu.Unlock()
	now := time.Now()
	sum := sha256.Sum256(body)
	committed, err := s.tokens.isCommitted(in.ClientRequestToken, sum, now)
	if committed || err != nil {
		return &transactWriteOutput{}, err
	}
	if inject.HasConflict(r.Context()) {
		return nil, transactionCanceled(conflictReasons(len(ops)))
	}
	if err := commit(ops, now); err != nil {
		return nil, err
	}
	s.tokens.record(in.ClientRequestToken, sum, now)
	return &transactWriteOutput{}, nil
}

// commit applies all ops or none.
func commit(ops []transactOp, now time.Time) error {
	locked := make(map[*tableStore]bool)
	for _, op := range ops {
		if !locked[op.table] {
			locked[op.table] = true
			op.table.mu.Lock()
			defer op.table.mu.Unlock()
		}
	}
	reasons := make([]cancellationReason, len(ops))
	newItems := make([]Item, len(ops))
	failed := false
	for i, op := range ops {
		var err error
		reasons[i], newItems[i], err = op.evaluate()
		if err != nil {
			return err
		}
		failed = failed || reasons[i].Code != "None"
	}
	if failed {
		return transactionCanceled(reasons)
	}
	for i, op := range ops {
		if !op.checkOnly {
			op.table.put(op.pk, op.sk, newItems[i], now)
		}
	}
	return nil
}

// evaluate checks the condition of op and returns its result and the new item.
func (op transactOp) evaluate() (cancellationReason, Item, error) {
	old := op.table.current(op.pk, op.sk)
	if op.cond != nil && !op.cond.eval(old) {
		r := cancellationReason{Code: "ConditionalCheckFailed", Message: conditionFailedMessage}
		if op.returnOnFailure == "ALL_OLD" {
			r.Item = old
		}
		return r, nil, nil
	}
	if op.checkOnly {
		return cancellationReason{Code: "None"}, nil, nil
	}
	it, err := op.newItem(old)
	return cancellationReason{Code: "None"}, it, err
}

// conflictReasons returns the reasons of a transaction of n operations whose
// first operation has a conflict.
func conflictReasons(n int) []cancellationReason {
	rs := make([]cancellationReason, n)
	for i := range rs {
		rs[i] = cancellationReason{Code: "None"}
	}
	rs[0] = cancellationReason{Code: "TransactionConflict", Message: "Transaction is ongoing for the item"}
	return rs
}

func transactionCanceled(reasons []cancellationReason) error {
	codes := make([]string, len(reasons))
	for i, r := range reasons {
		codes[i] = r.Code
	}
	e := newError("TransactionCanceledException", "Transaction cancelled, please refer cancellation reasons for specific reasons [%s]", strings.Join(codes, ", "))
	e.Reasons = reasons
	return e
}

// idempotencyTokens records the transactions committed with a
// ClientRequestToken.
type idempotencyTokens struct {
	mu    sync.Mutex
	sums  map[string][sha256.Size]byte
	order []tokenEntry
}

type tokenEntry struct {
	token string
	at    time.Time
}

// isCommitted reports whether the transaction was committed before. It returns
// an error if the token was used for another transaction.
func (t *idempotencyTokens) isCommitted(token string, sum [sha256.Size]byte, now time.Time) (bool, error) {
	for len(t.order) > 0 && now.Sub(t.order[0].at) > tokenLifetime {
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

func (t *idempotencyTokens) record(token string, sum [sha256.Size]byte, now time.Time) {
	if token == "" {
		return
	}
	if t.sums == nil {
		t.sums = make(map[string][sha256.Size]byte)
	}
	t.sums[token] = sum
	t.order = append(t.order, tokenEntry{token, now})
}
