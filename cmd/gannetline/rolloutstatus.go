package main

import (
	"context"
	"fmt"

	"github.com/juju/errors"
	"github.com/mailru/easyjson"
	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/cluster/configuration"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/cluster/rolloutview"
)

func rolloutStatusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show the progress of rollouts, and the figures by which they are judged", ArgsUsage: "[NAME]",
		Description: "Exit codes: 0 shown, 1 there is no such rollout, 2 bad usage, 4 no answer.",
		Flags: append(callFlags(), timeoutFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "watch", Usage: "repeat the output every `DURATION`, until Ctrl-C"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			watch := command.Duration("watch")
			switch {
			case command.Args().Len() > 1:
				return cli.Exit("status takes [NAME]", exitUsage)
			case command.IsSet("watch") && watch < minWatchInterval:
				return cli.Exit(fmt.Sprintf("--watch must be at least %s", minWatchInterval), exitUsage)
			}
			caller, err := newClient(command)
			if err != nil {
				return err
			}
			return repeat(ctx, watch, func() error { return showRollouts(ctx, caller, command) })
		},
	}
}

// showRollouts prints the state of one or all rollouts once.
func showRollouts(ctx context.Context, caller *client.Client, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration("timeout"))
	defer cancel()
	body, err := caller.Rollouts(ctx)
	if errors.Is(err, client.ErrNoAnswer) {
		return cli.Exit(err.Error(), exitNoAnswer)
	}
	if err != nil {
		return err
	}
	status := &wire.RolloutsStatus{}
	if err := easyjson.Unmarshal(body, status); err != nil {
		return err
	}
	if name := command.Args().First(); name != "" {
		status = rolloutview.FilterByName(status, name)
		if len(status.Rollouts) == 0 {
			return errors.Annotatef(configuration.ErrNoRollout, "%q", name)
		}
	}
	if command.Bool("json") {
		return rolloutview.WriteJSON(command.Root().Writer, status)
	}
	return rolloutview.WriteTable(command.Root().Writer, status)
}
