// Command lab3 plays the cases of the third review against processes of the project, with
// stand-ins for the store, the backend servers and the clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]struct {
	params, policies string
	play             func(l *lab, trouble bool) (held bool, err error)
}{
	"quota-kill":   {quotaParams, quotaPolicy, quotaKill},
	"quota-freeze": {quotaParams, quotaPolicy, quotaFreeze},
	"stop":         {"", "", stopDuringDownloads},
	"exposure":     {exposureParams, exposurePolicy, exposure},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE PROGRAM FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, folder string) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "lab3: no case %q\n", name)
		return notRun
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab3:", err)
		return notRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	l, err := newLab(ctx, r, program, c.params, c.policies)
	if err != nil {
		cancel()
		fmt.Fprintln(os.Stderr, "lab3:", err)
		return notRun
	}
	defer l.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.stop()
		os.Exit(notRun)
	}()
	defer l.beats.Wait()
	defer cancel()
	held, err := c.play(l, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "lab3:", err)
		return notRun
	case !held:
		r.printf("the rule was broken")
		return ruleBroken
	}
	r.printf("the rule held")
	return ruleHeld
}
