package table

import (
	"bytes"
	"encoding/json"
	"math/big"
	"reflect"
	"slices"
	"strings"
)

// Value is an attribute value in its JSON form. Exactly one field is set.
type Value struct {
	S    *string           `json:"S,omitempty"`
	N    *string           `json:"N,omitempty"`
	B    *[]byte           `json:"B,omitempty"`
	BOOL *bool             `json:"BOOL,omitempty"`
	NULL *bool             `json:"NULL,omitempty"`
	M    *map[string]Value `json:"M,omitempty"`
	L    *[]Value          `json:"L,omitempty"`
	SS   *[]string         `json:"SS,omitempty"`
	NS   *[]string         `json:"NS,omitempty"`
	BS   *[][]byte         `json:"BS,omitempty"`
}

// Item is one row.
type Item map[string]Value

// check returns an error unless v has exactly one type and, if it is a number, a
// valid one.
func (v Value) check() error {
	n := 0
	for _, set := range []bool{v.S != nil, v.N != nil, v.B != nil, v.BOOL != nil, v.NULL != nil,
		v.M != nil, v.L != nil, v.SS != nil, v.NS != nil, v.BS != nil} {
		if set {
			n++
		}
	}
	if n != 1 {
		return validationError("Supplied AttributeValue has %d datatypes set, must contain exactly one of the supported datatypes", n)
	}
	if v.N != nil {
		if _, ok := parseNumber(*v.N); !ok {
			return validationError("The parameter cannot be converted to a numeric value: %s", *v.N)
		}
	}
	return nil
}

func parseNumber(s string) (*big.Rat, bool) {
	if strings.ContainsAny(s, "/xX_") {
		return nil, false
	}
	return new(big.Rat).SetString(s)
}

// equal reports whether a and b have the same type and value.
func equal(a, b Value) bool {
	if a.N != nil && b.N != nil {
		c, ok := compare(a, b)
		return ok && c == 0
	}
	if a.SS != nil && b.SS != nil {
		return slices.Equal(slices.Sorted(slices.Values(*a.SS)), slices.Sorted(slices.Values(*b.SS)))
	}
	return reflect.DeepEqual(a, b)
}

// compare orders two strings, numbers or binary values; ok is false for other
// types and for values of different types.
func compare(a, b Value) (c int, ok bool) {
	switch {
	case a.S != nil && b.S != nil:
		return strings.Compare(*a.S, *b.S), true
	case a.B != nil && b.B != nil:
		return bytes.Compare(*a.B, *b.B), true
	case a.N != nil && b.N != nil:
		x, okx := parseNumber(*a.N)
		y, oky := parseNumber(*b.N)
		if !okx || !oky {
			return 0, false
		}
		return x.Cmp(y), true
	}
	return 0, false
}

// size returns the approximate stored size of the item in bytes.
func (it Item) size() int {
	n := 0
	for k, v := range it {
		n += len(k) + v.size()
	}
	return n
}

func (v Value) size() int {
	switch {
	case v.S != nil:
		return len(*v.S)
	case v.N != nil:
		return len(*v.N)/2 + 1
	case v.B != nil:
		return len(*v.B)
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	return len(b)
}
