package config

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"time"
)

type valueKind uint8

const (
	absent valueKind = iota
	textValue
	numberValue
	boolValue
)

func (k valueKind) String() string {
	return [...]string{"nothing", "a string", "a number", "true or false"}[k]
}

// value is one scalar of a document. Its zero value is an absent scalar.
type value struct {
	kind valueKind
	text string
}

var (
	errNotScalar   = errors.New("want a string, a number, true or false")
	errNumberRange = errors.New("number out of range")
)

func newTextValue(s string) value { return value{textValue, s} }

func newBoolValue(b bool) value { return value{boolValue, strconv.FormatBool(b)} }

// newNumberValue returns f in its canonical form, which JSON and YAML parse to
// the same number.
func newNumberValue(f float64) (value, error) {
	if math.IsNaN(f) || math.Abs(f) > maxNumber {
		return value{}, errNumberRange
	}
	if f == 0 {
		f = 0 // drop the sign of negative zero
	}
	return value{numberValue, strconv.FormatFloat(f, 'f', -1, 64)}, nil
}

// IsZero reports whether v is absent. The omitzero option of encoding/json
// uses it.
func (v value) IsZero() bool { return v.kind == absent }

// MarshalJSON implements json.Marshaler.
func (v value) MarshalJSON() ([]byte, error) {
	if v.kind == textValue {
		return marshal(v.text)
	}
	return []byte(v.text), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *value) UnmarshalJSON(b []byte) error {
	switch {
	case len(b) == 0:
		return errNotScalar
	case b[0] == '"':
		v.kind = textValue
		return json.Unmarshal(b, &v.text)
	case string(b) == "true", string(b) == "false":
		*v = value{boolValue, string(b)}
		return nil
	case b[0] == '-' || b[0] >= '0' && b[0] <= '9':
		f, err := strconv.ParseFloat(string(b), 64)
		if err != nil {
			return err
		}
		*v, err = newNumberValue(f)
		return err
	}
	return errNotScalar
}

func (v value) number() float64 {
	f, _ := strconv.ParseFloat(v.text, 64)
	return f
}

func (v value) bool() bool { return v.text == "true" }

// duration is a time.Duration that is encoded as text such as 1m30s.
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(b []byte) error {
	t, err := time.ParseDuration(string(b))
	*d = duration(t)
	return err
}
