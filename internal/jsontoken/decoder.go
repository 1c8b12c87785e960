package jsontoken

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
)

var errNotObject = errors.New("want an object")

// Decoder reads the tokens of one document. After the first error of the document, which
// Err returns, it reads no more.
type Decoder struct {
	dec   *json.Decoder
	depth int // objects and lists that were begun and have not ended
	err   error
}

// NewDecoder returns a Decoder of the document b.
func NewDecoder(b []byte) *Decoder {
	d := &Decoder{dec: json.NewDecoder(bytes.NewReader(b))}
	d.dec.UseNumber()
	return d
}

// Err returns why the document cannot be read to its end, or nil.
func (d *Decoder) Err() error { return d.err }

// Document decodes the document, which is one object, as Object does. Its error is that
// of the document and of the fields.
func (d *Decoder) Document(field func(name string, v json.Token) error) error {
	t := d.next()
	if d.err != nil {
		return d.err
	}
	if t != json.Delim('{') {
		return errNotObject
	}
	invalid := d.Object(t, field)
	if d.err == nil && d.dec.More() {
		d.err = errors.New("data after the end of the object")
	}
	return errors.Join(d.err, invalid)
}

// Object calls field with the name and the first token of each field of the object that
// begins with t. What field does not read of a list or an object is skipped. Object
// returns the errors of all fields, or an error if t begins no object.
func (d *Decoder) Object(t json.Token, field func(name string, v json.Token) error) error {
	if t != json.Delim('{') {
		return errNotObject
	}
	var invalid error
	depth := d.depth
	for d.more() {
		name := d.next()
		v := d.next()
		if d.err != nil {
			break
		}
		if err := field(name.(string), v); err != nil {
			invalid = errors.Join(invalid, fmt.Errorf("field %s: %w", name, err))
		}
		d.skipTo(depth)
	}
	d.next()
	return invalid
}

// List calls element with the first token of each element of the list that begins with t.
// What element does not read of a list or an object is skipped. List returns an error if t
// begins no list.
func (d *Decoder) List(t json.Token, element func(v json.Token)) error {
	if t != json.Delim('[') {
		return fmt.Errorf("%v is not a list", t)
	}
	depth := d.depth
	for d.more() {
		v := d.next()
		if d.err != nil {
			break
		}
		element(v)
		d.skipTo(depth)
	}
	d.next()
	return nil
}

func (d *Decoder) more() bool { return d.err == nil && d.dec.More() }

// next returns the next token, or nil if there is none.
func (d *Decoder) next() json.Token {
	if d.err != nil {
		return nil
	}
	var t json.Token
	t, d.err = d.dec.Token()
	switch t {
	case json.Delim('{'), json.Delim('['):
		d.depth++
	case json.Delim('}'), json.Delim(']'):
		d.depth--
	}
	return t
}

// skipTo reads up to the end of the values that are nested more deeply than depth.
func (d *Decoder) skipTo(depth int) {
	for d.err == nil && d.depth > depth {
		d.next()
	}
}

// String returns v as a string.
func String(v json.Token) (string, error) {
	s, ok := v.(string)
	if !ok {
		return "", fmt.Errorf("%v is not a string", v)
	}
	return s, nil
}

// Bytes returns v, a string in base64, as bytes.
func Bytes(v json.Token) ([]byte, error) {
	s, err := String(v)
	if err != nil {
		return nil, err
	}
	return base64.StdEncoding.DecodeString(s)
}

// Bool returns v as a boolean.
func Bool(v json.Token) (bool, error) {
	b, ok := v.(bool)
	if !ok {
		return false, fmt.Errorf("%v is not a boolean", v)
	}
	return b, nil
}

// Uint returns v as an integer of 64 bits.
func Uint[T ~uint64](v json.Token) (T, error) {
	n, ok := v.(json.Number)
	if !ok {
		return 0, fmt.Errorf("%v is not a number", v)
	}
	u, err := strconv.ParseUint(n.String(), 10, 64)
	return T(u), err
}
