package table

import (
	"strings"
)

// names resolves the placeholders of the expressions of one request and
// records which were used.
type names struct {
	attrs  map[string]string // ExpressionAttributeNames
	values Item              // ExpressionAttributeValues
	used   map[string]bool
}

func newNames(attrs map[string]string, values Item) (*names, error) {
	for k, v := range values {
		if err := v.check(); err != nil {
			return nil, validation("ExpressionAttributeValues contains invalid value: %s for key %s", asError(err).Message, k)
		}
	}
	return &names{attrs: attrs, values: values, used: make(map[string]bool)}, nil
}

// checkUsed returns an error if a placeholder was given and not used, which
// the real service refuses.
func (n *names) checkUsed() error {
	for k := range n.attrs {
		if !n.used[k] {
			return validation("Value provided in ExpressionAttributeNames unused in expressions: keys: {%s}", k)
		}
	}
	for k := range n.values {
		if !n.used[k] {
			return validation("Value provided in ExpressionAttributeValues unused in expressions: keys: {%s}", k)
		}
	}
	return nil
}

// node is one node of a parsed expression.
type node struct {
	op   string // "and", "or", "not", a comparator, a function, "in" or "between"
	args []*node
	path string // attribute name of an operand
	val  *Value // value of an operand
}

type parser struct {
	toks []string
	pos  int
	n    *names
}

// parse parses a condition.
func parse(s string, n *names) (*node, error) {
	toks, err := lex(s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, n: n}
	e, err := p.or()
	if err != nil {
		return nil, err
	}
	if p.pos < len(p.toks) {
		return nil, p.fail()
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

// keyword reports whether the next token is the keyword w, in any case, and
// consumes it if so.
func (p *parser) keyword(w string) bool {
	if strings.EqualFold(p.peek(), w) {
		p.pos++
		return true
	}
	return false
}

func (p *parser) expect(t string) error {
	if p.peek() != t {
		return p.fail()
	}
	p.pos++
	return nil
}

func (p *parser) fail() error {
	near := "<EOF>"
	if p.pos < len(p.toks) {
		near = p.toks[p.pos]
	}
	return validation("Invalid expression: Syntax error; token: %q, near: %q", near, strings.Join(p.toks[max(0, min(p.pos, len(p.toks))-1):], " "))
}

func (p *parser) or() (*node, error) {
	l, err := p.and()
	for err == nil && p.keyword("or") {
		var r *node
		if r, err = p.and(); err == nil {
			l = &node{op: "or", args: []*node{l, r}}
		}
	}
	return l, err
}

func (p *parser) and() (*node, error) {
	l, err := p.not()
	for err == nil && p.keyword("and") {
		var r *node
		if r, err = p.not(); err == nil {
			l = &node{op: "and", args: []*node{l, r}}
		}
	}
	return l, err
}

func (p *parser) not() (*node, error) {
	if p.keyword("not") {
		e, err := p.not()
		return &node{op: "not", args: []*node{e}}, err
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

// predicates maps the functions that are conditions to their argument count.
var predicates = map[string]int{"attribute_exists": 1, "attribute_not_exists": 1, "begins_with": 2, "contains": 2}

func (p *parser) comparison() (*node, error) {
	if k, ok := predicates[p.peek()]; ok {
		return p.call(p.next(), k)
	}
	l, err := p.operand()
	if err != nil {
		return nil, err
	}
	switch op := p.peek(); {
	case op == "=" || op == "<>" || op == "<" || op == "<=" || op == ">" || op == ">=":
		p.pos++
		r, err := p.operand()
		return &node{op: op, args: []*node{l, r}}, err
	case p.keyword("between"):
		lo, err := p.operand()
		if err != nil {
			return nil, err
		}
		if !p.keyword("and") {
			return nil, p.fail()
		}
		hi, err := p.operand()
		return &node{op: "between", args: []*node{l, lo, hi}}, err
	case p.keyword("in"):
		list, err := p.list()
		return &node{op: "in", args: append([]*node{l}, list...)}, err
	}
	return nil, p.fail()
}

func (p *parser) call(name string, count int) (*node, error) {
	args, err := p.list()
	if err != nil {
		return nil, err
	}
	if len(args) != count {
		return nil, validation("Invalid expression: Incorrect number of operands for operator or function; operator or function: %s, number of operands: %d", name, len(args))
	}
	if args[0].path == "" {
		return nil, validation("Invalid expression: Operator or function requires a document path; operator or function: %s", name)
	}
	return &node{op: name, args: args}, nil
}

func (p *parser) list() ([]*node, error) {
	if err := p.expect("("); err != nil {
		return nil, err
	}
	var args []*node
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

// operand parses a value placeholder, an attribute or size(attribute).
func (p *parser) operand() (*node, error) {
	if p.peek() == "size" && p.pos+1 < len(p.toks) && p.toks[p.pos+1] == "(" {
		p.pos++
		return p.call("size", 1)
	}
	if strings.HasPrefix(p.peek(), ":") {
		v, err := p.value()
		return &node{val: &v}, err
	}
	name, err := p.attribute()
	return &node{path: name}, err
}

func (p *parser) value() (Value, error) {
	t := p.next()
	v, ok := p.n.values[t]
	if !ok {
		return Value{}, validation("Invalid expression: An expression attribute value used in expression is not defined; attribute value: %s", t)
	}
	p.n.used[t] = true
	return v, nil
}

// attribute parses the name of a top-level attribute.
func (p *parser) attribute() (string, error) {
	t := p.peek()
	if t == "" || strings.Contains("=<>(),+-.[]<>=", t) || strings.HasPrefix(t, ":") {
		return "", p.fail()
	}
	p.pos++
	if p.peek() == "." || p.peek() == "[" {
		return "", validation("Invalid expression: document paths below the top level are not supported by this stand-in")
	}
	if !strings.HasPrefix(t, "#") {
		if reserved[strings.ToUpper(t)] {
			return "", validation("Invalid expression: Attribute name is a reserved keyword; reserved keyword: %s", t)
		}
		return t, nil
	}
	name, ok := p.n.attrs[t]
	if !ok {
		return "", validation("Invalid expression: An expression attribute name used in the document path is not defined; attribute name: %s", t)
	}
	p.n.used[t] = true
	return name, nil
}
