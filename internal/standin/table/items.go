package table

import (
	"net/http"
	"time"
)

// Limits of the real service, in bytes.
const (
	maxItem = 400 << 10
	maxPK   = 2048
	maxSK   = 1024
)

// expressions are the parameters of the expressions of a request.
type expressions struct {
	ConditionExpression                 *string
	ExpressionAttributeNames            map[string]string
	ExpressionAttributeValues           Item
	ReturnValuesOnConditionCheckFailure string
}

// condition returns the parsed condition, or nil without one.
func (e *expressions) condition(n *names) (*node, error) {
	if e.ConditionExpression == nil {
		return nil, nil
	}
	return parse(*e.ConditionExpression, n)
}

// onlyCondition parses the condition of a request that has no other
// expression.
func (e *expressions) onlyCondition() (*node, error) {
	n, err := newNames(e.ExpressionAttributeNames, e.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	c, err := e.condition(n)
	if err != nil {
		return nil, err
	}
	return c, n.checkUsed()
}

// keyOf returns the primary key of it.
func keyOf(it Item) (pk, sk string, err error) {
	p, s := it["pk"], it["sk"]
	if p.S == nil || s.S == nil {
		return "", "", validation("One of the required keys was not given a value or is not a string: pk, sk")
	}
	if *p.S == "" || *s.S == "" {
		return "", "", validation("One or more parameter values are not valid. The AttributeValue for a key attribute cannot contain an empty string value")
	}
	if len(*p.S) > maxPK || len(*s.S) > maxSK {
		return "", "", validation("One or more parameter values were invalid: Size of key has exceeded the maximum size limit")
	}
	return *p.S, *s.S, nil
}

// onlyKey is keyOf for an item that must have no other attributes.
func onlyKey(it Item) (pk, sk string, err error) {
	if len(it) != 2 {
		return "", "", validation("The provided key element does not match the schema")
	}
	return keyOf(it)
}

func checkItem(it Item) error {
	for k, v := range it {
		if err := v.check(); err != nil {
			return validation("%s: %s", k, asError(err).Message)
		}
	}
	if it.size() > maxItem {
		return validation("Item size has exceeded the maximum allowed size")
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
	t, err := s.store(in.TableName)
	if err != nil {
		return nil, err
	}
	pk, sk, err := onlyKey(in.Key)
	if err != nil {
		return nil, err
	}
	n, err := newNames(in.ExpressionAttributeNames, nil)
	if err != nil {
		return nil, err
	}
	attrs, err := projection(in.ProjectionExpression, n)
	if err != nil {
		return nil, err
	}
	if err := n.checkUsed(); err != nil {
		return nil, err
	}
	return &getItemOutput{project(t.read(pk, sk, readTime(r, in.ConsistentRead)), attrs)}, nil
}

// change is a conditional write of one row.
type change struct {
	pk, sk string
	cond   *node
	next   func(old Item) (Item, error) // new item, nil to delete
	onFail string                       // ReturnValuesOnConditionCheckFailure
	check  bool                         // condition check only
}

// apply performs c alone and returns the old and the new item.
func (s *store) apply(c change) (old, it Item, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old = s.current(c.pk, c.sk)
	if c.cond != nil && !c.cond.eval(old) {
		e := newError("ConditionalCheckFailedException", conditionFailed)
		if c.onFail == "ALL_OLD" {
			e.Item = old
		}
		return nil, nil, e
	}
	it, err = c.next(old)
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
	expressions
}

type writeItemOutput struct {
	Attributes Item `json:",omitempty"`
}

func (in *putItemInput) change() (change, error) {
	pk, sk, err := keyOf(in.Item)
	if err != nil {
		return change{}, err
	}
	if err := checkItem(in.Item); err != nil {
		return change{}, err
	}
	cond, err := in.onlyCondition()
	next := func(Item) (Item, error) { return in.Item, nil }
	return change{pk: pk, sk: sk, cond: cond, next: next, onFail: in.ReturnValuesOnConditionCheckFailure}, err
}

func (s *Server) putItem(_ *http.Request, in *putItemInput) (*writeItemOutput, error) {
	c, err := in.change()
	if err != nil {
		return nil, err
	}
	return s.write(in.TableName, c, in.ReturnValues)
}

type deleteItemInput struct {
	TableName    string
	Key          Item
	ReturnValues string
	expressions
}

func (in *deleteItemInput) change() (change, error) {
	pk, sk, err := onlyKey(in.Key)
	if err != nil {
		return change{}, err
	}
	cond, err := in.onlyCondition()
	next := func(Item) (Item, error) { return nil, nil }
	return change{pk: pk, sk: sk, cond: cond, next: next, onFail: in.ReturnValuesOnConditionCheckFailure}, err
}

func (s *Server) deleteItem(_ *http.Request, in *deleteItemInput) (*writeItemOutput, error) {
	c, err := in.change()
	if err != nil {
		return nil, err
	}
	return s.write(in.TableName, c, in.ReturnValues)
}

func (s *Server) write(name string, c change, ret string) (*writeItemOutput, error) {
	t, err := s.store(name)
	if err != nil {
		return nil, err
	}
	old, it, err := t.apply(c)
	if err != nil {
		return nil, err
	}
	switch ret {
	case "ALL_OLD":
		return &writeItemOutput{old}, nil
	case "ALL_NEW":
		return &writeItemOutput{it}, nil
	case "", "NONE":
		return &writeItemOutput{}, nil
	}
	return nil, validation("ReturnValues %s is not supported by this stand-in", ret)
}
