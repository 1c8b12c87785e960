package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/demo"
)

// demoTimeout ends a demo that does not end by itself.
const demoTimeout = time.Minute

func demoCommand(app *kingpin.Application) command {
	c := app.Command("demo", "Runs a small mesh in this process, accepts an edit while requests are served, and reports.")
	level := c.Flag("log-level", "Least level that is logged: debug, info, warn or error.").Default("error").Enum("debug", "info", "warn", "error")
	return command{c, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, demoTimeout)
		defer cancel()
		log, err := newLogger("console", *level)
		if err != nil {
			return fmt.Errorf("build logger: %w", err)
		}
		return demo.Run(ctx, demo.Config{Out: os.Stdout, Log: log})
	}}
}
