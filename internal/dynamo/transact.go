package dynamo

import (
	"context"
	"errors"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/wait"
	"lavenderrill.dev/lavenderrill/pkg/config"
)

// Positions of the rows of a transaction; document rows follow.
const (
	headRow = iota
	changeRow
	historyRow
	firstDocRow
)

// resolveTimeouts is the time to determine the outcome of a transaction, in
// request timeouts. It is independent of the caller's context, because a caller
// that cancels still needs the outcome.
const resolveTimeouts = 2

// transact submits the proposal. It returns false without an error if the
// proposal must be rebased.
//
// A transaction whose response is lost may still take effect later, so a read
// that does not find the change is not conclusive. The transaction is therefore
// submitted again: either one of the two takes effect, or the head has moved past
// the version that both require and neither can take effect any more.
func (p *proposal) transact(ctx context.Context) (Head, bool, error) {
	in, head, err := p.buildTransaction()
	if err != nil {
		return Head{}, false, err
	}
	err = p.submit(ctx, in)
	switch {
	case err == nil:
		return head, true, nil
	case !fault.Is(err, fault.OutcomeUnknown):
		return p.handleRejection(ctx, err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeouts*p.client.timeout)
	defer cancel()
	return p.resolve(ctx, in, head, err)
}

func (p *proposal) submit(ctx context.Context, in *dynamodb.TransactWriteItemsInput) error {
	return p.client.do(ctx, p.client.writeOp("transact", false), func(ctx context.Context) error {
		_, err := p.client.table.TransactWriteItems(ctx, in)
		return err
	})
}

// resolve determines the outcome of a transaction that ended with unknownErr.
func (p *proposal) resolve(ctx context.Context, in *dynamodb.TransactWriteItemsInput, head Head, unknownErr error) (Head, bool, error) {
	for attempt := 0; wait.For(ctx, backoff(attempt)) == nil; attempt++ {
		p.client.metrics.CounterGroup(RetryCounter).Add("commit_resolve", 1)
		h, done, err := p.lookupAccepted(ctx)
		if done || fault.Is(err, fault.BadRequest) {
			return h, done, err
		}
		if err != nil {
			continue
		}
		if err = p.submit(ctx, in); err == nil {
			return head, true, nil
		}
		if classify(err) == conditionFailed {
			return p.resolveRepeatRejected(ctx, err, unknownErr)
		}
	}
	return Head{}, false, unknownErr
}

// resolveRepeatRejected handles a transaction that was submitted again after a
// lost response and failed a condition. If the change is not recorded by now, the
// first submission cannot take effect any more: it depends on the same rows, and
// no document row changes unless the head moves.
func (p *proposal) resolveRepeatRejected(ctx context.Context, rejection, unknownErr error) (Head, bool, error) {
	h, done, err := p.lookupAccepted(ctx)
	if done || fault.Is(err, fault.BadRequest) {
		return h, done, err
	}
	if err != nil || conditionFailedAt(rejection, changeRow) {
		return Head{}, false, unknownErr
	}
	return p.handleRejection(ctx, rejection)
}

// handleRejection handles a transaction that certainly had no effect.
func (p *proposal) handleRejection(ctx context.Context, err error) (Head, bool, error) {
	switch {
	case classify(err) == contended:
		return Head{}, false, nil
	case classify(err) != conditionFailed:
		return Head{}, false, err
	case conditionFailedAt(err, changeRow):
		return p.lookupAccepted(ctx)
	case conditionFailedAt(err, headRow):
		return Head{}, false, nil
	}
	// The head has the expected version, but a document row does not: rows lag
	// behind after a restore of more documents than fit in one transaction.
	for i, d := range p.docs {
		if conditionFailedAt(err, firstDocRow+i) {
			if _, err := p.readRowRevision(ctx, d.entry.Key); err != nil {
				return Head{}, false, err
			}
		}
	}
	return Head{}, false, nil
}

func conditionFailedAt(err error, row int) bool {
	var e *types.TransactionCanceledException
	return errors.As(err, &e) && row < len(e.CancellationReasons) && reasonCode(e.CancellationReasons[row]) == "ConditionalCheckFailed"
}

// buildTransaction returns the table transaction of p and the head that it sets.
func (p *proposal) buildTransaction() (*dynamodb.TransactWriteItemsInput, Head, error) {
	h := Head{Version: p.head.Version + 1, Digest: p.next.Digest(), Change: p.id}
	r := Record{Version: h.Version, Digest: h.Digest, Change: p.id, Operator: p.operator, Time: p.client.now(), Restored: p.restored}
	entries := make([]config.Entry, len(p.docs))
	for i, d := range p.docs {
		entries[i] = d.entry
	}
	r.setDocuments(entries)
	change, history, err := r.rows(p.contentDigest)
	if err != nil {
		return nil, Head{}, fault.Newf(fault.Internal, "change %s: %w", p.id, err)
	}
	headItem := newItem(headPartition, headPartition)
	headItem[versionName] = number(uint64(h.Version))
	headItem[digestName] = text(h.Digest.String())
	headItem[changeName] = text(string(h.Change))
	in := &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{
		headRow:    p.conditionalPut(headItem, versionName, uint64(p.head.Version)),
		changeRow:  p.conditionalPut(change, "", 0),
		historyRow: p.conditionalPut(history, "", 0),
	}}
	for _, d := range p.docs[:min(len(p.docs), MaxEdits)] {
		i := newItem(docPartition, string(d.entry.Key))
		i[revisionName] = number(uint64(d.entry.Revision))
		i[versionName] = number(uint64(h.Version))
		if !d.entry.Part.IsZero() {
			i[partName] = text(d.entry.Part.String())
		}
		in.TransactItems = append(in.TransactItems, p.conditionalPut(i, revisionName, uint64(d.expected)))
	}
	return in, h, nil
}

// conditionalPut returns a put of row i on the condition that the named attribute
// has the expected value or, if expected is zero, that the row does not exist.
func (p *proposal) conditionalPut(i item, name string, expected uint64) types.TransactWriteItem {
	w := &types.Put{
		TableName:                aws.String(p.client.names.table),
		Item:                     i,
		ConditionExpression:      aws.String("attribute_not_exists(#pk)"),
		ExpressionAttributeNames: map[string]string{"#pk": pkName},
	}
	if expected > 0 {
		w.ConditionExpression = aws.String("#name = :expected")
		w.ExpressionAttributeNames = map[string]string{"#name": name}
		w.ExpressionAttributeValues = item{":expected": number(expected)}
	}
	return types.TransactWriteItem{Put: w}
}
