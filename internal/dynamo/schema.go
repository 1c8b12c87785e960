package dynamo

import (
	"context"
	"errors"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"lavenderrill.dev/lavenderrill/internal/wait"
)

const schemaPollInterval = 200 * time.Millisecond

// EnsureSchema creates the table and the bucket unless they exist, and returns
// when both can be used. It may be called by several processes at once and
// again after a crash at any point.
func (c *Client) EnsureSchema(ctx context.Context) error {
	if err := c.ensureTable(ctx); err != nil {
		return err
	}
	op := operation{name: "create_bucket", budget: c.budgets.objectWrites, refusalReason: "object_write_budget", idempotent: true}
	return c.do(ctx, op, func(ctx context.Context) error {
		_, err := c.objects.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: aws.String(c.names.bucket)})
		return ignoreCodes(err, "BucketAlreadyOwnedByYou", "BucketAlreadyExists")
	})
}

func (c *Client) ensureTable(ctx context.Context) error {
	err := c.do(ctx, c.writeOp("create_table", true), func(ctx context.Context) error {
		_, err := c.table.CreateTable(ctx, &dynamodb.CreateTableInput{
			TableName:   aws.String(c.names.table),
			BillingMode: types.BillingModePayPerRequest,
			AttributeDefinitions: []types.AttributeDefinition{
				{AttributeName: aws.String(pkName), AttributeType: types.ScalarAttributeTypeS},
				{AttributeName: aws.String(skName), AttributeType: types.ScalarAttributeTypeS},
			},
			KeySchema: []types.KeySchemaElement{
				{AttributeName: aws.String(pkName), KeyType: types.KeyTypeHash},
				{AttributeName: aws.String(skName), KeyType: types.KeyTypeRange},
			},
		})
		return ignoreCodes(err, "ResourceInUseException", "TableAlreadyExistsException")
	})
	for err == nil {
		var out *dynamodb.DescribeTableOutput
		err = c.do(ctx, c.readOp("describe_table"), func(ctx context.Context) (err error) {
			out, err = c.table.DescribeTable(ctx, &dynamodb.DescribeTableInput{TableName: aws.String(c.names.table)})
			return err
		})
		if err != nil {
			return err
		}
		if out.Table != nil && out.Table.TableStatus == types.TableStatusActive {
			return nil
		}
		if wait.For(ctx, schemaPollInterval) != nil {
			return notRunError(ctx, c.readOp("describe_table"), ctx.Err())
		}
	}
	return err
}

// ignoreCodes returns nil if err has one of the given codes, and err otherwise.
func ignoreCodes(err error, codes ...string) error {
	var apiErr apiError
	if errors.As(err, &apiErr) {
		for _, code := range codes {
			if apiErr.ErrorCode() == code {
				return nil
			}
		}
	}
	return err
}
