package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
)

func demoCommand(app *kingpin.Application) command {
	c := app.Command("demo", "Runs a small mesh in this process, accepts an edit while requests are served, and reports.")
	return command{c, func(context.Context) error { return nil }}
}
