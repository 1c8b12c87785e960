// Command standin runs the stand-ins that tests and trials use in place of the
// platform, the backend servers and the network between nodes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
)

func main() {
	app := kingpin.New("standin", "Stand-ins of the platform, of backend servers and of the network.")
	log, err := zap.NewProduction()
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	platformCommand(ctx, app)
	backendCommand(ctx, app, log)
	relayCommand(ctx, app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		stop()
		os.Exit(1)
	}
}

// printAddrs prints the addresses of a stand-in as one JSON line.
func printAddrs(addrs any) error {
	return json.NewEncoder(os.Stdout).Encode(addrs)
}
