package table

import (
	"bytes"
	"slices"
	"strconv"
	"strings"
)

// value returns the value of operand e for it; ok is false if it has none.
func (e *node) value(it Item) (v Value, ok bool) {
	switch {
	case e.val != nil:
		return *e.val, true
	case e.op == "size":
		a, ok := it[e.args[0].path]
		if !ok {
			return Value{}, false
		}
		n := strconv.Itoa(a.size())
		return Value{N: &n}, true
	}
	v, ok = it[e.path]
	return v, ok
}

// eval returns whether it satisfies e. A nil item has no attributes, and a
// comparison with a missing attribute is false, except for <>.
func (e *node) eval(it Item) bool {
	switch e.op {
	case "and":
		return e.args[0].eval(it) && e.args[1].eval(it)
	case "or":
		return e.args[0].eval(it) || e.args[1].eval(it)
	case "not":
		return !e.args[0].eval(it)
	case "attribute_exists", "attribute_not_exists":
		_, ok := it[e.args[0].path]
		return ok == (e.op == "attribute_exists")
	case "begins_with", "contains":
		return e.text(it)
	case "between":
		return ordered(">=", e.args[0], e.args[1], it) && ordered("<=", e.args[0], e.args[2], it)
	case "in":
		return slices.ContainsFunc(e.args[1:], func(a *node) bool { return ordered("=", e.args[0], a, it) })
	}
	return ordered(e.op, e.args[0], e.args[1], it)
}

func (e *node) text(it Item) bool {
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

func ordered(op string, l, r *node, it Item) bool {
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
