package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"lavenderrill.dev/lavenderrill/internal/standin/backend"
)

func backendCommand(ctx context.Context, app *kingpin.Application, log *zap.Logger) {
	cfg := backend.Config{Log: log}
	var serviceTime string
	cmd := app.Command("backend", "Run a backend server.")
	cmd.Flag("service", "Name of its service.").StringVar((*string)(&cfg.Service))
	cmd.Flag("listen", "Listen address of requests.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	cmd.Flag("control", "Listen address of control and journal.").Default("127.0.0.1:0").StringVar(&cfg.Control)
	cmd.Flag("node", "Backend listener of its node; not announced if empty.").StringVar(&cfg.NodeAddr)
	cmd.Flag("caller", "Caller listener of its node, for nested calls.").StringVar(&cfg.CallerAddr)
	cmd.Flag("slots", "Requests that run at a time.").Default("20").IntVar(&cfg.Slots)
	cmd.Flag("connections", "Connections accepted at a time.").Default("110").IntVar(&cfg.Connections)
	cmd.Flag("queue", "Requests that wait for a slot before others are shed.").Default("0").IntVar(&cfg.Queue)
	cmd.Flag("connect", "Time that accepting one connection takes.").Default("1ms").DurationVar(&cfg.AcceptTime)
	cmd.Flag("cold-start", "Time in state starting.").Default("0s").DurationVar(&cfg.ColdStart)
	cmd.Flag("warm-up", "Time after the cold start in which service times fall to normal.").Default("0s").DurationVar(&cfg.WarmUp)
	cmd.Flag("drain", "Longest wait for requests in flight at a stop.").Default("30s").DurationVar(&cfg.DrainTimeout)
	cmd.Flag("time", "Service time: 10ms, exp:10ms, uniform:5ms,15ms or lognormal:10ms,0.5.").Default("0s").StringVar(&serviceTime)
	cmd.Flag("size", "Body size in bytes of requests that ask for none.").Default("0").IntVar(&cfg.Behavior.Size)
	cmd.Flag("shed", "Share of requests refused as not run.").Default("0").Float64Var(&cfg.Behavior.Shed)
	cmd.Flag("health", "Status of the health endpoint in place of the true one.").Default("0").IntVar(&cfg.Behavior.Health)
	cmd.Flag("journal", "File that records executions.").StringVar(&cfg.Journal)
	cmd.Flag("seed", "Seed of service times and shedding.").Default("1").Uint64Var(&cfg.Seed)
	cmd.Action(func(*kingpin.ParseContext) error {
		var err error
		if cfg.Behavior.ServiceTime, err = backend.ParseServiceTime(serviceTime); err != nil {
			return err
		}
		s, err := backend.New(cfg)
		if err != nil {
			return err
		}
		if err := printAddrs(map[string]string{"addr": s.Addr(), "control": s.ControlAddr()}); err != nil {
			return err
		}
		return s.Run(ctx)
	})
}
