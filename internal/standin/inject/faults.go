package inject

import (
	"fmt"
	"slices"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	p, err := time.ParseDuration(string(b))
	if err != nil {
		return err
	}
	*d = Duration(p)
	return nil
}

// Outage is the kind of unavailability of a service.
type Outage string

// Kinds of outages.
const (
	NoOutage    Outage = ""
	OutageReset Outage = "reset" // the connection is closed without a response
	OutageError Outage = "error" // every request gets a 5xx response
	OutageHang  Outage = "hang"  // no response until the outage ends or the client disconnects
)

// Faults configures the faults of one service. The zero value has none. Shares
// are probabilities from 0 to 1.
type Faults struct {
	Outage Outage `json:"outage,omitempty"`
	// Latency is added before a request takes effect. The request takes effect
	// even if the client disconnects in the meantime.
	Latency Duration `json:"latency,omitempty"`
	// ResponseDelay is added after a request took effect and before its
	// response.
	ResponseDelay Duration `json:"hold,omitempty"`
	// LoseResponse is the share of writes that take effect without a response.
	LoseResponse float64 `json:"lose,omitempty"`
	// Throttle is the share of requests that get a throttling error.
	Throttle float64 `json:"throttle,omitempty"`
	// Rate is the limit in requests per second; requests above it get a
	// throttling error. 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Staleness is the age of the state that eventually consistent reads
	// return.
	Staleness Duration `json:"stale,omitempty"`
	// Conflict is the share of transactions that fail with a conflict.
	Conflict float64 `json:"conflict,omitempty"`
	// Corrupt is the share of reads whose body has one byte changed and whose
	// checksum headers are missing.
	Corrupt float64 `json:"corrupt,omitempty"`
	// Operations restricts the faults to these operations; empty means all.
	Operations []string `json:"operations,omitempty"`
	// RequestLimit ends all faults after they applied to that many requests.
	// 0 means no limit.
	RequestLimit int `json:"next,omitempty"`
}

// Check returns an error if a value of f is out of range.
func (f Faults) Check() error {
	switch f.Outage {
	case NoOutage, OutageReset, OutageError, OutageHang:
	default:
		return fmt.Errorf("outage %q is not one of reset, error, hang", f.Outage)
	}
	for _, s := range []float64{f.LoseResponse, f.Throttle, f.Conflict, f.Corrupt} {
		if s < 0 || s > 1 {
			return fmt.Errorf("share %v is not between 0 and 1", s)
		}
	}
	if f.Latency < 0 || f.ResponseDelay < 0 || f.Staleness < 0 || f.Rate < 0 || f.RequestLimit < 0 {
		return fmt.Errorf("durations, rate and next must not be negative")
	}
	return nil
}

func (f Faults) appliesTo(op string) bool {
	return len(f.Operations) == 0 || slices.Contains(f.Operations, op)
}
