package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of what was sent, answered and run.
type Record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

// NewRecord creates the file at path and returns a Record that writes to it.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// Printf writes one line, with the time in seconds since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A failed write shows in Close.
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Since returns the time from the start of the record to t.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.start) }

// Close writes the rest and closes the file.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.w.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
