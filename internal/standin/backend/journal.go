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

// Outcome is the result of an execution.
type Outcome string

// Outcomes of executions. An execution without an outcome is still running, or
// its process was killed.
const (
	Done     Outcome = "done"
	Canceled Outcome = "canceled" // caller disconnected or deadline passed
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
	Service        mesh.Service   `json:"service,omitempty"` // service of the route
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
// one line when an execution starts and one when it ends. The file keeps the
// executions of a process that was killed.
type journal struct {
	mu         sync.Mutex
	executions []Execution
	file       *os.File
	writeErr   error // first error of writing the file
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

// start records the start of e and returns its position.
func (j *journal) start(e Execution) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Seq = len(j.executions)
	j.executions = append(j.executions, e)
	j.writeEntry(e)
	return e.Seq
}

func (j *journal) finish(seq int, o Outcome) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e := &j.executions[seq]
	e.Finished, e.Outcome = time.Now(), o
	j.writeEntry(*e)
}

// writeEntry writes e to the file. It must be called with mu held.
func (j *journal) writeEntry(e Execution) {
	if j.file == nil || j.writeErr != nil {
		return
	}
	b, err := json.Marshal(e)
	if err == nil {
		_, err = j.file.Write(append(b, '\n'))
	}
	j.writeErr = err
}

// list returns the entries from position from on.
func (j *journal) list(from int) []Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	from = min(max(from, 0), len(j.executions))
	return append([]Execution{}, j.executions[from:]...)
}

func (j *journal) count() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.executions)
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
	return j.writeErr
}

// ReadJournal reads a journal file written by one backend server. It ignores an
// incomplete last line, which a killed process may leave.
func ReadJournal(r io.Reader) ([]Execution, error) {
	var executions []Execution
	br := bufio.NewReader(r)
	for {
		line, err := br.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return executions, nil
		}
		if err != nil {
			return nil, err
		}
		var e Execution
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, fmt.Errorf("journal: %w", err)
		}
		switch {
		case e.Seq == len(executions):
			executions = append(executions, e)
		case e.Seq < len(executions):
			executions[e.Seq] = e
		default:
			return nil, fmt.Errorf("journal: entry %d follows entry %d", e.Seq, len(executions)-1)
		}
	}
}
