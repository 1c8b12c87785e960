// Command load runs the experiments in the directory experiments.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/load"
)

// runTimeMargin is the time that an experiment may take in addition to its phases.
const runTimeMargin = 5 * time.Minute

func main() {
	app := kingpin.New("load", "Measures meshes of real processes on this machine.")
	run := app.Command("run", "Run an experiment.")
	file := run.Arg("file", "Experiment file.").Required().String()
	output := run.Flag("output", "Output: text or json.").Default("text").Enum("text", "json")
	html := run.Flag("html", "File for a page with plots.").String()
	check := app.Command("check", "Check experiment files without running them.")
	files := check.Arg("file", "Experiment files.").Required().Strings()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run.Action(func(*kingpin.ParseContext) error { return runFile(ctx, *file, *output, *html) })
	check.Action(func(*kingpin.ParseContext) error { return checkFiles(*files) })
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		stop()
		os.Exit(1)
	}
}

func checkFiles(files []string) error {
	var errs []error
	for _, f := range files {
		_, err := load.ReadFile(f)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

func runFile(ctx context.Context, file, output, html string) error {
	x, err := load.ReadFile(file)
	if err != nil {
		return err
	}
	timeout := runTimeMargin + x.Settle
	for _, p := range x.Phases {
		timeout += p.WarmUp + p.Duration
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := load.Run(ctx, x, func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	})
	if err != nil {
		return err
	}
	if html != "" {
		if err := writeHTML(html, r); err != nil {
			return err
		}
	}
	if output == "json" {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	return r.WriteText(os.Stdout)
}

func writeHTML(path string, r load.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.WriteHTML(f); err != nil {
		return errors.Join(err, f.Close())
	}
	return f.Close()
}
