package demand

import (
	"slices"
	"strings"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

const (
	// needsTime is how long a service that a called service needs is remembered. Each
	// response to a call repeats it.
	needsTime = 10 * time.Second
	// maxNeeds bounds the services of one report.
	maxNeeds = 32
)

// FormatNeeds returns the value of a needs header.
func FormatNeeds(services []mesh.Service) string {
	names := make([]string, len(services))
	for i, s := range services {
		names[i] = string(s)
	}
	return strings.Join(names, ",")
}

// ParseNeeds returns the services of a needs header.
func ParseNeeds(header string) []mesh.Service {
	if header == "" {
		return nil
	}
	var out []mesh.Service
	for name := range strings.SplitSeq(header, ",") {
		if name != "" && len(out) < maxNeeds {
			out = append(out, mesh.Service(name))
		}
	}
	return out
}

// recordNeeds records the services that the called service needs itself.
func (c *called) recordNeeds(services []mesh.Service, now time.Time) {
	for _, s := range services {
		if len(c.needs) < maxNeeds || !c.needs[s].IsZero() {
			c.needs[s] = now
		}
	}
	for s, at := range c.needs {
		if now.Sub(at) > needsTime {
			delete(c.needs, s)
		}
	}
}

// Needs returns the services that requests of the backend server beside this node need,
// by their own calls or by those of the services that they call, in order.
func (t *Tracker) Needs(now time.Time) []mesh.Service {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []mesh.Service
	for s, c := range t.calls {
		if !t.callsOut(s, now) {
			continue
		}
		out = append(out, s)
		for n, at := range c.needs {
			if now.Sub(at) <= needsTime {
				out = append(out, n)
			}
		}
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), maxNeeds)]
}

// callsOut reports whether requests of any route call s.
func (t *Tracker) callsOut(s mesh.Service, now time.Time) bool {
	for _, r := range t.runs {
		if r.ratio(s, now) >= minRatio {
			return true
		}
	}
	return false
}
