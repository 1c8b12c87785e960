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
	expressionParams
}

// assignment computes one attribute of the updated item from the old item. A
// nil value removes the attribute.
type assignment struct {
	name  string
	value func(old Item) (*Value, error)
}

func (in *updateItemInput) conditionalWrite() (conditionalWrite, error) {
	pk, sk, err := exactPrimaryKey(in.Key)
	if err != nil {
		return conditionalWrite{}, err
	}
	ph, err := newPlaceholders(in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return conditionalWrite{}, err
	}
	cond, err := in.condition(ph)
	if err != nil {
		return conditionalWrite{}, err
	}
	assigns, err := parseUpdate(in.UpdateExpression, ph)
	if err != nil {
		return conditionalWrite{}, err
	}
	if err := ph.checkUsed(); err != nil {
		return conditionalWrite{}, err
	}
	newItem := func(old Item) (Item, error) { return applyUpdate(in.Key, old, assigns) }
	return conditionalWrite{pk: pk, sk: sk, cond: cond, newItem: newItem, returnOnFailure: in.ReturnValuesOnConditionCheckFailure}, nil
}

func (s *Server) updateItem(_ *http.Request, in *updateItemInput) (*writeItemOutput, error) {
	c, err := in.conditionalWrite()
	if err != nil {
		return nil, err
	}
	return s.applyWrite(in.TableName, c, in.ReturnValues)
}

func applyUpdate(key, old Item, assigns []assignment) (Item, error) {
	it := maps.Clone(key)
	maps.Copy(it, old)
	for _, a := range assigns {
		v, err := a.value(old)
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

// parseUpdate parses the SET and REMOVE clauses of an update expression.
func parseUpdate(s *string, ph *placeholders) ([]assignment, error) {
	if s == nil {
		return nil, nil
	}
	toks, err := tokenize(*s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, placeholders: ph}
	var assigns []assignment
	for p.peek() != "" {
		var parse func() (assignment, error)
		switch {
		case p.keyword("set"):
			parse = p.set
		case p.keyword("remove"):
			parse = p.remove
		default:
			return nil, p.syntaxError()
		}
		for more := true; more; more = p.keyword(",") {
			a, err := parse()
			if err != nil {
				return nil, err
			}
			if a.name == "pk" || a.name == "sk" {
				return nil, validationError("Cannot update attribute %s. This attribute is part of the key", a.name)
			}
			assigns = append(assigns, a)
		}
	}
	return assigns, nil
}

func (p *parser) remove() (assignment, error) {
	name, err := p.attribute()
	return assignment{name, func(Item) (*Value, error) { return nil, nil }}, err
}

// set parses name = operand, optionally followed by + operand or - operand.
func (p *parser) set() (assignment, error) {
	name, err := p.attribute()
	if err != nil {
		return assignment{}, err
	}
	if err := p.expect("="); err != nil {
		return assignment{}, err
	}
	l, err := p.updateOperand()
	if err != nil {
		return assignment{}, err
	}
	sign := p.peek()
	if sign != "+" && sign != "-" {
		return assignment{name, l}, nil
	}
	p.pos++
	r, err := p.updateOperand()
	sum := func(old Item) (*Value, error) { return addNumbers(old, l, r, sign == "-") }
	return assignment{name, sum}, err
}

type valueFunc = func(old Item) (*Value, error)

// updateOperand parses an operand or if_not_exists(name, operand).
func (p *parser) updateOperand() (valueFunc, error) {
	if !strings.EqualFold(p.peek(), "if_not_exists") {
		o, err := p.operand()
		return o.requiredValue, err
	}
	p.pos++
	args, err := p.list()
	if err != nil {
		return nil, err
	}
	if len(args) != 2 || args[0].attr == "" {
		return nil, p.syntaxError()
	}
	return func(old Item) (*Value, error) {
		if v, ok := old[args[0].attr]; ok {
			return &v, nil
		}
		return args[1].requiredValue(old)
	}, nil
}

// requiredValue returns the value of operand e, or an error if old has none.
func (e *expr) requiredValue(old Item) (*Value, error) {
	v, ok := e.value(old)
	if !ok {
		return nil, validationError("The provided expression refers to an attribute that does not exist in the item")
	}
	return &v, nil
}

func addNumbers(old Item, l, r valueFunc, subtract bool) (*Value, error) {
	a, err := l(old)
	if err != nil {
		return nil, err
	}
	b, err := r(old)
	if err != nil {
		return nil, err
	}
	if a.N == nil || b.N == nil {
		return nil, validationError("An operand in the update expression has an incorrect data type")
	}
	x, _ := parseNumber(*a.N)
	y, _ := parseNumber(*b.N)
	if subtract {
		y = new(big.Rat).Neg(y)
	}
	// Numbers have up to 38 significant digits.
	s := new(big.Rat).Add(x, y).FloatString(38)
	s = strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
	return &Value{N: &s}, nil
}
