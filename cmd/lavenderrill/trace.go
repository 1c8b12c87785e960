package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/logging"
)

func traceCommand(app *kingpin.Application) command {
	c := app.Command("trace", "Prints the lines about one request from the logs of several nodes, by time.")
	id := c.Arg("request", "Id of the request.").Required().String()
	files := c.Arg("log", "Log files.").Required().ExistingFiles()
	around := c.Flag("around", "Also print what the nodes logged about themselves this long before and after.").Default("1s").Duration()
	return command{c, func(context.Context) error { return trace(*id, *around, *files) }}
}

func trace(id string, around time.Duration, files []string) error {
	var logs []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, f)
	}
	lines, err := logging.Trace(id, around, logs...)
	if err != nil {
		return fmt.Errorf("read logs: %w", err)
	}
	if len(lines) == 0 {
		return fault.Newf(fault.NotFound, "no log line mentions request %s; only a sample of the answered requests is logged", id)
	}
	for i := range lines {
		if _, err := fmt.Println(&lines[i]); err != nil {
			return fmt.Errorf("print log lines: %w", err)
		}
	}
	return nil
}
