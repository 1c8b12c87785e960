package table_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	"github.com/stretchr/testify/require"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
	"lavenderrill.dev/lavenderrill/internal/standin/table"
)

const tableName = "t"

// startTable returns a stand-in with one table and an SDK client without
// retries.
func startTable(t *testing.T) (*table.Server, *dynamodb.Client) {
	t.Helper()
	s := table.New(table.Config{Seed: 1})
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	c := dynamodb.New(dynamodb.Options{
		Region:       "local",
		BaseEndpoint: aws.String(h.URL),
		Credentials:  credentials.NewStaticCredentialsProvider("access", "secret", ""),
		Retryer:      aws.NopRetryer{},
	})
	_, err := c.CreateTable(t.Context(), &dynamodb.CreateTableInput{
		TableName: aws.String(tableName),
		KeySchema: []types.KeySchemaElement{
			{AttributeName: aws.String("pk"), KeyType: types.KeyTypeHash},
			{AttributeName: aws.String("sk"), KeyType: types.KeyTypeRange},
		},
		AttributeDefinitions: []types.AttributeDefinition{
			{AttributeName: aws.String("pk"), AttributeType: types.ScalarAttributeTypeS},
			{AttributeName: aws.String("sk"), AttributeType: types.ScalarAttributeTypeS},
		},
		BillingMode: types.BillingModePayPerRequest,
	})
	require.NoError(t, err)
	return s, c
}

type item = map[string]types.AttributeValue

func stringAttr(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }
func numberAttr(n int) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: fmt.Sprint(n)}
}

func testRow(pk, sk string, v int) item {
	return item{"pk": stringAttr(pk), "sk": stringAttr(sk), "v": numberAttr(v)}
}
func key(pk, sk string) item { return item{"pk": stringAttr(pk), "sk": stringAttr(sk)} }

func putItem(t *testing.T, c *dynamodb.Client, it item) {
	t.Helper()
	_, err := c.PutItem(t.Context(), &dynamodb.PutItemInput{TableName: aws.String(tableName), Item: it})
	require.NoError(t, err)
}

// getValue returns the attribute v of a row, or "" if the row does not exist.
func getValue(t *testing.T, c *dynamodb.Client, pk, sk string, consistent bool) string {
	t.Helper()
	out, err := c.GetItem(t.Context(), &dynamodb.GetItemInput{TableName: aws.String(tableName), Key: key(pk, sk), ConsistentRead: aws.Bool(consistent)})
	require.NoError(t, err)
	if out.Item == nil {
		return ""
	}
	return out.Item["v"].(*types.AttributeValueMemberN).Value
}

// TestTables guards against table errors that the SDK does not map to its error
// types.
func TestTables(t *testing.T) {
	_, c := startTable(t)
	out, err := c.DescribeTable(t.Context(), &dynamodb.DescribeTableInput{TableName: aws.String(tableName)})
	require.NoError(t, err)
	require.Equal(t, types.TableStatusActive, out.Table.TableStatus)
	_, err = c.DescribeTable(t.Context(), &dynamodb.DescribeTableInput{TableName: aws.String("none")})
	var missing *types.ResourceNotFoundException
	require.ErrorAs(t, err, &missing)
	_, err = c.CreateTable(t.Context(), &dynamodb.CreateTableInput{TableName: aws.String(tableName),
		KeySchema: []types.KeySchemaElement{
			{AttributeName: aws.String("pk"), KeyType: types.KeyTypeHash},
			{AttributeName: aws.String("sk"), KeyType: types.KeyTypeRange}},
		AttributeDefinitions: []types.AttributeDefinition{}})
	var inUse *types.ResourceInUseException
	require.ErrorAs(t, err, &inUse)
}

