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
	t, err := s.lookupTable(in.TableName)
	if err != nil {
		return nil, err
	}
	ph, err := newPlaceholders(in.ExpressionAttributeNames, in.ExpressionAttributeValues)
	if err != nil {
		return nil, err
	}
	kr, err := in.parseKeyRange(ph)
	if err != nil {
		return nil, err
	}
	attrs, err := parseProjection(in.ProjectionExpression, ph)
	if err != nil {
		return nil, err
	}
	filter, err := in.parseFilter(ph)
	if err != nil {
		return nil, err
	}
	if err := ph.checkUsed(); err != nil {
		return nil, err
	}
	kr.asOf = readTime(r, in.ConsistentRead)
	read, more := t.query(kr)
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

func (in *queryInput) parseFilter(ph *placeholders) (*expr, error) {
	if in.FilterExpression == nil {
		return nil, nil
	}
	return parseCondition(*in.FilterExpression, ph)
}

func (in *queryInput) parseKeyRange(ph *placeholders) (keyRange, error) {
	e, err := parseCondition(in.KeyConditionExpression, ph)
	if err != nil {
		return keyRange{}, err
	}
	pk, sort, err := keyCondition(e)
	if err != nil {
		return keyRange{}, err
	}
	kr := keyRange{pk: pk, limit: in.Limit, forward: in.ScanIndexForward == nil || *in.ScanIndexForward}
	kr.match = func(sk string) bool { return sort == nil || sort.eval(Item{"sk": {S: &sk}}) }
	if in.ExclusiveStartKey != nil {
		startPK, sk, err := exactPrimaryKey(in.ExclusiveStartKey)
		if err != nil {
			return keyRange{}, err
		}
		if startPK != pk {
			return keyRange{}, validationError("The provided starting key is outside query boundaries based on provided conditions")
		}
		kr.after = &sk
	}
	return kr, nil
}

// keyCondition splits a key condition into the value of pk and the condition on
// sk. sort is nil if there is no condition on sk.
func keyCondition(e *expr) (pk string, sort *expr, err error) {
	terms := []*expr{e}
	if e.op == "and" {
		terms = e.args
	}
	var first *expr
	for _, t := range terms {
		switch {
		case isKeyTerm(t, "pk") && t.op == "=" && first == nil:
			first = t
		case isKeyTerm(t, "sk") && sort == nil:
			sort = t
		default:
			return "", nil, validationError("Query key condition not supported")
		}
	}
	if first == nil || first.args[1].val.S == nil {
		return "", nil, validationError("Query condition missed key schema element: pk")
	}
	return *first.args[1].val.S, sort, nil
}

// isKeyTerm reports whether t compares the attribute name with values only.
func isKeyTerm(t *expr, name string) bool {
	switch t.op {
	case "=", "<", "<=", ">", ">=", "between", "begins_with":
	default:
		return false
	}
	if t.args[0].attr != name {
		return false
	}
	for _, a := range t.args[1:] {
		if a.val == nil {
			return false
		}
	}
	return true
}

// parseProjection parses a list of attribute names. A nil result selects all
// attributes.
func parseProjection(s *string, ph *placeholders) ([]string, error) {
	if s == nil {
		return nil, nil
	}
	toks, err := tokenize(*s)
	if err != nil {
		return nil, err
	}
	p := &parser{toks: toks, placeholders: ph}
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
