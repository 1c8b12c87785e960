package settings

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lavenderrill.dev/lavenderrill/internal/check"
)

// DecodeList decodes a list of strings or one comma-separated string. A node that is
// missing in the document is an empty list.
func DecodeList(n *yaml.Node) ([]string, error) {
	var entries []string
	if n.Kind == yaml.ScalarNode {
		entries = strings.Split(n.Value, ",")
	} else if err := n.Decode(&entries); n.Kind != 0 && err != nil {
		return nil, err
	}
	for i := range entries {
		entries[i] = strings.TrimSpace(entries[i])
	}
	return entries, nil
}

// Params holds numeric parameters by name.
type Params map[string]float64

// ParseParams parses entries of the form name=value. It skips entries whose value is not
// a number, and returns an error that lists the entries without a value and those of the
// used parameters that are not between 0 and limit.
func ParseParams(entries, used []string, limit float64) (Params, error) {
	params := make(Params, len(entries))
	var errs []error
	for _, s := range entries {
		name, value, ok := strings.Cut(s, "=")
		if !ok {
			errs = append(errs, fmt.Errorf("%q has no value", s))
			continue
		}
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			params[name] = v
		}
	}
	for _, name := range used {
		errs = append(errs, check.Range(name, params[name], limit))
	}
	return params, errors.Join(errs...)
}

// Seconds converts the named value, in seconds, to a duration. It returns 0 if the name
// is missing.
func (p Params) Seconds(name string) time.Duration {
	return time.Duration(p[name] * float64(time.Second))
}
