package table

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

// value returns the value of operand e for the item it; ok is false if it has
// none.
func (e *expr) value(it Item) (v Value, ok bool) {
	switch {
	case e.val != nil:
		return *e.val, true
	case e.op == "size":
		a, ok := it[e.args[0].attr]
		if !ok {
			return Value{}, false
		}
		n := strconv.Itoa(a.size())
		return Value{N: &n}, true
	}
	v, ok = it[e.attr]
	return v, ok
}

// eval reports whether the item it satisfies e. A nil item has no attributes. A
// comparison with a missing attribute is false, except for <>.
func (e *expr) eval(it Item) bool {
	switch e.op {
	case "and":
		return e.args[0].eval(it) && e.args[1].eval(it)
	case "or":
		return e.args[0].eval(it) || e.args[1].eval(it)
	case "not":
		return !e.args[0].eval(it)
	case "attribute_exists", "attribute_not_exists":
		_, ok := it[e.args[0].attr]
		return ok == (e.op == "attribute_exists")
	case "begins_with", "contains":
		return e.evalStringFunc(it)
	case "between":
		return evalComparison(">=", e.args[0], e.args[1], it) && evalComparison("<=", e.args[0], e.args[2], it)
	case "in":
		return slices.ContainsFunc(e.args[1:], func(a *expr) bool { return evalComparison("=", e.args[0], a, it) })
	}
	return evalComparison(e.op, e.args[0], e.args[1], it)
}

// evalStringFunc evaluates begins_with and contains.
func (e *expr) evalStringFunc(it Item) bool {
	a, oka := e.args[0].value(it)
	b, okb := e.args[1].value(it)
	switch {
	case !oka || !okb:
		return false
	case e.op == "begins_with" && a.S != nil && b.S != nil:
		return strings.HasPrefix(*a.S, *b.S)
	case e.op == "begins_with" && a.B != nil && b.B != nil:
		return bytes.HasPrefix(*a.B, *b.B)
	case e.op == "contains" && a.S != nil && b.S != nil:
		return strings.Contains(*a.S, *b.S)
	case e.op == "contains" && a.SS != nil && b.S != nil:
		return slices.Contains(*a.SS, *b.S)
	}
	return false
}

// evalComparison evaluates a comparison operator.
func evalComparison(op string, l, r *expr, it Item) bool {
	a, oka := l.value(it)
	b, okb := r.value(it)
	if op == "<>" {
		return !oka || !okb || !equal(a, b)
	}
	if !oka || !okb {
		return false
	}
	if op == "=" {
		return equal(a, b)
	}
	c, ok := compare(a, b)
	if !ok {
		return false
	}
	switch op {
	case "<":
		return c < 0
	case "<=":
		return c <= 0
	case ">":
		return c > 0
	case ">=":
		return c >= 0
	}
	return false
}
