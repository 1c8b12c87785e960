package relay

import (
	"fmt"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// Direction selects neither, one or both directions of traffic through a relay.
type Direction string

// Directions of traffic.
const (
	NoDirection Direction = ""
	Forward     Direction = "forward"  // from the client to the target
	Backward    Direction = "backward" // from the target to the client
	Both        Direction = "both"
)

func (d Direction) includes(dir Direction) bool { return d == Both || d == dir }

// Duration is a time.Duration that is encoded in JSON as text such as "150ms".
type Duration = inject.Duration

// Faults configures the faults of the traffic of one source. The zero value has
// none.
type Faults struct {
	// Delay plus a random time of up to Jitter passes before bytes or a
	// datagram are forwarded, in each direction. The order of bytes is kept.
	Delay  Duration `json:"delay,omitempty"`
	Jitter Duration `json:"jitter,omitempty"`
	// Cut resets the connections, refuses new ones and drops datagrams. In the
	// faults of a single source, new connections are reset instead of refused.
	Cut bool `json:"cut,omitempty"`
	// Freeze withholds the bytes of connections in that direction until the
	// freeze ends, and drops datagrams, as a network partition does. New
	// connections are accepted.
	Freeze Direction `json:"freeze,omitempty"`
	// Truncate closes a connection after that many bytes to the client; 0
	// disables it.
	Truncate int64 `json:"truncate,omitempty"`
	// Loss is the share of datagrams dropped in each direction.
	Loss float64 `json:"lose,omitempty"`
	// Reorder is the share of datagrams that are delayed by ReorderDelay more,
	// so that they arrive after later ones.
	Reorder      float64  `json:"reorder,omitempty"`
	ReorderDelay Duration `json:"hold,omitempty"`
}

// Check returns an error if a value of f is out of range.
func (f Faults) Check() error {
	switch f.Freeze {
	case NoDirection, Forward, Backward, Both:
	default:
		return fmt.Errorf("freeze %q is not one of forward, backward, both", f.Freeze)
	}
	for _, share := range []float64{f.Loss, f.Reorder} {
		if share < 0 || share > 1 {
			return fmt.Errorf("share %v is not between 0 and 1", share)
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.ReorderDelay < 0 || f.Truncate < 0 {
		return fmt.Errorf("delay, jitter, hold and truncate must not be negative")
	}
	return nil
}

// Plan holds the faults of all sources of a relay.
type Plan struct {
	Faults Faults `json:"faults"`
	// Sources overrides Faults for the named sources.
	Sources map[string]Faults `json:"sources,omitempty"`
}

// Check returns an error if a value of p is out of range.
func (p Plan) Check() error {
	if err := p.Faults.Check(); err != nil {
		return err
	}
	for source, f := range p.Sources {
		if err := f.Check(); err != nil {
			return fmt.Errorf("source %s: %w", source, err)
		}
	}
	return nil
}

// forSource returns the faults of a source.
func (p Plan) forSource(source string) Faults {
	if f, ok := p.Sources[source]; ok {
		return f
	}
	return p.Faults
}
