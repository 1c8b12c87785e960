package dynamo

import (
	"context"
	"errors"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
)

// claimHeld is the state of a claim whose request may be running or has run.
const claimHeld = "held"

// ClaimResult is the result of Claim.
type ClaimResult struct {
	Granted bool      // the requesting owner holds the claim
	Owner   string    // the current owner
	Expiry  time.Time // when the claim expires
}

// Claim acquires the claim with the given key for owner, unless another owner
// holds it and it has not expired. Claiming again with the same owner extends
// the claim, so that an owner whose response was lost can repeat the call; owner
// must be unique to one request. A claim held by another owner is reported in
// the result, not as an error.
//
// After an error of kind fault.OutcomeUnknown the claim may be held by owner.
func (c *Client) Claim(ctx context.Context, key, owner string, ttl time.Duration) (ClaimResult, error) {
	now := c.now()
	expiry := now.Add(ttl)
	i := newItem(claimPartition, key)
	i[ownerName] = text(owner)
	i[stateName] = text(claimHeld)
	i[expiryName] = number(milliseconds(expiry))
	err := c.do(ctx, c.claimWriteOp("put_claim"), func(ctx context.Context) error {
		_, err := c.table.PutItem(ctx, &dynamodb.PutItemInput{
			TableName:                           aws.String(c.names.table),
			Item:                                i,
			ConditionExpression:                 aws.String("attribute_not_exists(#pk) OR #owner = :owner OR #expiry < :now"),
			ExpressionAttributeNames:            map[string]string{"#pk": pkName, "#owner": ownerName, "#expiry": expiryName},
			ExpressionAttributeValues:           item{":owner": text(owner), ":now": number(milliseconds(now))},
			ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
		})
		return err
	})
	var failed *types.ConditionalCheckFailedException
	switch {
	case err == nil:
		return ClaimResult{Granted: true, Owner: owner, Expiry: expiry}, nil
	case errors.As(err, &failed):
		existing := item(failed.Item)
		return ClaimResult{Owner: existing.text(ownerName), Expiry: time.UnixMilli(int64(existing.number(expiryName)))}, nil
	}
	return ClaimResult{}, err
}

// ReleaseClaim releases a claim that owner holds. Releasing a claim that no
// longer exists is not an error; releasing the claim of another owner fails with
// an error of kind fault.Conflict.
func (c *Client) ReleaseClaim(ctx context.Context, key, owner string) error {
	err := c.do(ctx, c.claimWriteOp("delete_claim"), func(ctx context.Context) error {
		_, err := c.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName:                 aws.String(c.names.table),
			Key:                       newItem(claimPartition, key),
			ConditionExpression:       aws.String("attribute_not_exists(#pk) OR #owner = :owner"),
			ExpressionAttributeNames:  map[string]string{"#pk": pkName, "#owner": ownerName},
			ExpressionAttributeValues: item{":owner": text(owner)},
		})
		return err
	})
	if classify(err) == conditionFailed {
		return fault.Newf(fault.Conflict, "claim %s is held by another owner", key)
	}
	return err
}

func milliseconds(t time.Time) uint64 { return uint64(max(t.UnixMilli(), 0)) }
