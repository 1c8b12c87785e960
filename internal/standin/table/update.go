package table

import (
	"maps"
	"math/big"
	"net/http"
	"strings"
)

type updateItemInput struct {
	TableName        string
	Key              Item
	UpdateExpression *string
	ReturnValues     string
	expressions
}

// assignment computes one attribute of the updated item from the old item. It
// returns nil to remove the attribute.
type assignment struct {
	name string
	term func(old Item) (*Value, error)
}

func (in *updateItemInput) change() (change, error) {
	pk, sk, err := onlyKey(in.Key)
	if err != nil {
		return change{}, err
	}
	n, err := newNames(in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return change{}, err
	}
	cond, err := in.condition(n)
	if err != nil {
		return change{}, err
	}
	as, err := assignments(in.UpdateExpression, n)
	if err != nil {
		return change{}, err
	}
	if err := n.checkUsed(); err != nil {
		return change{}, err
	}
	next := func(old Item) (Item, error) { return update(in.Key, old, as) }
	return change{pk: pk, sk: sk, cond: cond, next: next, onFail: in.ReturnValuesOnConditionCheckFailure}, nil
}

func (s *Server) updateItem(_ *http.Request, in *updateItemInput) (*writeItemOutput, error) {
	c, err := in.change()
	if err != nil {
		return nil, err
	}
	return s.write(in.TableName, c, in.ReturnValues)
}

func update(key, old Item, as []assignment) (Item, error) {
	it := maps.Clone(key)
	maps.Copy(it, old)
	for _, a := range as {
		v, err := a.term(old)
		if err != nil {
			return nil, err
		}
		if v == nil {
			delete(it, a.name)
			continue
		}
		it[a.name] = *v
	}
	return it, checkItem(it)
}

// assignments parses the SET and REMOVE clauses of an update expression.
func assignments(s *string, n *names) ([]assignment, error) {
	if s == nil {
		return nil, nil
	}
	toks, err := lex(*s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, n: n}
	var as []assignment
	for p.peek() != "" {
		var parse func() (assignment, error)
		switch {
		case p.keyword("set"):
			parse = p.set
		case p.keyword("remove"):
			parse = p.remove
		default:
			return nil, p.fail()
		}
		for more := true; more; more = p.keyword(",") {
			a, err := parse()
			if err != nil {
				return nil, err
			}
			if a.name == "pk" || a.name == "sk" {
				return nil, validation("Cannot update attribute %s. This attribute is part of the key", a.name)
			}
			as = append(as, a)
		}
	}
	return as, nil
}

func (p *parser) remove() (assignment, error) {
	name, err := p.attribute()
	return assignment{name, func(Item) (*Value, error) { return nil, nil }}, err
}

// set parses name = term, name = term + term or name = term - term.
func (p *parser) set() (assignment, error) {
	name, err := p.attribute()
	if err != nil {
		return assignment{}, err
	}
	if err := p.expect("="); err != nil {
		return assignment{}, err
	}
	l, err := p.term()
	if err != nil {
		return assignment{}, err
	}
	sign := p.peek()
	if sign != "+" && sign != "-" {
		return assignment{name, l}, nil
	}
	p.pos++
	r, err := p.term()
	sum := func(old Item) (*Value, error) { return add(old, l, r, sign == "-") }
	return assignment{name, sum}, err
}

type term = func(old Item) (*Value, error)

// term parses an operand or if_not_exists(name, operand).
func (p *parser) term() (term, error) {
	if !strings.EqualFold(p.peek(), "if_not_exists") {
		o, err := p.operand()
		return o.required, err
	}
	p.pos++
	args, err := p.list()
	if err != nil {
		return nil, err
	}
	if len(args) != 2 || args[0].path == "" {
		return nil, p.fail()
	}
	return func(old Item) (*Value, error) {
		if v, ok := old[args[0].path]; ok {
			return &v, nil
		}
		return args[1].required(old)
	}, nil
}

func (e *node) required(old Item) (*Value, error) {
	v, ok := e.value(old)
	if !ok {
		return nil, validation("The provided expression refers to an attribute that does not exist in the item")
	}
	return &v, nil
}

func add(old Item, l, r term, negate bool) (*Value, error) {
	a, err := l(old)
	if err != nil {
		return nil, err
	}
	b, err := r(old)
	if err != nil {
		return nil, err
	}
	if a.N == nil || b.N == nil {
		return nil, validation("An operand in the update expression has an incorrect data type")
	}
	x, _ := number(*a.N)
	y, _ := number(*b.N)
	if negate {
		y = new(big.Rat).Neg(y)
	}
	// Numbers have up to 38 significant digits.
	s := new(big.Rat).Add(x, y).FloatString(38)
	s = strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
	return &Value{N: &s}, nil
}
