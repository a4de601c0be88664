// Gannetline is a cluster scheduler for jobs. Each role of a process and each tool for operators is a subcommand.
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

// The exit codes, as docs/operators.md lists them. The commands lock and elect also exit with the code of the command that they run.
const (
	// exitFailed stands for a failure without a code of its own, and for a refused call.
	exitFailed = 1
	// exitUsage stands for invalid arguments or input.
	exitUsage = 2
	// exitDiffers stands for differences between nodes, a revision conflict, or a change that makes a rehearsed day worse.
	exitDiffers = 3
	// exitNoAnswer stands for a process that didn't answer, or a call with unknown outcome.
	exitNoAnswer = 4
	// exitLockLost stands for a lock that was lost while its command ran.
	exitLockLost = 5
	// exitNotFree stands for a lock that could not be acquired within --wait.
	exitNotFree = 6
	// exitOff stands for a service that the stewards don't offer (active-contracts).
	exitOff = 7
)

func main() {
	if err := newApplication().Run(context.Background(), os.Args); err != nil {
		os.Exit(reportError(err))
	}
}

// newApplication creates the command line with a subcommand for each role and each tool.
func newApplication() *cli.Command {
	return &cli.Command{
		Name:  "gannetline",
		Usage: "a cluster scheduler for jobs",
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "the settings `FILE`", Value: settings.Path()}},
		Commands: []*cli.Command{
			roleCommand("gate", "serve clients on an edge machine", roles.Gate),
			roleCommand("steward", "replicate control keys and schedule pools of executors", roles.Steward),
			roleCommand("storage", "keep lots on a storage machine and have executors run their items", roles.Storage),
			roleCommand("local-proxy", "run beside the executor of a side machine and carry out its orders", roles.LocalProxy),
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

// reportError prints an error unless its text is empty, and returns the exit code.
func reportError(err error) int {
	if err.Error() != "" {
		fmt.Fprintln(os.Stderr, "gannetline:", err)
	}
	return exitCodeOf(err)
}

// exitCodeOf returns the exit code for an error.
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

// roleCommand returns a command that runs a role until SIGTERM or SIGINT.
func roleCommand(name, usage string, run func(path string, options ...roles.Option) error) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Action: func(_ context.Context, command *cli.Command) error {
		return run(command.String("settings"))
	}}
}
