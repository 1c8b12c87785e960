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

const schemaPoll = 200 * time.Millisecond

// EnsureSchema creates the table and the bucket unless they exist, and returns
// when both can be used. It may be called by several processes at once and
// again after a crash at any point.
func (c *Client) EnsureSchema(ctx context.Context) error {
	if err := c.ensureTable(ctx); err != nil {
		return err
	}
	op := operation{name: "create_bucket", budget: c.budgets.objectWrites, refusal: "object_write_budget", repeat: true}
	return c.do(ctx, op, func(ctx context.Context) error {
		_, err := c.objects.CreateBucket(ctx, &s3.CreateBucketInput{Bucket: aws.String(c.names.bucket)})
		return unless(err, "BucketAlreadyOwnedByYou", "BucketAlreadyExists")
	})
}

func (c *Client) ensureTable(ctx context.Context) error {
	err := c.do(ctx, c.write("create_table", true), func(ctx context.Context) error {
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
		return unless(err, "ResourceInUseException", "TableAlreadyExistsException")
	})
	for err == nil {
		var out *dynamodb.DescribeTableOutput
		err = c.do(ctx, c.read("describe_table"), func(ctx context.Context) (err error) {
			out, err = c.table.DescribeTable(ctx, &dynamodb.DescribeTableInput{TableName: aws.String(c.names.table)})
			return err
		})
		if err != nil {
			return err
		}
		if out.Table != nil && out.Table.TableStatus == types.TableStatusActive {
			return nil
		}
		if wait.For(ctx, schemaPoll) != nil {
			return withoutEffect(ctx, c.read("describe_table"), ctx.Err())
		}
	}
	return err
}

// unless returns nil if err has one of the given codes, else err.
func unless(err error, codes ...string) error {
	var api apiError
	if errors.As(err, &api) {
		for _, code := range codes {
			if api.ErrorCode() == code {
				return nil
			}
		}
	}
	return err
}