// TestConditions guards against conditions that are evaluated incorrectly, which
// would hide lost updates in the code under test.
func TestConditions(t *testing.T) {
	_, c := startTable(t)
	putItem(t, c, testRow("a", "1", 5))
	for _, tc := range []struct {
		cond   string
		values item
		want   bool
	}{
		{"attribute_exists(pk)", nil, true},
		{"attribute_not_exists(pk)", nil, false},
		{"attribute_not_exists(absent)", nil, true},
		{"v = :x", item{":x": numberAttr(5)}, true},
		{"v = :x", item{":x": stringAttr("5")}, false},
		{"v <> :x", item{":x": numberAttr(5)}, false},
		{"absent <> :x", item{":x": numberAttr(5)}, true},
		{"v < :x", item{":x": numberAttr(10)}, true},
		{"v <= :x", item{":x": numberAttr(5)}, true},
		{"v > :x", item{":x": numberAttr(10)}, false},
		{"v >= :x", item{":x": numberAttr(5)}, true},
		{"absent < :x", item{":x": numberAttr(5)}, false},
		{"v between :x and :y", item{":x": numberAttr(5), ":y": numberAttr(6)}, true},
		{"v IN (:x, :y)", item{":x": numberAttr(4), ":y": numberAttr(5)}, true},
		{"NOT v = :x", item{":x": numberAttr(4)}, true},
		{"v = :x AND attribute_not_exists(pk) OR v = :x", item{":x": numberAttr(5)}, true},
		{"v = :x AND (attribute_not_exists(pk) OR v = :y)", item{":x": numberAttr(5), ":y": numberAttr(4)}, false},
		{"begins_with(sk, :x)", item{":x": stringAttr("1")}, true},
	} {
		_, err := c.PutItem(t.Context(), &dynamodb.PutItemInput{TableName: aws.String(tableName), Item: testRow("a", "1", 5),
			ConditionExpression: aws.String(tc.cond), ExpressionAttributeValues: tc.values})
		if tc.want {
			require.NoError(t, err, tc.cond)
			continue
		}
		var failed *types.ConditionalCheckFailedException
		require.ErrorAs(t, err, &failed, tc.cond)
	}
}

// TestRefusedExpressions guards against a stand-in that accepts expressions
// which the real service refuses, which would hide faults in the code under
// test.
func TestRefusedExpressions(t *testing.T) {
	_, c := startTable(t)
	for _, tc := range []struct {
		cond   string
		names  map[string]string
		values item
	}{
		{"v = :x", nil, nil},
		{"#v = :x", nil, item{":x": numberAttr(1)}},
		{"v = :x", nil, item{":x": numberAttr(1), ":y": numberAttr(1)}},
		{"v = :x", map[string]string{"#v": "v"}, item{":x": numberAttr(1)}},
		{"state = :x", nil, item{":x": numberAttr(1)}},
		{"v = = :x", nil, item{":x": numberAttr(1)}},
		{"(v = :x", nil, item{":x": numberAttr(1)}},
		{"v = :x AND", nil, item{":x": numberAttr(1)}},
		{"", nil, nil},
	} {
		_, err := c.PutItem(t.Context(), &dynamodb.PutItemInput{TableName: aws.String(tableName), Item: testRow("a", "1", 5),
			ConditionExpression: aws.String(tc.cond), ExpressionAttributeNames: tc.names, ExpressionAttributeValues: tc.values})
		var api smithy.APIError
		require.ErrorAs(t, err, &api, tc.cond)
		require.Equal(t, "ValidationException", api.ErrorCode(), tc.cond)
	}
}

