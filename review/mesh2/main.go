// Command mesh2 runs the cases of the second review that cannot be put as a day. It starts
// nodes as separate processes with the command of the deploy file, and plays the store, the
// endpoints and the clients itself. It exits with 1 if the rule of the case was broken, 0 if
// it held and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest bounds a case.
const longest = 110 * time.Second

func main() {
	name := flag.String("case", "", "case to run")
	binary := flag.String("binary", "target/lavenderrill", "program of the nodes")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	flag.Parse()
	os.Exit(execute(*name, *binary, *record, *trouble))
}

func execute(name, binary, record string, trouble bool) int {
	f := map[string]func(*trial) (bool, error){"stop": stopUnderLoad, "drain": workAfterDrain, "sequence": drainAfterOdd, "memory": longIDs, "rank": stopAdmitsLong}[name]
	if f == nil {
		fmt.Fprintf(os.Stderr, "mesh2: unknown case %q\n", name)
		return failed
	}
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mesh2:", err)
		return failed
	}
	defer func() { _ = out.Close() }() // a lost record shows by itself
	dir := os.Getenv("MESH2_DIR")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "mesh2"); err != nil {
			fmt.Fprintln(os.Stderr, "mesh2:", err)
			return failed
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	m, err := newMesh(ctx, binary, dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mesh2:", err)
		return failed
	}
	defer m.close()
	type result struct {
		held bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		ok, err := f(&trial{mesh: m, out: out, trouble: trouble})
		done <- result{ok, err}
	}()
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			fmt.Fprintln(os.Stderr, "mesh2:", r.err)
			return failed
		case !r.held:
			return broken
		}
		return held
	case <-ctx.Done():
	case <-time.After(longest):
		fmt.Fprintln(os.Stderr, "mesh2: the case did not end in time")
	}
	return failed
}

// trial is one run of a case.
type trial struct {
	*mesh
	trouble bool

	mu  sync.Mutex
	out io.Writer // guarded by mu
}

// logf writes a line to the record.
func (t *trial) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.out, format+"\n", args...) // a lost line does not change the verdict
}
