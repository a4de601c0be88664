package main

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/cluster/configuration"
)

// rolloutStateCommand returns a command that changes the state of a rollout.
func rolloutStateCommand(name, usage string, change func(progress *configuration.RolloutProgress, by string) error) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "NAME", Description: rolloutExitCodes,
		Flags: append(callFlags(), timeoutFlag(), &cli.StringFlag{Name: "by", Usage: "who requests it", DefaultText: "the user's name"}),
		Action: callAction(1, func(ctx context.Context, caller *client.Client, command *cli.Command) error {
			rollout := command.Args().First()
			err := changeConfiguration(ctx, caller, func(amendment *configuration.Amendment, _ *configuration.Configuration) error {
				current := amendment.Rollout(rollout)
				if current == nil {
					return errors.Annotatef(configuration.ErrNoRollout, "%q", rollout)
				}
				progress := current.Progress()
				if err := change(&progress, requester(command)); err != nil {
					return err
				}
				amendment.SetProgress(rollout, progress)
				return nil
			})
			if err == nil {
				fmt.Fprintf(command.Root().Writer, "rollout %s: %s\n", rollout, name)
			}
			return err
		}),
	}
}

// errRolloutOver refuses to abort a rollout that has ended.
const errRolloutOver = errors.ConstError("the rollout is over")

func pauseRollout(progress *configuration.RolloutProgress, by string) error {
	if progress.State != configuration.RolloutWidening {
		return errors.Errorf("only a rollout that widens can be paused, this one is %q", progress.State)
	}
	progress.State, progress.Reason = configuration.RolloutPaused, "paused by "+by
	return nil
}

func resumeRollout(progress *configuration.RolloutProgress, _ string) error {
	if progress.State != configuration.RolloutPaused {
		return errors.Errorf("only a paused rollout can be resumed, this one is %q", progress.State)
	}
	progress.State, progress.Reason = configuration.RolloutWidening, ""
	return nil
}

func abortRollout(progress *configuration.RolloutProgress, by string) error {
	if progress.State.IsOver() {
		return errRolloutOver
	}
	progress.State, progress.Reason = configuration.RolloutRolledBack, "aborted by "+by
	return nil
}

// maxChangeAttempts limits the attempts at a change whose configuration others keep changing.
const maxChangeAttempts = 5

// changeConfiguration applies a change to the configuration in force. If another operator or the leader has changed the configuration in the
// meantime, it applies the change to the newer version, with maxChangeAttempts attempts in all.
func changeConfiguration(ctx context.Context, caller *client.Client, change func(*configuration.Amendment, *configuration.Configuration) error) error {
	for attempt := 1; ; attempt++ {
		current, err := caller.Configuration(ctx)
		if err != nil {
			return err
		}
		decoded, err := configuration.Read(current)
		if err != nil {
			return err
		}
		amendment := configuration.Amend(current)
		if err := change(amendment, decoded); err != nil {
			return err
		}
		body, err := amendment.Body()
		if err != nil {
			return err
		}
		err = caller.ReplaceConfiguration(ctx, amendment.Base(), body)
		if !errors.Is(err, client.ErrVersionConflict) || attempt == maxChangeAttempts {
			return err
		}
	}
}
