// Lavenderrill runs a node of the mesh and the commands of its operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"lavenderrill.dev/lavenderrill/internal/core/fault"
	"lavenderrill.dev/lavenderrill/pkg/client"
)

const help = `Distributes configuration through a service mesh.

Examples:
  lavenderrill demo
  lavenderrill validate examples/lending-office/*.yaml
  lavenderrill plan --node 127.0.0.1:8082 account.yaml
  lavenderrill accept --node 127.0.0.1:8082 --wait account.yaml
  lavenderrill status --node 127.0.0.1:8082 --output json

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings,
3 outcome unknown.`

// command is one subcommand: the clause that kingpin matched and its action.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context) error
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	app := kingpin.New("lavenderrill", help)
	app.HelpFlag.Short('h')
	app.Terminate(nil)
	cmds := []command{nodeCommand(app), hostedCommand(app), traceCommand(app), demoCommand(app)}
	cmds = append(cmds, operatorCommands(app)...)
	for _, a := range args {
		if a == "--help" || a == "-h" || a == "--help-long" {
			app.Terminate(os.Exit)
		}
	}
	name, err := app.Parse(withStdinPath(args))
	if err != nil {
		fmt.Fprintf(os.Stderr, "lavenderrill: %v; try --help\n", err)
		return fault.ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range cmds {
		if c.clause.FullCommand() == name {
			return report(c.run(ctx))
		}
	}
	return fault.ExitUsage
}

// stdinPath is the file name that stands for standard input, as "-" does.
const stdinPath = "/dev/stdin"

// withStdinPath replaces each "-" in args by stdinPath. kingpin takes a lone dash for an empty
// argument.
func withStdinPath(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		if a == "-" {
			out[i] = stdinPath
		}
	}
	return out
}

// report prints err and returns its exit code.
func report(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "lavenderrill: %v\n", err)
	var refused *client.Error
	if errors.As(err, &refused) {
		return fault.LookupKind(fault.Kind(refused.Kind)).ExitCode
	}
	var unknown *unknownOutcomeError
	if errors.As(err, &unknown) {
		return fault.ExitUnknown
	}
	return fault.LookupKind(fault.From(err).Kind).ExitCode
}
