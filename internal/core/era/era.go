package era

import (
	"errors"
	"sync"
)

// Number counts how often the store was restored from a copy.
type Number uint64

// Errors of calls around a restoration of the store.
var (
	// ErrChanged means that a position is of an earlier era. The table has to be read
	// again.
	ErrChanged = errors.New("store: it was restored from a copy since the table was read")
	// ErrLateResponse means that the response is of an earlier era, and that the outcome of
	// the call no longer holds.
	ErrLateResponse = errors.New("store: the response is of the time before a restoration")
)

// Tracker tracks the era of the store. Its zero value has seen no response.
type Tracker struct {
	// OnChange is called for each later era, except for that of the first response, which
	// tells only how often the store was restored before; may be nil. It must be set before
	// the first use.
	OnChange func(Number)

	mu       sync.Mutex
	answered bool // a response was seen
	current  Number
	read     map[string]Number // era in which a table was last read, by table
}

// ObserveResponse records a response that does not name its era: it is of a store that
// was never restored, or of something in front of it.
func (t *Tracker) ObserveResponse() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = true
}

// Observe records a response of era e. It returns ErrLateResponse if a previous response
// was of a later one.
func (t *Tracker) Observe(e Number) error {
	t.mu.Lock()
	late, changed := e < t.current, e > t.current && t.answered
	t.current, t.answered = max(t.current, e), true
	t.mu.Unlock()
	switch {
	case late:
		return ErrLateResponse
	case changed && t.OnChange != nil:
		t.OnChange(e)
	}
	return nil
}

// Current returns the latest era that was observed.
func (t *Tracker) Current() Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// RecordRead records that a table was read from start on. It returns ErrChanged if the
// era has changed since then.
func (t *Tracker) RecordRead(table string, start Number) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	// The era of the first response of a process is not a change.
	if start != t.current && start != 0 {
		return ErrChanged
	}
	if t.read == nil {
		t.read = make(map[string]Number)
	}
	t.read[table] = t.current
	return nil
}

// ReadIn returns the era in which a table was last read.
func (t *Tracker) ReadIn(table string) Number {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.read[table]
}

// CheckRead returns ErrChanged unless positions of the table are of the current era.
func (t *Tracker) CheckRead(table string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.read[table]; ok && e != t.current {
		return ErrChanged
	}
	return nil
}
