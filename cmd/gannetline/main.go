// Gannetline is a cluster scheduler for jobs; each role is a subcommand.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/platform/settings"
	"gannetline/internal/roles"
)

// The exit codes, as docs/operators.md lists them.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitDiffers = 3
	exitSilent  = 4
	exitLost    = 5
	exitNotFree = 6
	exitOff     = 7
)

func main() {
	if err := newApplication().Run(context.Background(), os.Args); err != nil {
		os.Exit(report(err))
	}
}

// newApplication has a command for each role and each tool.
func newApplication() *cli.Command {
	return &cli.Command{
		Name:  "gannetline",
		Usage: "a cluster scheduler for jobs",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`", Value: settings.Path()}},
		Commands: []*cli.Command{
			roleCommand("gate", "serve clients on an edge machine", roles.Gate),
			roleCommand("steward", "keep control keys and schedule the pools they name", roles.Steward),
			roleCommand("storage", "keep lots on a storage machine and have their items run", roles.Storage),
			roleCommand("local-proxy", "stand before the executor of a side machine", roles.LocalProxy),
			compareCommand(),
			checkCommand(),
			rehearseCommand(),
			metricsCommand(),
			tenantsCommand(),
			evacuationsCommand(),
			evacuateCommand(),
			rolloutCommand(),
			lockCommand(),
			electCommand(),
			locksCommand(),
			numberCommand(),
			keyCommand(),
			hollowCommand(),
		},
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() > 0 {
				return cli.Exit("there is no command "+command.Args().First(), exitUsage)
			}
			return cli.ShowAppHelp(command)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// report prints an error, if it says anything, and gives the exit code.
func report(err error) int {
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "gannetline:", err)
	}
	return exitCodeOf(err)
}

// exitCodeOf is the exit code for an error.
func exitCodeOf(err error) int {
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	var refused *client.RefusedError
	if errors.As(err, &refused) && refused.IsOff() {
		return exitOff
	}
	return exitFailed
}

// roleCommand runs a role until it is told to end.
func roleCommand(name, usage string, run func(path string, options ...roles.Option) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: func(_ context.Context, command *cli.Command) error {
		return run(command.String("settings"))
	}}
}
