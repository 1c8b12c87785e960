package dynamo

import (
	"context"
	"errors"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Partitions of the table, which are values of the attribute pk.
const (
	headPartition    = "head"
	docPartition     = "doc"
	changePartition  = "change"
	historyPartition = "history"
	nodePartition    = "node"
	claimPartition   = "claim"
)

// Attribute names.
const (
	pkName       = "pk"
	skName       = "sk"
	versionName  = "version"
	digestName   = "digest"
	changeName   = "change"
	revisionName = "revision"
	partName     = "part"
	docsName     = "documents"
	operatorName = "operator"
	timeName     = "time"
	contentName  = "content"
	restoredName = "restored"
	addrName     = "address"
	zoneName     = "zone"
	ownerName    = "owner"
	stateName    = "state"
	expiryName   = "expiry"
)

// errUnreadableRow is wrapped by errors about a row that this package did not
// write.
var errUnreadableRow = errors.New("unreadable row")

// item is one row of the table.
type item map[string]types.AttributeValue

func newItem(pk, sk string) item { return item{pkName: text(pk), skName: text(sk)} }

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func (i item) text(name string) string {
	if s, ok := i[name].(*types.AttributeValueMemberS); ok {
		return s.Value
	}
	return ""
}

func (i item) number(name string) uint64 {
	v, ok := i[name].(*types.AttributeValueMemberN)
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// digest returns the digest in the named attribute, or the zero digest.
func (i item) digest(name string) mesh.Digest {
	d, err := mesh.ParseDigest(i.text(name))
	if err != nil {
		return mesh.Digest{}
	}
	return d
}

// getRow reads one row with strong consistency. A nil item means that the row
// does not exist.
func (c *Client) getRow(ctx context.Context, op operation, pk, sk string) (item, error) {
	var out *dynamodb.GetItemOutput
	err := c.do(ctx, op, func(ctx context.Context) (err error) {
		out, err = c.table.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: aws.String(c.names.table), Key: newItem(pk, sk), ConsistentRead: aws.Bool(true),
		})
		return err
	})
	if err != nil || len(out.Item) == 0 {
		return nil, err
	}
	return out.Item, nil
}

// maxPageRows bounds the rows of one page of a query.
const maxPageRows = 200

// query reads the rows that in selects, page by page, and calls visit with each
// until visit returns false.
func (c *Client) query(ctx context.Context, op operation, in dynamodb.QueryInput, visit func(item) bool) error {
	for {
		var out *dynamodb.QueryOutput
		err := c.do(ctx, op, func(ctx context.Context) (err error) {
			out, err = c.table.Query(ctx, &in)
			return err
		})
		if err != nil {
			return err
		}
		for _, i := range out.Items {
			if !visit(i) {
				return nil
			}
		}
		if len(out.LastEvaluatedKey) == 0 {
			return nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}
