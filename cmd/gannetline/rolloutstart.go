package main

import (
	"context"
	"fmt"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/cluster/configuration"
)

func rolloutStartCommand() *cli.Command {
	return &cli.Command{
		Name: "start", Usage: "ask for a rollout", ArgsUsage: "NAME",
		Description: "The leader of the configuration begins it once the new version has executors, and takes each step once the one before has lasted " +
			"and enough jobs have ended well. At least one bound must be agreed on: --failures, --late or --run-time-factor.\n" + rolloutExitCodes,
		Flags: append(callFlags(), timeoutFlag(),
			&cli.StringFlag{Name: "route", Usage: "the `ROUTE` whose jobs it is about"},
			&cli.StringFlag{Name: "to", Usage: "the `SERVICE` that runs the new version"},
			&cli.StringSliceFlag{Name: "step", Usage: "`SHARE[:TIME[:JOBS]]`: a share of the jobs, how long and for how many ended jobs at least; may be repeated",
				Value: []string{"0.05:1m:50", "0.25:1m:100", "1:1m:100"}},
			&cli.FloatFlag{Name: "failures", Usage: "the share of jobs and runs that may fail beyond that of the old version"},
			&cli.FloatFlag{Name: "late", Usage: "the share of jobs that may miss their target beyond that of the old version"},
			&cli.FloatFlag{Name: "run-time-factor", Usage: "how many times as long runs may take as those of the old version"},
			&cli.FloatFlag{Name: "false-alarm", Usage: "the chance of turning back a version within the bounds", Value: configuration.DefaultFalseAlarm},
			&cli.Int64Flag{Name: "min-jobs", Usage: "how many jobs of the new version must have ended before it is judged", Value: configuration.DefaultMinJobs},
			&cli.BoolFlag{Name: "stop", Usage: "once it is turned back, stop runs that may run again"},
			&cli.StringFlag{Name: "by", Usage: "who asks for it", DefaultText: "the user's name"}),
		Action: withCall(1, startRollout),
	}
}

func startRollout(ctx context.Context, caller *client.Client, command *cli.Command) error {
	asked, err := rolloutFrom(command)
	if err != nil {
		return err
	}
	err = changeConfiguration(ctx, caller, func(amendment *configuration.Amendment, current *configuration.Configuration) error {
		if amendment.Rollout(asked.Name) != nil {
			return errors.Errorf("there is a rollout %q already", asked.Name)
		}
		for _, route := range current.Routes {
			if route.Name == asked.Route {
				asked.From = route.Service
			}
		}
		amendment.AddRollout(asked)
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(command.Root().Writer, "rollout %s is asked for: %s of route %s, from %s\n", asked.Name, asked.To, asked.Route, asked.From)
	return nil
}

// rolloutFrom reads a rollout from the flags; an error names the flag that is wrong.
func rolloutFrom(command *cli.Command) (*configuration.Rollout, error) {
	asked := &configuration.Rollout{Name: command.Args().First(), Route: command.String("route"), To: command.String("to"), RequestedBy: requester(command),
		Bounds: configuration.RolloutBounds{Failures: command.Float("failures"), Late: command.Float("late"), RunTimeFactor: command.Float("run-time-factor"),
			FalseAlarm: command.Float("false-alarm"), MinJobs: command.Int64("min-jobs")}}
	if command.Bool("stop") {
		asked.OnTurnBack = configuration.TurnBackStop
	}
	for flag, value := range map[string]string{"route": asked.Route, "to": asked.To} {
		if value == "" {
			return nil, cli.Exit("--"+flag+" must be given", exitUsage)
		}
	}
	for flag, share := range map[string]float64{"failures": asked.Bounds.Failures, "late": asked.Bounds.Late, "false-alarm": asked.Bounds.FalseAlarm} {
		if !(share >= 0 && share <= 1) {
			return nil, cli.Exit(fmt.Sprintf("--%s must be from 0 to 1", flag), exitUsage)
		}
	}
	if factor := asked.Bounds.RunTimeFactor; factor != 0 && !(factor >= 1) {
		return nil, cli.Exit("--run-time-factor must be 1 or more", exitUsage)
	}
	if asked.Bounds.Failures == 0 && asked.Bounds.Late == 0 && asked.Bounds.RunTimeFactor == 0 {
		return nil, cli.Exit("one of --failures, --late and --run-time-factor must be given", exitUsage)
	}
	return asked, readSteps(asked, command.StringSlice("step"))
}

// The words of a step: a share, and after it a time and a number of jobs, both of which may be left out.
const (
	stepSeparator = ":"
	maxStepWords  = 3
)

// readSteps reads steps of the form SHARE, SHARE:TIME or SHARE:TIME:JOBS.
func readSteps(asked *configuration.Rollout, words []string) error {
	before := 0.0
	for _, word := range words {
		step, err := readStep(word)
		if err != nil {
			return cli.Exit(fmt.Sprintf("--step %q is not SHARE[:TIME[:JOBS]]: %v", word, err), exitUsage)
		}
		if !(step.Share > before && step.Share <= 1) {
			return cli.Exit("--step: shares must rise, and be above 0 and at most 1", exitUsage)
		}
		before = step.Share
		asked.Steps = append(asked.Steps, step)
	}
	if before != 1 {
		return cli.Exit("--step: the last share must be 1", exitUsage)
	}
	return nil
}

// errManyWords refuses a step with more than its three words.
const errManyWords = errors.ConstError("too many words")

func readStep(word string) (step configuration.RolloutStep, err error) {
	words := strings.Split(word, stepSeparator)
	if len(words) > maxStepWords {
		return step, errManyWords
	}
	if step.Share, err = strconv.ParseFloat(words[0], 64); err != nil {
		return step, err
	}
	if len(words) > 1 {
		length, err := time.ParseDuration(words[1])
		if err != nil {
			return step, err
		}
		step.MinTimeS = length.Seconds()
	}
	if len(words) > 2 {
		step.MinJobs, err = strconv.ParseInt(words[2], 10, 64)
	}
	return step, err
}

// requester is who asks, by the flag or by the user's name.
func requester(command *cli.Command) string {
	if by := command.String("by"); by != "" {
		return by
	}
	if known, err := user.Current(); err == nil {
		return known.Username
	}
	return ""
}
