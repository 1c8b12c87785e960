package table

import (
	"strings"
)

// placeholders resolves the placeholders of the expressions of one request and
// records which are used.
type placeholders struct {
	names  map[string]string // ExpressionAttributeNames
	values Item              // ExpressionAttributeValues
	used   map[string]bool
}

func newPlaceholders(names map[string]string, values Item) (*placeholders, error) {
	for k, v := range values {
		if err := v.check(); err != nil {
			return nil, validationError("ExpressionAttributeValues contains invalid value: %s for key %s", toAPIError(err).Message, k)
		}
	}
	return &placeholders{names: names, values: values, used: make(map[string]bool)}, nil
}

// checkUsed returns an error if a placeholder is defined but not used, which the
// real service refuses.
func (ph *placeholders) checkUsed() error {
	for k := range ph.names {
		if !ph.used[k] {
			return validationError("Value provided in ExpressionAttributeNames unused in expressions: keys: {%s}", k)
		}
	}
	for k := range ph.values {
		if !ph.used[k] {
			return validationError("Value provided in ExpressionAttributeValues unused in expressions: keys: {%s}", k)
		}
	}
	return nil
}

// expr is a node of the syntax tree of an expression.
type expr struct {
	op   string // "and", "or", "not", a comparator, a function, "in" or "between"
	args []*expr
	attr string // attribute name of an operand
	val  *Value // value of an operand
}

type parser struct {
	toks         []string
	pos          int
	placeholders *placeholders
}

// parseCondition parses a condition expression.
func parseCondition(s string, ph *placeholders) (*expr, error) {
	toks, err := tokenize(s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, placeholders: ph}
	e, err := p.or()
	if err != nil {
		return nil, err
	}
	if p.pos < len(p.toks) {
		return nil, p.syntaxError()
	}
	return e, nil
}

func (p *parser) peek() string {
	if p.pos < len(p.toks) {
		return p.toks[p.pos]
	}
	return ""
}

func (p *parser) next() string {
	t := p.peek()
	p.pos++
	return t
}

// keyword consumes the next token if it is the keyword w, ignoring case, and
// reports whether it did.
func (p *parser) keyword(w string) bool {
	if strings.EqualFold(p.peek(), w) {
		p.pos++
		return true
	}
	return false
}

func (p *parser) expect(t string) error {
	if p.peek() != t {
		return p.syntaxError()
	}
	p.pos++
	return nil
}

func (p *parser) syntaxError() error {
	near := "<EOF>"
	if p.pos < len(p.toks) {
		near = p.toks[p.pos]
	}
	return validationError("Invalid expression: Syntax error; token: %q, near: %q", near, strings.Join(p.toks[max(0, min(p.pos, len(p.toks))-1):], " "))
}

func (p *parser) or() (*expr, error) {
	l, err := p.and()
	for err == nil && p.keyword("or") {
		var r *expr
		if r, err = p.and(); err == nil {
			l = &expr{op: "or", args: []*expr{l, r}}
		}
	}
	return l, err
}

func (p *parser) and() (*expr, error) {
	l, err := p.not()
	for err == nil && p.keyword("and") {
		var r *expr
		if r, err = p.not(); err == nil {
			l = &expr{op: "and", args: []*expr{l, r}}
		}
	}
	return l, err
}

func (p *parser) not() (*expr, error) {
	if p.keyword("not") {
		e, err := p.not()
		return &expr{op: "not", args: []*expr{e}}, err
	}
	if p.peek() == "(" {
		p.pos++
		e, err := p.or()
		if err != nil {
			return nil, err
		}
		return e, p.expect(")")
	}
	return p.comparison()
}

// conditionFuncs maps the names of the functions that are conditions to their
// number of arguments.
var conditionFuncs = map[string]int{"attribute_exists": 1, "attribute_not_exists": 1, "begins_with": 2, "contains": 2}

func (p *parser) comparison() (*expr, error) {
	if argCount, ok := conditionFuncs[p.peek()]; ok {
		return p.functionCall(p.next(), argCount)
	}
	l, err := p.operand()
	if err != nil {
		return nil, err
	}
	switch op := p.peek(); {
	case op == "=" || op == "<>" || op == "<" || op == "<=" || op == ">" || op == ">=":
		p.pos++
		r, err := p.operand()
		return &expr{op: op, args: []*expr{l, r}}, err
	case p.keyword("between"):
		lo, err := p.operand()
		if err != nil {
			return nil, err
		}
		if !p.keyword("and") {
			return nil, p.syntaxError()
		}
		hi, err := p.operand()
		return &expr{op: "between", args: []*expr{l, lo, hi}}, err
	case p.keyword("in"):
		list, err := p.list()
		return &expr{op: "in", args: append([]*expr{l}, list...)}, err
	}
	return nil, p.syntaxError()
}

func (p *parser) functionCall(name string, argCount int) (*expr, error) {
	args, err := p.list()
	if err != nil {
		return nil, err
	}
	if len(args) != argCount {
		return nil, validationError("Invalid expression: Incorrect number of operands for operator or function; operator or function: %s, number of operands: %d", name, len(args))
	}
	if args[0].attr == "" {
		return nil, validationError("Invalid expression: Operator or function requires a document path; operator or function: %s", name)
	}
	return &expr{op: name, args: args}, nil
}

func (p *parser) list() ([]*expr, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	var args []*expr
	for {
		a, err := p.operand()
		if err != nil {
			return nil, err
		}
		args = append(args, a)
		if p.peek() != "," {
			return args, p.expect(")")
		}
		p.pos++
	}
}

// operand parses a value placeholder, an attribute name or size(attribute).
func (p *parser) operand() (*expr, error) {
	if p.peek() == "size" && p.pos+1 < len(p.toks) && p.toks[p.pos+1] == "(" {
		p.pos++
		return p.functionCall("size", 1)
	}
	if strings.HasPrefix(p.peek(), ":") {
		v, err := p.value()
		return &expr{val: &v}, err
	}
	name, err := p.attribute()
	return &expr{attr: name}, err
}

func (p *parser) value() (Value, error) {
	t := p.next()
	v, ok := p.placeholders.values[t]
	if !ok {
		return Value{}, validationError("Invalid expression: An expression attribute value used in expression is not defined; attribute value: %s", t)
	}
	p.placeholders.used[t] = true
	return v, nil
}

// attribute parses the name of a top-level attribute.
func (p *parser) attribute() (string, error) {
	t := p.peek()
	if t == "" || strings.Contains("=<>(),+-.[]<>=", t) || strings.HasPrefix(t, ":") {
		return "", p.syntaxError()
	}
	p.pos++
	if p.peek() == "." || p.peek() == "[" {
		return "", validationError("Invalid expression: document paths below the top level are not supported by this stand-in")
	}
	if !strings.HasPrefix(t, "#") {
		if reserved[strings.ToUpper(t)] {
			return "", validationError("Invalid expression: Attribute name is a reserved keyword; reserved keyword: %s", t)
		}
		return t, nil
	}
	name, ok := p.placeholders.names[t]
	if !ok {
		return "", validationError("Invalid expression: An expression attribute name used in the document path is not defined; attribute name: %s", t)
	}
	p.placeholders.used[t] = true
	return name, nil
}
