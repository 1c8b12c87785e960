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

// resolveTimeouts is the time for finding out what became of a transaction, in
// request time-outs. It is independent of the caller's context, since a caller
// who leaves needs the outcome no less.
const resolveTimeouts = 2

// transact submits the proposal. It returns false without an error if the
// proposal must be rebased.
//
// A transaction whose response is lost may still take effect later, so that a
// read that does not find the change proves nothing. It is therefore submitted
// again: either one of the two takes effect, or the head has moved past the
// version that both require and neither can take effect any more.
func (p *proposal) transact(ctx context.Context) (Head, bool, error) {
	in, head, err := p.transaction()
	if err != nil {
		return Head{}, false, err
	}
	err = p.submit(ctx, in)
	switch {
	case err == nil:
		return head, true, nil
	case !fault.Is(err, fault.OutcomeUnknown):
		return p.rejected(ctx, err)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeouts*p.client.timeout)
	defer cancel()
	return p.resolve(ctx, in, head, err)
}

func (p *proposal) submit(ctx context.Context, in *dynamodb.TransactWriteItemsInput) error {
	return p.client.do(ctx, p.client.write("transact", false), func(ctx context.Context) error {
		_, err := p.client.table.TransactWriteItems(ctx, in)
		return err
	})
}

// resolve finds out what became of a transaction that ended with the error
// unknown.
func (p *proposal) resolve(ctx context.Context, in *dynamodb.TransactWriteItemsInput, head Head, unknown error) (Head, bool, error) {
	for attempt := 0; wait.For(ctx, backoff(attempt)) == nil; attempt++ {
		p.client.metrics.CounterGroup(RetryCounter).Add("commit_resolve", 1)
		h, done, err := p.accepted(ctx)
		if done || fault.Is(err, fault.BadRequest) {
			return h, done, err
		}
		if err != nil {
			continue
		}
		if err = p.submit(ctx, in); err == nil {
			return head, true, nil
		}
		if classify(err) == condition {
			return p.settled(ctx, err, unknown)
		}
	}
	return Head{}, false, unknown
}

// settled is called when the repetition of a transaction with a lost response
// failed by a condition. If the change is not recorded by now, the first
// transaction has no effect and never will: it depends on the same rows, and
// no row of a document changes unless the head moves.
func (p *proposal) settled(ctx context.Context, rejection, unknown error) (Head, bool, error) {
	h, done, err := p.accepted(ctx)
	if done || fault.Is(err, fault.BadRequest) {
		return h, done, err
	}
	if err != nil || failedAt(rejection, changeRow) {
		return Head{}, false, unknown
	}
	return p.rejected(ctx, rejection)
}

// rejected handles a transaction that certainly had no effect.
func (p *proposal) rejected(ctx context.Context, err error) (Head, bool, error) {
	switch {
	case classify(err) == contended:
		return Head{}, false, nil
	case classify(err) != condition:
		return Head{}, false, err
	case failedAt(err, changeRow):
		return p.accepted(ctx)
	case failedAt(err, headRow):
		return Head{}, false, nil
	}
	// The head is the expected one, but a document row is not: it lags behind
	// after a restore of more documents than a transaction holds.
	for i, d := range p.docs {
		if failedAt(err, firstDocRow+i) {
			if _, err := p.readRow(ctx, d.entry.Key); err != nil {
				return Head{}, false, err
			}
		}
	}
	return Head{}, false, nil
}

func failedAt(err error, row int) bool {
	var e *types.TransactionCanceledException
	return errors.As(err, &e) && row < len(e.CancellationReasons) && code(e.CancellationReasons[row]) == "ConditionalCheckFailed"
}

// transaction returns the table transaction of p and the head that it sets.
func (p *proposal) transaction() (*dynamodb.TransactWriteItemsInput, Head, error) {
	h := Head{Version: p.head.Version + 1, Digest: p.next.Digest(), Change: p.id}
	r := Record{Version: h.Version, Digest: h.Digest, Change: p.id, Operator: p.operator, Time: p.client.now(), Restored: p.restored}
	entries := make([]config.Entry, len(p.docs))
	for i, d := range p.docs {
		entries[i] = d.entry
	}
	r.list(entries)
	change, history, err := r.rows(p.content)
	if err != nil {
		return nil, Head{}, fault.Newf(fault.Internal, "change %s: %w", p.id, err)
	}
	headItem := newItem(headPartition, headPartition)
	headItem[versionName] = number(uint64(h.Version))
	headItem[digestName] = text(h.Digest.String())
	headItem[changeName] = text(string(h.Change))
	in := &dynamodb.TransactWriteItemsInput{TransactItems: []types.TransactWriteItem{
		headRow:    p.put(headItem, versionName, uint64(p.head.Version)),
		changeRow:  p.put(change, "", 0),
		historyRow: p.put(history, "", 0),
	}}
	for _, d := range p.docs[:min(len(p.docs), MaxEdits)] {
		i := newItem(docPartition, string(d.entry.Key))
		i[revisionName] = number(uint64(d.entry.Revision))
		i[versionName] = number(uint64(h.Version))
		if !d.entry.Part.IsZero() {
			i[partName] = text(d.entry.Part.String())
		}
		in.TransactItems = append(in.TransactItems, p.put(i, revisionName, uint64(d.expected)))
	}
	return in, h, nil
}

// put returns the conditional put of a row: the named attribute has the given
// value, or, if that is zero, the row does not exist.
func (p *proposal) put(i item, name string, expected uint64) types.TransactWriteItem {
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
