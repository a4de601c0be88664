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
		Name: "start", Usage: "request a rollout", ArgsUsage: "NAME",
		Description: "The leader of the configuration begins it once the new version has executors. It takes the next step once the current one has lasted long enough, " +
			"enough jobs have ended and the new version is within the bounds. At least one bound is required: --failures, --late or --run-time-factor.\n" + rolloutExitCodes,
		Flags: append(callFlags(), timeoutFlag(),
			&cli.StringFlag{Name: "route", Usage: "the `ROUTE` whose jobs get the new version"},
			&cli.StringFlag{Name: "to", Usage: "the `SERVICE` that runs the new version"},
			&cli.StringSliceFlag{Name: "step", Usage: "`SHARE[:TIME[:JOBS]]`: a share of the jobs, the minimum time and the minimum number of ended jobs; may be repeated",
				Value: []string{"0.05:1m:50", "0.25:1m:100", "1:1m:100"}},
			&cli.FloatFlag{Name: "failures", Usage: "the share of jobs and runs that may fail beyond that of the old version"},
			&cli.FloatFlag{Name: "late", Usage: "the share of jobs that may miss their target beyond that of the old version"},
			&cli.FloatFlag{Name: "run-time-factor", Usage: "the allowed run time, as a multiple of that of the old version"},
			&cli.FloatFlag{Name: "false-alarm", Usage: "the accepted probability of rolling back a version that is within the bounds", Value: configuration.DefaultFalseAlarm},
			&cli.Int64Flag{Name: "min-jobs", Usage: "how many jobs of the new version must have ended before it is judged", Value: configuration.DefaultMinJobs},
			&cli.BoolFlag{Name: "stop", Usage: "if the new version is rolled back, stop its runs that may be repeated"},
			&cli.StringFlag{Name: "by", Usage: "who requests it", DefaultText: "the user's name"}),
		Action: callAction(1, startRollout),
	}
}

func startRollout(ctx context.Context, caller *client.Client, command *cli.Command) error {
	rollout, err := rolloutFrom(command)
	if err != nil {
		return err
	}
	err = changeConfiguration(ctx, caller, func(amendment *configuration.Amendment, current *configuration.Configuration) error {
		if amendment.Rollout(rollout.Name) != nil {
			return errors.Errorf("there is a rollout %q already", rollout.Name)
		}
		for _, route := range current.Routes {
			if route.Name == rollout.Route {
				rollout.From = route.Service
			}
		}
		amendment.AddRollout(rollout)
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(command.Root().Writer, "rollout %s is asked for: %s of route %s, from %s\n", rollout.Name, rollout.To, rollout.Route, rollout.From)
	return nil
}

// rolloutFrom reads a rollout from the arguments and flags. If a flag is invalid, the error names it.
func rolloutFrom(command *cli.Command) (*configuration.Rollout, error) {
	rollout := &configuration.Rollout{Name: command.Args().First(), Route: command.String("route"), To: command.String("to"), RequestedBy: requester(command),
		Bounds: configuration.RolloutBounds{Failures: command.Float("failures"), Late: command.Float("late"), RunTimeFactor: command.Float("run-time-factor"),
			FalseAlarm: command.Float("false-alarm"), MinJobs: command.Int64("min-jobs")}}
	if command.Bool("stop") {
		rollout.OnRollback = configuration.RollbackStop
	}
	for flag, value := range map[string]string{"route": rollout.Route, "to": rollout.To} {
		if value == "" {
			return nil, cli.Exit("--"+flag+" must be given", exitUsage)
		}
	}
	for flag, share := range map[string]float64{"failures": rollout.Bounds.Failures, "late": rollout.Bounds.Late, "false-alarm": rollout.Bounds.FalseAlarm} {
		if !(share >= 0 && share <= 1) {
			return nil, cli.Exit(fmt.Sprintf("--%s must be from 0 to 1", flag), exitUsage)
		}
	}
	if factor := rollout.Bounds.RunTimeFactor; factor != 0 && !(factor >= 1) {
		return nil, cli.Exit("--run-time-factor must be 1 or more", exitUsage)
	}
	if rollout.Bounds.Failures == 0 && rollout.Bounds.Late == 0 && rollout.Bounds.RunTimeFactor == 0 {
		return nil, cli.Exit("one of --failures, --late and --run-time-factor must be given", exitUsage)
	}
	return rollout, parseSteps(rollout, command.StringSlice("step"))
}

// A step has up to three fields: a share, a minimum time and a minimum number of jobs. The last two are optional.
const (
	stepSeparator = ":"
	maxStepFields = 3
)

// parseSteps parses steps of the form SHARE, SHARE:TIME or SHARE:TIME:JOBS and adds them to the rollout. Shares must increase up to 1.
func parseSteps(rollout *configuration.Rollout, texts []string) error {
	lastShare := 0.0
	for _, text := range texts {
		step, err := parseStep(text)
		if err != nil {
			return cli.Exit(fmt.Sprintf("--step %q is not SHARE[:TIME[:JOBS]]: %v", text, err), exitUsage)
		}
		if !(step.Share > lastShare && step.Share <= 1) {
			return cli.Exit("--step: shares must rise, and be above 0 and at most 1", exitUsage)
		}
		lastShare = step.Share
		rollout.Steps = append(rollout.Steps, step)
	}
	if lastShare != 1 {
		return cli.Exit("--step: the last share must be 1", exitUsage)
	}
	return nil
}

// errTooManyFields refuses a step with more than three fields.
const errTooManyFields = errors.ConstError("too many fields")

func parseStep(text string) (step configuration.RolloutStep, err error) {
	fields := strings.Split(text, stepSeparator)
	if len(fields) > maxStepFields {
		return step, errTooManyFields
	}
	if step.Share, err = strconv.ParseFloat(fields[0], 64); err != nil {
		return step, err
	}
	if len(fields) > 1 {
		minTime, err := time.ParseDuration(fields[1])
		if err != nil {
			return step, err
		}
		step.MinTimeS = minTime.Seconds()
	}
	if len(fields) > 2 {
		step.MinJobs, err = strconv.ParseInt(fields[2], 10, 64)
	}
	return step, err
}

// requester returns the value of --by, or the name of the current user if it isn't set.
func requester(command *cli.Command) string {
	if by := command.String("by"); by != "" {
		return by
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return ""
}
