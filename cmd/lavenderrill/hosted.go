package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap/zapcore"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/hosted"
	"lavenderrill.dev/lavenderrill/internal/logging"
	"lavenderrill.dev/lavenderrill/platform"
)

func hostedCommand(app *kingpin.Application) command {
	c := app.Command("hosted", `Runs a node on a platform that provides its settings, store and heartbeats.

The path of the settings file is read from `+platform.SettingsEnv+`. SIGHUP reads the
file again; SIGTERM stops the node within the grace time of the settings.`)
	var level, metrics string
	c.Flag("log-level", "Least level that is logged: debug, info, warn or error.").
		Envar("LAVENDERRILL_LOG_LEVEL").Default("info").StringVar(&level)
	c.Flag("metrics", "Listen address of the metrics; none if empty.").
		Envar("LAVENDERRILL_METRICS").StringVar(&metrics)
	var byteCost time.Duration
	c.Flag("zone-byte-cost", "Wait that is accepted to avoid 1 kB between availability zones; 0 if bytes cost nothing. Used for configurations with client accounts or uploads.").
		Envar("LAVENDERRILL_ZONE_BYTE_COST").Default("20ms").DurationVar(&byteCost)
	return command{c, func(ctx context.Context) error {
		l, err := zapcore.ParseLevel(level)
		if err != nil {
			return fault.Newf(fault.Settings, "log level: %w", err)
		}
		w := logging.NewWriter(os.Stdout)
		log := logging.New(w, l)
		stop, logDone := startBackground(w.Run)
		defer func() {
			stop()
			if err := <-logDone; err != nil {
				fmt.Fprintf(os.Stderr, "lavenderrill: write log: %v\n", err)
			}
		}()
		defer logging.RedirectStandard(log)()
		path := os.Getenv(platform.SettingsEnv)
		if path == "" {
			return fault.New(fault.Settings, platform.SettingsEnv+" is not set")
		}
		// Before the settings are read, so that no change is missed, and until the process
		// ends.
		hangups := make(chan os.Signal, 1)
		signal.Notify(hangups, syscall.SIGHUP)
		n, err := hosted.New(hosted.Config{SettingsPath: path, MetricsAddr: metrics, ZoneByteCost: byteCost, Reloads: hangups, Log: log})
		if err != nil {
			return err
		}
		return n.Run(ctx)
	}}
}

// startBackground runs f until the returned function is called. The channel receives
// the result of f.
func startBackground(f func(context.Context) error) (context.CancelFunc, <-chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	return cancel, done
}
