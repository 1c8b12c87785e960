package dynamo

import (
	"context"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/config"
	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// maxSearchedVersions bounds the versions searched for the content of an old
// revision.
const maxSearchedVersions = 1_000

func (c *Client) partitionQuery(pk string, limit int) dynamodb.QueryInput {
	return dynamodb.QueryInput{
		TableName:                 aws.String(c.names.table),
		KeyConditionExpression:    aws.String("#pk = :pk"),
		ExpressionAttributeNames:  map[string]string{"#pk": pkName},
		ExpressionAttributeValues: item{":pk": text(pk)},
		Limit:                     aws.Int32(int32(min(limit, maxPageRows))),
		ConsistentRead:            aws.Bool(true),
	}
}

// History returns up to limit accepted versions below before, newest first. If
// before is zero, it begins with the newest version.
func (c *Client) History(ctx context.Context, limit int, before mesh.Version) ([]Record, error) {
	if limit <= 0 {
		return nil, nil
	}
	var rs []Record
	var decodeErr error
	err := c.query(ctx, c.readOp("query_history"), c.historyQuery(limit, before), func(i item) bool {
		r, err := i.record()
		if err != nil {
			decodeErr = err
			return false
		}
		rs = append(rs, r)
		return len(rs) < limit
	})
	if err == nil {
		err = decodeErr
	}
	if err != nil {
		return nil, err
	}
	return rs, nil
}

func (c *Client) historyQuery(limit int, before mesh.Version) dynamodb.QueryInput {
	in := c.partitionQuery(historyPartition, limit)
	in.ScanIndexForward = aws.Bool(false)
	if before > 0 {
		in.KeyConditionExpression = aws.String("#pk = :pk AND #sk < :before")
		in.ExpressionAttributeNames["#sk"] = skName
		in.ExpressionAttributeValues[":before"] = text(historyKey(before))
	}
	return in
}

// Version returns the record of version v, or an error of kind fault.NotFound.
func (c *Client) Version(ctx context.Context, v mesh.Version) (Record, error) {
	i, err := c.getRow(ctx, c.readOp("get_history"), historyPartition, historyKey(v))
	if err != nil {
		return Record{}, err
	}
	if i == nil {
		return Record{}, fault.Newf(fault.NotFound, "version %d does not exist", v)
	}
	return i.record()
}

// basePart returns the part that document k had at revision r, or the zero
// digest if the newest maxSearchedVersions versions do not list it.
func (c *Client) basePart(ctx context.Context, k config.DocumentKey, r mesh.Revision) (mesh.Digest, error) {
	var part mesh.Digest
	searched := 0
	err := c.query(ctx, c.readOp("query_history"), c.historyQuery(maxPageRows, 0), func(i item) bool {
		searched++
		rec, err := i.record()
		if err != nil {
			return false
		}
		for _, e := range rec.Documents {
			if e.Key == k && e.Revision <= r {
				if e.Revision == r {
					part = e.Part
				}
				return false
			}
		}
		return searched < maxSearchedVersions
	})
	return part, err
}
