package dynamo

import (
	"context"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// NodeRow registers a node, so that starting nodes find members to join.
type NodeRow struct {
	ID      mesh.NodeID
	Addr    mesh.Addr // peer address
	Zone    mesh.AvailabilityZone
	Written time.Time // set by WriteNode
}

// WriteNode writes the row of a node that starts.
func (c *Client) WriteNode(ctx context.Context, n NodeRow) error {
	i := newItem(nodePartition, string(n.ID))
	i[addrName] = text(string(n.Addr))
	i[zoneName] = text(string(n.Zone))
	i[timeName] = number(uint64(max(c.now().UnixMilli(), 0)))
	return c.do(ctx, c.writeOp("put_node", true), func(ctx context.Context) error {
		_, err := c.table.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String(c.names.table), Item: i})
		return err
	})
}

// DeleteNode deletes the row of a node that leaves. Deleting a row that does
// not exist is not an error.
func (c *Client) DeleteNode(ctx context.Context, id mesh.NodeID) error {
	return c.do(ctx, c.writeOp("delete_node", true), func(ctx context.Context) error {
		_, err := c.table.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName: aws.String(c.names.table), Key: newItem(nodePartition, string(id)),
		})
		return err
	})
}

// Nodes returns up to limit node rows, in unspecified order. They include the
// rows of nodes that failed without leaving.
func (c *Client) Nodes(ctx context.Context, limit int) ([]NodeRow, error) {
	var rows []NodeRow
	if limit <= 0 {
		return nil, nil
	}
	err := c.query(ctx, c.readOp("query_nodes"), c.partitionQuery(nodePartition, limit), func(i item) bool {
		rows = append(rows, NodeRow{
			ID:      mesh.NodeID(i.text(skName)),
			Addr:    mesh.Addr(i.text(addrName)),
			Zone:    mesh.AvailabilityZone(i.text(zoneName)),
			Written: time.UnixMilli(int64(i.number(timeName))),
		})
		return len(rows) < limit
	})
	if err != nil {
		return nil, err
	}
	return rows, nil
}
