package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"gannetline/internal/platform/logging"
	"gannetline/internal/platform/supervise"
	"gannetline/internal/simulation/hollow"
)

// hollowCommand returns the command that runs simulated executors, each with a local proxy unless the spec says otherwise.
func hollowCommand() *cli.Command {
	return &cli.Command{
		Name: "hollow", Usage: "run many hollow workers in one process, on loopback addresses",
		Description: "Ends when its run time is over, at SIGTERM, or when its standard input is closed. Exit codes: 0 ended, 1 failed, 2 bad input.",
		Flags:       []cli.Flag{&cli.StringFlag{Name: "spec", Usage: "the workers, a JSON `FILE` as tools/first-run.sh writes it", Required: true}},
		Action: func(_ context.Context, command *cli.Command) error {
			spec, settings, err := hollow.LoadSpec(command.String("spec"))
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			ctx, stopSignals := supervise.UntilSignal()
			defer stopSignals()
			go exitAtInputEnd()
			return hollow.Run(ctx, spec, settings, logging.New(os.Stderr, settings[0].LogLevel))
		},
	}
}

// exitAtInputEnd exits the process once its standard input is closed, so that it doesn't outlive the process that started it.
func exitAtInputEnd() {
	io.Copy(io.Discard, os.Stdin)
	os.Exit(0)
}
