package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/standin/platform"
)

func platformCommand(ctx context.Context, app *kingpin.Application) {
	var cfg platform.Config
	cmd := app.Command("platform", "Run a table service and an object store with injected faults.")
	cmd.Flag("table", "Listen address of the table service.").Default("127.0.0.1:0").StringVar(&cfg.Table)
	cmd.Flag("object", "Listen address of the object store.").Default("127.0.0.1:0").StringVar(&cfg.Object)
	cmd.Flag("control", "Listen address of the control of faults.").Default("127.0.0.1:0").StringVar(&cfg.Control)
	cmd.Flag("seed", "Seed of the random choices of faults.").Default("1").Uint64Var(&cfg.Seed)
	cmd.Action(func(*kingpin.ParseContext) error {
		s, err := platform.New(cfg)
		if err != nil {
			return err
		}
		if err := printAddrs(map[string]string{"table": s.TableAddr(), "object": s.ObjectAddr(), "control": s.ControlAddr()}); err != nil {
			return err
		}
		return s.Run(ctx)
	})
}
