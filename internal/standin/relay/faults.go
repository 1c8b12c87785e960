package relay

import (
	"fmt"

	"lavenderrill.dev/lavenderrill/internal/standin/inject"
)

// Direction is one of the two directions through a relay, or both.
type Direction string

// The directions.
const (
	NoDirection Direction = ""
	Forward     Direction = "forward"  // from the client to the target
	Backward    Direction = "backward" // from the target to the client
	Both        Direction = "both"
)

func (d Direction) covers(one Direction) bool { return d == Both || d == one }

// Duration is a time.Duration that is text such as "150ms" in JSON.
type Duration = inject.Duration

// Faults are the faults on the path of one source. The zero value has none.
type Faults struct {
	// Delay and up to Jitter more pass before bytes or a datagram are passed
	// on, in each direction. The order of bytes is kept.
	Delay  Duration `json:"delay,omitempty"`
	Jitter Duration `json:"jitter,omitempty"`
	// Cut resets the connections, refuses new ones and drops datagrams. In the
	// faults of one source, new connections are reset instead of refused.
	Cut bool `json:"cut,omitempty"`
	// Freeze holds the bytes of connections in that direction until it ends,
	// and drops datagrams, as a partition does. New connections are accepted.
	Freeze Direction `json:"freeze,omitempty"`
	// Truncate closes a connection after that many bytes to the client; 0 is
	// off.
	Truncate int64 `json:"truncate,omitempty"`
	// Loss is the share of datagrams lost in each direction.
	Loss float64 `json:"lose,omitempty"`
	// Reorder is the share of datagrams that are held for Hold and so arrive
	// after later ones.
	Reorder      float64  `json:"reorder,omitempty"`
	ReorderDelay Duration `json:"hold,omitempty"`
}

// Check returns an error if f has values out of range.
func (f Faults) Check() error {
	switch f.Freeze {
	case NoDirection, Forward, Backward, Both:
	default:
		return fmt.Errorf("freeze %q is not one of forward, backward, both", f.Freeze)
	}
	for _, s := range []float64{f.Loss, f.Reorder} {
		if s < 0 || s > 1 {
			return fmt.Errorf("share %v is not between 0 and 1", s)
		}
	}
	if f.Delay < 0 || f.Jitter < 0 || f.ReorderDelay < 0 || f.Truncate < 0 {
		return fmt.Errorf("delay, jitter, hold and truncate must not be negative")
	}
	return nil
}

// Plan is all faults of a relay.
type Plan struct {
	Faults Faults `json:"faults"`
	// Sources replaces Faults for clients of these sources.
	Sources map[string]Faults `json:"sources,omitempty"`
}

// Check returns an error if p has values out of range.
func (p Plan) Check() error {
	if err := p.Faults.Check(); err != nil {
		return err
	}
	for s, f := range p.Sources {
		if err := f.Check(); err != nil {
			return fmt.Errorf("source %s: %w", s, err)
		}
	}
	return nil
}

// of returns the faults of a source.
func (p Plan) of(source string) Faults {
	if f, ok := p.Sources[source]; ok {
		return f
	}
	return p.Faults
}
