package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"lavenderrill.dev/lavenderrill/internal/standin/relay"
)

func relayCommand(ctx context.Context, app *kingpin.Application) {
	var cfg relay.Config
	var control string
	var plan relay.Plan
	cmd := app.Command("relay", "Forward TCP and UDP to a target with faults.")
	cmd.Flag("listen", "Listen address, TCP and UDP.").Default("127.0.0.1:0").StringVar(&cfg.Listen)
	cmd.Flag("target", "Address to forward to.").Required().StringVar(&cfg.Target)
	cmd.Flag("control", "Listen address of the control of faults.").Default("127.0.0.1:0").StringVar(&control)
	cmd.Flag("seed", "Seed of loss, reordering and jitter; it is printed.").Default("1").Uint64Var(&cfg.Seed)
	cmd.Flag("delay", "Delay of each direction.").DurationVar((*time.Duration)(&plan.Faults.Delay))
	cmd.Flag("jitter", "Greatest random addition to the delay.").DurationVar((*time.Duration)(&plan.Faults.Jitter))
	cmd.Flag("lose", "Share of datagrams lost.").Float64Var(&plan.Faults.Loss)
	cmd.Action(func(*kingpin.ParseContext) error {
		r, err := relay.New(cfg)
		if err != nil {
			return err
		}
		if err := r.SetPlan(plan); err != nil {
			return err
		}
		l, err := net.Listen("tcp", control)
		if err != nil {
			return err
		}
		if err := printAddrs(map[string]any{"addr": r.Addr(), "control": l.Addr().String(), "seed": cfg.Seed}); err != nil {
			return err
		}
		return serveRelay(ctx, r, l)
	})
}

// serveRelay runs r and its control server until ctx is done.
func serveRelay(ctx context.Context, r *relay.Relay, l net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/control", r.Control())
	srv := &http.Server{Handler: mux}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.Run(ctx) })
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		return srv.Close()
	})
	return g.Wait()
}
