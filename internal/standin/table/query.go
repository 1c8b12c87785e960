package table

import (
	"net/http"
)

type queryInput struct {
	TableName                 string
	KeyConditionExpression    string
	FilterExpression          *string
	ProjectionExpression      *string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues Item
	ConsistentRead            bool
	ScanIndexForward          *bool
	ExclusiveStartKey         Item
	Limit                     int
	Select                    string
}

type queryOutput struct {
	Items            []Item
	Count            int
	ScannedCount     int
	LastEvaluatedKey Item `json:",omitempty"`
}

func (s *Server) query(r *http.Request, in *queryInput) (*queryOutput, error) {
	t, err := s.store(in.TableName)
	if err != nil {
		return nil, err
	}
	n, err := newNames(in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	q, err := in.page(n)
	if err != nil {
		return nil, err
	}
	attrs, err := projection(in.ProjectionExpression, n)
	if err != nil {
		return nil, err
	}
	filter, err := in.filter(n)
	if err != nil {
		return nil, err
	}
	if err := n.checkUsed(); err != nil {
		return nil, err
	}
	q.at = readTime(r, in.ConsistentRead)
	read, more := t.query(q)
	out := &queryOutput{Items: []Item{}, ScannedCount: len(read)}
	for _, it := range read {
		if filter != nil && !filter.eval(it) {
			continue
		}
		out.Count++
		if in.Select != "COUNT" {
			out.Items = append(out.Items, project(it, attrs))
		}
	}
	if more {
		last := read[len(read)-1]
		out.LastEvaluatedKey = Item{"pk": last["pk"], "sk": last["sk"]}
	}
	return out, nil
}

func (in *queryInput) filter(n *names) (*node, error) {
	if in.FilterExpression == nil {
		return nil, nil
	}
	return parse(*in.FilterExpression, n)
}

func (in *queryInput) page(n *names) (page, error) {
	e, err := parse(in.KeyConditionExpression, n)
	if err != nil {
		return page{}, err
	}
	pk, sort, err := keyCondition(e)
	if err != nil {
		return page{}, err
	}
	q := page{pk: pk, limit: in.Limit, forward: in.ScanIndexForward == nil || *in.ScanIndexForward}
	q.match = func(sk string) bool { return sort == nil || sort.eval(Item{"sk": {S: &sk}}) }
	if in.ExclusiveStartKey != nil {
		startPK, sk, err := onlyKey(in.ExclusiveStartKey)
		if err != nil {
			return page{}, err
		}
		if startPK != pk {
			return page{}, validation("The provided starting key is outside query boundaries based on provided conditions")
		}
		q.after = &sk
	}
	return q, nil
}

// keyCondition splits a key condition into the value of pk and the condition
// on sk, which is nil without one.
func keyCondition(e *node) (pk string, sort *node, err error) {
	terms := []*node{e}
	if e.op == "and" {
		terms = e.args
	}
	var first *node
	for _, t := range terms {
		switch {
		case isKeyTerm(t, "pk") && t.op == "=" && first == nil:
			first = t
		case isKeyTerm(t, "sk") && sort == nil:
			sort = t
		default:
			return "", nil, validation("Query key condition not supported")
		}
	}
	if first == nil || first.args[1].val.S == nil {
		return "", nil, validation("Query condition missed key schema element: pk")
	}
	return *first.args[1].val.S, sort, nil
}

// isKeyTerm reports whether t compares attribute name with values.
func isKeyTerm(t *node, name string) bool {
	switch t.op {
	case "=", "<", "<=", ">", ">=", "between", "begins_with":
	default:
		return false
	}
	if t.args[0].path != name {
		return false
	}
	for _, a := range t.args[1:] {
		if a.val == nil {
			return false
		}
	}
	return true
}

// projection parses a list of attribute names; nil selects all.
func projection(s *string, n *names) ([]string, error) {
	if s == nil {
		return nil, nil
	}
	toks, err := lex(*s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, n: n}
	var attrs []string
	for {
		a, err := p.attribute()
		if err != nil {
			return nil, err
		}
		attrs = append(attrs, a)
		if p.peek() == "" {
			return attrs, nil
		}
		if err := p.expect(","); err != nil {
			return nil, err
		}
	}
}

func project(it Item, attrs []string) Item {
	if attrs == nil || it == nil {
		return it
	}
	out := make(Item, len(attrs))
	for _, a := range attrs {
		if v, ok := it[a]; ok {
			out[a] = v
		}
	}
	return out
}
