package harness

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runTimeout bounds the run of a case.
const runTimeout = 110 * time.Second

// Case plays a case on d, with the disruption or without it. It returns one line for each
// breach of the rule.
type Case func(ctx context.Context, d *Deployment, trouble bool) (breaches []string, err error)

// Main runs c and ends the process. The argument is the folder of the case. The variable
// TROUBLE has the value 0 for a run without the disruption.
func Main(c Case) {
	os.Exit(run(c))
}

func run(c Case) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return exitNotRun
	}
	d, err := New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot start:", err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	breaches, err := c(ctx, d, os.Getenv("TROUBLE") != "0")
	for _, b := range breaches {
		d.Record.Printf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if err != nil {
		d.Record.Printf("the case could not run: %v", err)
	} else if len(breaches) == 0 {
		d.Record.Printf("the rule held")
		fmt.Println("the rule held")
	}
	if e := d.Close(); e != nil && err == nil {
		err = e
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case len(breaches) > 0:
		return exitBroken
	}
	return exitHeld
}

// StartAll starts all nodes for the first time and waits until they are ready.
func (d *Deployment) StartAll(ctx context.Context) error {
	for _, n := range d.nodes {
		if err := n.Start(true); err != nil {
			return err
		}
	}
	for _, n := range d.nodes {
		if err := n.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Sleep waits for t unless ctx ends before.
func Sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}