// TestQuery guards against queries with a wrong range, order or page.
func TestQuery(t *testing.T) {
	_, c := startTable(t)
	for i := range 10 {
		putItem(t, c, testRow("h", fmt.Sprintf("k%d", i), i))
	}
	putItem(t, c, testRow("other", "k1", 1))
	_, err := c.DeleteItem(t.Context(), &dynamodb.DeleteItemInput{TableName: aws.String(tableName), Key: key("h", "k9")})
	require.NoError(t, err)
	query := func(cond string, vals item, forward bool, limit int32, after item) ([]string, item) {
		vals[":p"] = stringAttr("h")
		in := &dynamodb.QueryInput{TableName: aws.String(tableName), KeyConditionExpression: aws.String(cond),
			ExpressionAttributeValues: vals, ScanIndexForward: aws.Bool(forward), ExclusiveStartKey: after, ConsistentRead: aws.Bool(true)}
		if limit > 0 {
			in.Limit = aws.Int32(limit)
		}
		out, err := c.Query(t.Context(), in)
		require.NoError(t, err)
		var got []string
		for _, it := range out.Items {
			got = append(got, it["sk"].(*types.AttributeValueMemberS).Value)
		}
		return got, out.LastEvaluatedKey
	}
	got, last := query("pk = :p", item{}, true, 0, nil)
	require.Equal(t, []string{"k0", "k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}, got)
	require.Empty(t, last)
	got, _ = query("pk = :p AND sk BETWEEN :a AND :b", item{":a": stringAttr("k2"), ":b": stringAttr("k4")}, true, 0, nil)
	require.Equal(t, []string{"k2", "k3", "k4"}, got)
	got, _ = query("pk = :p AND sk > :a", item{":a": stringAttr("k6")}, true, 0, nil)
	require.Equal(t, []string{"k7", "k8"}, got)
	got, _ = query("pk = :p AND begins_with(sk, :a)", item{":a": stringAttr("k3")}, true, 0, nil)
	require.Equal(t, []string{"k3"}, got)
	got, last = query("pk = :p", item{}, false, 2, nil)
	require.Equal(t, []string{"k8", "k7"}, got)
	got, _ = query("pk = :p", item{}, false, 2, last)
	require.Equal(t, []string{"k6", "k5"}, got)
	got, _ = query("pk = :p", item{}, true, 3, key("h", "k1"))
	require.Equal(t, []string{"k2", "k3", "k4"}, got)
}

func transactPut(it item, cond string) types.TransactWriteItem {
	p := &types.Put{TableName: aws.String(tableName), Item: it}
	if cond != "" {
		p.ConditionExpression = aws.String(cond)
	}
	return types.TransactWriteItem{Put: p}
}

func transactWrite(ctx context.Context, c *dynamodb.Client, token string, items ...types.TransactWriteItem) error {
	_, err := c.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items, ClientRequestToken: aws.String(token)})
	return err
}

// TestTransaction guards against a transaction that is applied partially or
// whose cancellation reasons do not match its items.
func TestTransaction(t *testing.T) {
	_, c := startTable(t)
	putItem(t, c, testRow("a", "1", 1))
	err := transactWrite(t.Context(), c, "t1", transactPut(testRow("b", "1", 1), ""), transactPut(testRow("a", "1", 2), "attribute_not_exists(pk)"))
	var canceled *types.TransactionCanceledException
	require.ErrorAs(t, err, &canceled)
	require.Len(t, canceled.CancellationReasons, 2)
	require.Equal(t, "None", aws.ToString(canceled.CancellationReasons[0].Code))
	require.Equal(t, "ConditionalCheckFailed", aws.ToString(canceled.CancellationReasons[1].Code))
	require.Empty(t, getValue(t, c, "b", "1", true))

	check := types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{TableName: aws.String(tableName), Key: key("a", "1"),
		ConditionExpression: aws.String("v = :x"), ExpressionAttributeValues: item{":x": numberAttr(1)}}}
	del := types.TransactWriteItem{Delete: &types.Delete{TableName: aws.String(tableName), Key: key("c", "1")}}
	require.NoError(t, transactWrite(t.Context(), c, "t2", transactPut(testRow("b", "1", 1), ""), check, del))
	require.Equal(t, "1", getValue(t, c, "b", "1", true))

	err = transactWrite(t.Context(), c, "t3", transactPut(testRow("b", "1", 1), ""), transactPut(testRow("b", "1", 2), ""))
	var api smithy.APIError
	require.ErrorAs(t, err, &api)
	require.Equal(t, "ValidationException", api.ErrorCode())
}

