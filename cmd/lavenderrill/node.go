package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/internal/node"
	"lavenderrill.dev/lavenderrill/internal/settings"
)

func nodeCommand(app *kingpin.Application) command {
	c := app.Command("node", `Runs a node beside a backend server.

The secrets LAVENDERRILL_KEY (shared by all nodes), LAVENDERRILL_TOKEN
(operators), LAVENDERRILL_ACCESS_KEY and LAVENDERRILL_SECRET_KEY (platform) are
read from the environment only.`)
	var s settings.Node
	s.RegisterFlags(c)
	return command{c, func(ctx context.Context) error {
		s.ReadSecrets(os.Getenv)
		return runNode(ctx, s)
	}}
}

// runNode runs a node until ctx is done. It first prints the addresses of the node
// as one line of JSON, since the kernel may have assigned the ports.
func runNode(ctx context.Context, s settings.Node) error {
	if err := s.Check(); err != nil {
		return err
	}
	log, err := newLogger(s.LogFormat, s.LogLevel)
	if err != nil {
		return fault.Newf(fault.Settings, "build logger: %w", err)
	}
	defer func() { _ = log.Sync() }()
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	line, err := json.Marshal(n.Addrs())
	if err != nil {
		return fmt.Errorf("encode addresses: %w", err)
	}
	if _, err := fmt.Printf("%s\n", line); err != nil {
		return fmt.Errorf("print addresses: %w", err)
	}
	return n.Run(ctx)
}

func newLogger(format, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Encoding = format
	c.Level = zap.NewAtomicLevelAt(l)
	c.DisableStacktrace = true
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}
