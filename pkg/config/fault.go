package config

import (
	"fmt"
	"strings"
)

// Fault is one reason why a configuration is invalid.
type Fault struct {
	File   string `json:"file"`  // file name, or document key if the file is unknown
	Field  string `json:"field"` // path such as routes[2].deadline; empty for the whole document
	Reason string `json:"reason"`
}

// String returns f as one line.
func (f Fault) String() string {
	if f.Field == "" {
		return f.File + ": " + f.Reason
	}
	return f.File + ": " + f.Field + ": " + f.Reason
}

// InvalidError lists the faults of a configuration.
type InvalidError struct {
	Faults  []Fault
	Omitted int // number of faults beyond MaxFaults
}

// Error implements error. It returns one line per fault.
func (e *InvalidError) Error() string {
	var b strings.Builder
	for i, f := range e.Faults {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(f.String())
	}
	if e.Omitted > 0 {
		fmt.Fprintf(&b, "\nand %d more faults", e.Omitted)
	}
	return b.String()
}

// collector collects the faults of one file or document.
type collector struct {
	file    string
	faults  []Fault
	omitted int
}

func (c *collector) addf(field, format string, args ...any) {
	if len(c.faults) >= MaxFaults {
		c.omitted++
		return
	}
	c.faults = append(c.faults, Fault{File: c.file, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *collector) count() int { return len(c.faults) + c.omitted }

// merge adds the faults of o to c.
func (c *collector) merge(o *collector) {
	free := max(MaxFaults-len(c.faults), 0)
	n := min(free, len(o.faults))
	c.faults = append(c.faults, o.faults[:n]...)
	c.omitted += o.omitted + len(o.faults) - n
}

func (c *collector) err() error {
	if c.count() == 0 {
		return nil
	}
	return &InvalidError{Faults: c.faults, Omitted: c.omitted}
}
