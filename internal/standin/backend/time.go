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
//	exp:10ms             exponential with that mean
//	uniform:5ms,15ms     uniform between the two
//	lognormal:10ms,0.5   log-normal with that median and sigma
type ServiceTime struct {
	text   string
	sample func(*rand.Rand) time.Duration
}

// ParseServiceTime parses the text form of a distribution. The empty string is zero.
func ParseServiceTime(s string) (ServiceTime, error) {
	kind, args, ok := strings.Cut(s, ":")
	if !ok {
		kind, args = "", s
	}
	if s == "" {
		args = "0s"
	}
	first, second, two := strings.Cut(args, ",")
	d, err := time.ParseDuration(first)
	if err != nil || d < 0 {
		return ServiceTime{}, fmt.Errorf("time %q: %q is not a duration", s, first)
	}
	t := ServiceTime{text: s}
	switch {
	case kind == "" && !two:
		t.sample = func(*rand.Rand) time.Duration { return d }
	case kind == "exp" && !two:
		t.sample = func(r *rand.Rand) time.Duration { return time.Duration(r.ExpFloat64() * float64(d)) }
	case kind == "uniform" && two:
		hi, err := time.ParseDuration(second)
		if err != nil || hi < d {
			return ServiceTime{}, fmt.Errorf("time %q: %q is not a longer duration", s, second)
		}
		t.sample = func(r *rand.Rand) time.Duration { return d + time.Duration(r.Float64()*float64(hi-d)) }
	case kind == "lognormal" && two:
		sigma, err := strconv.ParseFloat(second, 64)
		if err != nil || sigma < 0 {
			return ServiceTime{}, fmt.Errorf("time %q: %q is not a sigma", s, second)
		}
		t.sample = func(r *rand.Rand) time.Duration {
			return time.Duration(math.Exp(r.NormFloat64()*sigma) * float64(d))
		}
	default:
		return ServiceTime{}, fmt.Errorf("time %q has an unknown form", s)
	}
	return t, nil
}

// Sample returns one service time.
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
