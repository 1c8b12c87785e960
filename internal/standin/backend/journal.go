package backend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"lavenderrill.dev/lavenderrill/pkg/mesh"
)

// Outcome is how an execution ended.
type Outcome string

// The outcomes. An execution without one has not ended, or its process died.
const (
	Done     Outcome = "done"
	Canceled Outcome = "canceled" // caller gone or deadline passed
	Failed   Outcome = "failed"   // nested call failed
)

// Execution is one entry of the journal.
type Execution struct {
	Request        mesh.RequestID `json:"request"`
	Attempt        string         `json:"attempt,omitempty"`
	IdempotencyKey string         `json:"key,omitempty"` // Idempotency-Key
	Method         string         `json:"method"`
	Path           string         `json:"path"`
	Depth          string         `json:"depth,omitempty"`
	Service        mesh.Service   `json:"service,omitempty"` // as the route says
	Route          string         `json:"route,omitempty"`
	Version        string         `json:"version,omitempty"`
	BackendService mesh.Service   `json:"own,omitempty"` // service of the backend server
	Started        time.Time      `json:"started"`
	Finished       time.Time      `json:"finished,omitzero"`
	Outcome        Outcome        `json:"outcome,omitempty"`
	Draining       bool           `json:"draining,omitempty"` // started while draining
	Seq            int            `json:"seq"`                // position in the journal
}

// journal records executions in memory and, if file is not nil, as JSON lines:
// one line when an execution starts and one when it ends. The file outlives a
// killed process.
type journal struct {
	mu    sync.Mutex
	runs  []Execution
	file  *os.File
	write error // first error of the file
}

func openJournal(path string) (*journal, error) {
	j := &journal{}
	if path == "" {
		return j, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open journal: %w", err)
	}
	j.file = f
	return j, nil
}

// start records that e begins and returns its position.
func (j *journal) start(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Seq = len(j.runs)
	j.runs = append(j.runs, e)
	j.append(e)
	return e.Seq
}

func (j *journal) finish(seq int, o Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.runs[seq]
	e.Finished, e.Outcome = time.Now(), o
	j.append(*e)
}

// append must be called with mu held.
func (j *journal) append(e Execution) {
	if j.file == nil || j.write != nil {
		return
	}
	b, err := json.Marshal(e)
	if err == nil {
		_, err = j.file.Write(append(b, '\n'))
	}
	j.write = err
}

// list returns the entries from position from on.
func (j *journal) list(from int) []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	from = min(max(from, 0), len(j.runs))
	return append([]Execution{}, j.runs[from:]...)
}

func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.runs)
}

func (j *journal) close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.file == nil {
		return nil
	}
	if err := j.file.Close(); err != nil {
		return err
	}
	return j.write
}

// ReadJournal reads a journal file written by one backend server. A last line
// that a killed process left incomplete is ignored.
func ReadJournal(r io.Reader) ([]Execution, error) {
	var runs []Execution
	br := bufio.NewReader(r)
	for {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return runs, nil
		}
		if err != nil {
			return nil, err
		}
		var e Execution
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		switch {
		case e.Seq == len(runs):
			runs = append(runs, e)
		case e.Seq < len(runs):
			runs[e.Seq] = e
		default:
			return nil, fmt.Errorf("journal: entry %d follows entry %d", e.Seq, len(runs)-1)
		}
	}
}
