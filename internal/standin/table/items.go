package table

import (
	"net/http"
	"time"
)

// Limits of the real service.
const (
	maxItemBytes = 400 << 10
	maxPKBytes   = 2048
	maxSKBytes   = 1024
)

// expressionParams holds the expression parameters that write operations share.
type expressionParams struct {
	ConditionExpression                 *string
	ExpressionAttributeNames            map[string]string
	ExpressionAttributeValues           Item
	ReturnValuesOnConditionCheckFailure string
}

// condition returns the parsed condition, or nil if there is none.
func (e *expressionParams) condition(ph *placeholders) (*expr, error) {
	if e.ConditionExpression == nil {
		return nil, nil
	}
	return parseCondition(*e.ConditionExpression, ph)
}

// soleCondition parses the condition of a request that has no other expression
// and checks that it uses all placeholders.
func (e *expressionParams) soleCondition() (*expr, error) {
	ph, err := newPlaceholders(e.ExpressionAttributeNames, e.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	cond, err := e.condition(ph)
	if err != nil {
		return nil, err
	}
	return cond, ph.checkUsed()
}

// primaryKey returns the primary key of the item it.
func primaryKey(it Item) (pk, sk string, err error) {
	p, s := it["pk"], it["sk"]
	if p.S == nil || s.S == nil {
		return "", "", validationError("One of the required keys was not given a value or is not a string: pk, sk")
	}
	if *p.S == "" || *s.S == "" {
		return "", "", validationError("One or more parameter values are not valid. The AttributeValue for a key attribute cannot contain an empty string value")
	}
	if len(*p.S) > maxPKBytes || len(*s.S) > maxSKBytes {
		return "", "", validationError("One or more parameter values were invalid: Size of key has exceeded the maximum size limit")
	}
	return *p.S, *s.S, nil
}

// exactPrimaryKey is like primaryKey for an item that must have no other
// attributes.
func exactPrimaryKey(it Item) (pk, sk string, err error) {
	if len(it) != 2 {
		return "", "", validationError("The provided key element does not match the schema")
	}
	return primaryKey(it)
}

func checkItem(it Item) error {
	for k, v := range it {
		if err := v.check(); err != nil {
			return validationError("%s: %s", k, toAPIError(err).Message)
		}
	}
	if it.size() > maxItemBytes {
		return validationError("Item size has exceeded the maximum allowed size")
	}
	return nil
}

type getItemInput struct {
	TableName                string
	Key                      Item
	ConsistentRead           bool
	ProjectionExpression     *string
	ExpressionAttributeNames map[string]string
}

type getItemOutput struct {
	Item Item `json:",omitempty"`
}

func (s *Server) getItem(r *http.Request, in *getItemInput) (*getItemOutput, error) {
	t, err := s.lookupTable(in.TableName)
	if err != nil {
		return nil, err
	}
	pk, sk, err := exactPrimaryKey(in.Key)
	if err != nil {
		return nil, err
	}
	ph, err := newPlaceholders(in.ExpressionAttributeNames, nil)
	if err != nil {
		return nil, err
	}
	attrs, err := parseProjection(in.ProjectionExpression, ph)
	if err != nil {
		return nil, err
	}
	if err := ph.checkUsed(); err != nil {
		return nil, err
	}
	return &getItemOutput{project(t.read(pk, sk, readTime(r, in.ConsistentRead)), attrs)}, nil
}

// conditionalWrite is a write or a condition check of one row.
type conditionalWrite struct {
	pk, sk          string
	cond            *expr
	newItem         func(old Item) (Item, error) // new item, nil to delete
	returnOnFailure string                       // ReturnValuesOnConditionCheckFailure
	checkOnly       bool                         // no write, only a condition check
}

// apply performs c outside a transaction and returns the old and the new item.
func (s *tableStore) apply(c conditionalWrite) (old, it Item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old = s.current(c.pk, c.sk)
	if c.cond != nil && !c.cond.eval(old) {
		e := newError("ConditionalCheckFailedException", conditionFailedMessage)
		if c.returnOnFailure == "ALL_OLD" {
			e.Item = old
		}
		return nil, nil, e
	}
	it, err = c.newItem(old)
	if err != nil {
		return nil, nil, err
	}
	s.put(c.pk, c.sk, it, time.Now())
	return old, it, nil
}

type putItemInput struct {
	TableName    string
	Item         Item
	ReturnValues string
	expressionParams
}

type writeItemOutput struct {
	Attributes Item `json:",omitempty"`
}

func (in *putItemInput) conditionalWrite() (conditionalWrite, error) {
	pk, sk, err := primaryKey(in.Item)
	if err != nil {
		return conditionalWrite{}, err
	}
	if err := checkItem(in.Item); err != nil {
		return conditionalWrite{}, err
	}
	cond, err := in.soleCondition()
	newItem := func(Item) (Item, error) { return in.Item, nil }
	return conditionalWrite{pk: pk, sk: sk, cond: cond, newItem: newItem, returnOnFailure: in.ReturnValuesOnConditionCheckFailure}, err
}

func (s *Server) putItem(_ *http.Request, in *putItemInput) (*writeItemOutput, error) {
	c, err := in.conditionalWrite()
	if err != nil {
		return nil, err
	}
	return s.applyWrite(in.TableName, c, in.ReturnValues)
}

type deleteItemInput struct {
	TableName    string
	Key          Item
	ReturnValues string
	expressionParams
}

func (in *deleteItemInput) conditionalWrite() (conditionalWrite, error) {
	pk, sk, err := exactPrimaryKey(in.Key)
	if err != nil {
		return conditionalWrite{}, err
	}
	cond, err := in.soleCondition()
	newItem := func(Item) (Item, error) { return nil, nil }
	return conditionalWrite{pk: pk, sk: sk, cond: cond, newItem: newItem, returnOnFailure: in.ReturnValuesOnConditionCheckFailure}, err
}

func (s *Server) deleteItem(_ *http.Request, in *deleteItemInput) (*writeItemOutput, error) {
	c, err := in.conditionalWrite()
	if err != nil {
		return nil, err
	}
	return s.applyWrite(in.TableName, c, in.ReturnValues)
}

func (s *Server) applyWrite(name string, c conditionalWrite, returnValues string) (*writeItemOutput, error) {
	t, err := s.lookupTable(name)
	if err != nil {
		return nil, err
	}
	old, it, err := t.apply(c)
	if err != nil {
		return nil, err
	}
	switch returnValues {
	case "ALL_OLD":
		return &writeItemOutput{old}, nil
	case "ALL_NEW":
		return &writeItemOutput{it}, nil
	case "", "NONE":
		return &writeItemOutput{}, nil
	}
	return nil, validationError("ReturnValues %s is not supported by this stand-in", returnValues)
}
