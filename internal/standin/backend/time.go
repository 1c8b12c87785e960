package backend

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// ServiceTime is a distribution of service times. Its text form is one of
//
//	10ms                 constant
//	exp:10ms             exponential with this mean
//	uniform:5ms,15ms     uniform between these bounds
//	lognormal:10ms,0.5   log-normal with this median and sigma
type ServiceTime struct {
	text   string
	sample func(*rand.Rand) time.Duration
}

// ParseServiceTime parses the text form of a distribution. The empty string is
// the constant zero.
func ParseServiceTime(s string) (ServiceTime, error) {
	kind, args, ok := strings.Cut(s, ":")
	if !ok {
		kind, args = "", s
	}
	if s == "" {
		args = "0s"
	}
	first, second, hasSecond := strings.Cut(args, ",")
	d, err := time.ParseDuration(first)
	if err != nil || d < 0 {
		return ServiceTime{}, fmt.Errorf("time %q: %q is not a duration of at least 0", s, first)
	}
	t := ServiceTime{text: s}
	switch {
	case kind == "" && !hasSecond:
		t.sample = func(*rand.Rand) time.Duration { return d }
	case kind == "exp" && !hasSecond:
		t.sample = func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
	case kind == "uniform" && hasSecond:
		upper, err := time.ParseDuration(second)
		if err != nil || upper < d {
			return ServiceTime{}, fmt.Errorf("time %q: upper bound %q is not a duration of at least the lower bound", s, second)
		}
		t.sample = func(r *rand.Rand) time.Duration { return d + time.Duration(r.Float64()*float64(upper-d)) }
	case kind == "lognormal" && hasSecond:
		sigma, err := strconv.ParseFloat(second, 64)
		if err != nil || sigma < 0 {
			return ServiceTime{}, fmt.Errorf("time %q: sigma %q is not a number of at least 0", s, second)
		}
		t.sample = func(r *rand.Rand) time.Duration {
			return time.Duration(math.Exp(r.NormFloat64()*sigma) * float64(d))
		}
	default:
		return ServiceTime{}, fmt.Errorf("time %q has an unknown format", s)
	}
	return t, nil
}

// Sample returns a random service time.
func (t ServiceTime) Sample(r *rand.Rand) time.Duration {
	if t.sample == nil {
		return 0
	}
	return t.sample(r)
}

// String returns the text form of t.
func (t ServiceTime) String() string { return t.text }

// MarshalText implements encoding.TextMarshaler.
func (t ServiceTime) MarshalText() ([]byte, error) { return []byte(t.text), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *ServiceTime) UnmarshalText(b []byte) error {
	p, err := ParseServiceTime(string(b))
	if err != nil {
		return err
	}
	*t = p
	return nil
}