// TestTransactionToken guards against a repeated transaction that takes effect
// twice, and against a token that is accepted for two different transactions.
func TestTransactionToken(t *testing.T) {
	_, c := startTable(t)
	first := transactPut(testRow("a", "1", 1), "attribute_not_exists(pk)")
	require.NoError(t, transactWrite(t.Context(), c, "t1", first))
	require.NoError(t, transactWrite(t.Context(), c, "t1", first))
	err := transactWrite(t.Context(), c, "t1", transactPut(testRow("a", "2", 1), ""))
	var mismatch *types.IdempotentParameterMismatchException
	require.ErrorAs(t, err, &mismatch)
	require.Empty(t, getValue(t, c, "a", "2", true))
}

// TestUpdate guards against incorrect arithmetic and attribute removal in
// UpdateItem.
func TestUpdate(t *testing.T) {
	_, c := startTable(t)
	update := func(expr string, vals item) error {
		_, err := c.UpdateItem(t.Context(), &dynamodb.UpdateItemInput{TableName: aws.String(tableName), Key: key("a", "1"),
			UpdateExpression: aws.String(expr), ExpressionAttributeValues: vals})
		return err
	}
	require.NoError(t, update("SET v = if_not_exists(v, :z) + :n", item{":z": numberAttr(0), ":n": numberAttr(10)}))
	require.NoError(t, update("SET v = v + :n, w = :n", item{":n": numberAttr(90)}))
	require.Equal(t, "100", getValue(t, c, "a", "1", true))
	require.NoError(t, update("REMOVE w SET v = v - :n", item{":n": numberAttr(1)}))
	require.Equal(t, "99", getValue(t, c, "a", "1", true))
	require.Error(t, update("SET pk = :n", item{":n": numberAttr(1)}))
}

// TestLostResponse guards against a fault that drops a write instead of its
// response.
func TestLostResponse(t *testing.T) {
	s, c := startTable(t)
	require.NoError(t, s.SetFaults(inject.Faults{LoseResponse: 1, RequestLimit: 1, Operations: []string{"TransactWriteItems"}}))
	write := transactPut(testRow("a", "1", 1), "attribute_not_exists(pk)")
	require.Error(t, transactWrite(t.Context(), c, "t1", write))
	require.Equal(t, "1", getValue(t, c, "a", "1", true))
	require.NoError(t, transactWrite(t.Context(), c, "t1", write))
	require.EqualValues(t, 2, s.Count("TransactWriteItems"))
}

// TestOutages guards against requests that take effect during an outage, and
// against outages that the SDK does not report as errors.
func TestOutages(t *testing.T) {
	s, c := startTable(t)
	for _, o := range []inject.Outage{inject.OutageReset, inject.OutageError, inject.OutageHang} {
		require.NoError(t, s.SetFaults(inject.Faults{Outage: o}))
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := c.PutItem(ctx, &dynamodb.PutItemInput{TableName: aws.String(tableName), Item: testRow("a", string(o), 1)})
		cancel()
		require.Error(t, err, o)
		// The server detects that the client disconnected from a hanging request
		// only when it reads the end of the connection.
		time.Sleep(50 * time.Millisecond)
		require.NoError(t, s.SetFaults(inject.Faults{}))
		require.Empty(t, getValue(t, c, "a", string(o), true), o)
	}
	require.NoError(t, s.SetFaults(inject.Faults{Throttle: 1}))
	_, err := c.GetItem(t.Context(), &dynamodb.GetItemInput{TableName: aws.String(tableName), Key: key("a", "1")})
	var throttled *types.ProvisionedThroughputExceededException
	require.ErrorAs(t, err, &throttled)
}

// TestStaleRead guards against consistent reads that return old state, and
// against eventually consistent reads that always return the newest state.
func TestStaleRead(t *testing.T) {
	s, c := startTable(t)
	putItem(t, c, testRow("a", "1", 1))
	time.Sleep(50 * time.Millisecond)
	putItem(t, c, testRow("a", "1", 2))
	require.NoError(t, s.SetFaults(inject.Faults{Staleness: inject.Duration(30 * time.Millisecond)}))
	require.Equal(t, "1", getValue(t, c, "a", "1", false))
	require.Equal(t, "2", getValue(t, c, "a", "1", true))
	time.Sleep(50 * time.Millisecond)
	require.Equal(t, "2", getValue(t, c, "a", "1", false))
}
