package main

import (
	"context"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/multierr"

	"gannetline/internal/scheduling/recording"
	"gannetline/internal/simulation/rehearsal"
)

func rehearseCommand() *cli.Command {
	return &cli.Command{
		Name: "rehearse", Usage: "replay a recorded day with and without a proposed change, and compare", ArgsUsage: "RECORDING...",
		Description: "Exit codes: 0 nothing is worse under the change, 2 bad input, 3 a job comes late, is lost or runs twice only under the change.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "change", Usage: "the proposed change, a YAML `FILE`"},
			&cli.StringFlag{Name: "rollout", Usage: "a rollout of a new version, a YAML `FILE`"},
			&cli.StringFlag{Name: "plot", Usage: "`FILE` for an SVG picture of the rollout's progress"},
			&cli.StringSliceFlag{Name: "fault", Usage: "a fault during the day, `KIND:TARGET:AT-MS[:FOR-MS]` (kill, cut, freeze, wipe, drain, slow)"},
			&cli.Uint64Flag{Name: "seed", Usage: "the seed of all random choices", Value: 1},
			&cli.DurationFlag{Name: "horizon", Usage: "how long after the last event a job may still end", Value: time.Minute},
			&cli.BoolFlag{Name: "lenient", Usage: "skip and count broken lines"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			setup, err := rehearsalSetup(command)
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			report, err := rehearsal.Rehearse(setup)
			if err != nil {
				return cli.Exit(err.Error(), exitUsage)
			}
			if err := report.Write(os.Stdout, command.Bool("json")); err != nil {
				return err
			}
			if err := writePlot(command.String("plot"), report.Rollout); err != nil {
				return err
			}
			if len(report.Worse) > 0 {
				return cli.Exit("", exitDiffers)
			}
			return nil
		},
	}
}

// writePlot writes an SVG picture of the rollout's progress to a file. It does nothing if path is empty.
func writePlot(path string, samples []rehearsal.RolloutSample) (err error) {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = multierr.Append(err, file.Close()) }()
	rehearsal.WritePlot(file, samples)
	return nil
}

// rehearsalSetup reads the flags, the recordings and the other input files of a rehearsal.
func rehearsalSetup(command *cli.Command) (rehearsal.Setup, error) {
	setup := rehearsal.Setup{Change: &rehearsal.Change{}, Seed: command.Uint64("seed"), Horizon: command.Duration("horizon")}
	if command.Args().Len() == 0 {
		return setup, cli.Exit("rehearse takes at least one recording", exitUsage)
	}
	var err error
	if path := command.String("change"); path != "" {
		if setup.Change, err = rehearsal.LoadChange(path); err != nil {
			return setup, err
		}
	}
	if path := command.String("rollout"); path != "" {
		if setup.Rollout, err = rehearsal.LoadRollout(path); err != nil {
			return setup, err
		}
	}
	if command.String("plot") != "" && setup.Rollout == nil {
		return setup, errors.New("--plot needs --rollout")
	}
	for _, text := range command.StringSlice("fault") {
		fault, err := rehearsal.ParseFault(text)
		if err != nil {
			return setup, err
		}
		setup.Faults = append(setup.Faults, fault)
	}
	setup.Day, err = recording.ReadFiles(command.Args().Slice(), command.Bool("lenient"))
	return setup, err
}
