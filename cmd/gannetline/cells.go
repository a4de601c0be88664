package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gannetline/client"
	"gannetline/internal/platform/settings"
)

// stewardVariable is the environment variable with the address of a steward, for commands that are given none.
const stewardVariable = "GANNETLINE_STEWARD"

// callFlags are those of all commands that make calls as applications do.
func callFlags() []cli.Flag {
	return []cli.Flag{&cli.StringSliceFlag{Name: "at", Aliases: []string{"of"}, Sources: cli.EnvVars(stewardVariable),
		Usage: "the control plane of a steward, `ADDRESS` ip:port; may be repeated. Left out: a seed of the settings file"}}
}

// seedsOf are the seeds of the settings file that a command names, none if there is no such file.
func seedsOf(command *cli.Command) []string {
	known, err := settings.Load(command.Root().String("settings"))
	if err != nil {
		return nil
	}
	return known.Seeds
}

// timeoutFlag bounds a command that makes one call.
func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Usage: "how long to ask for a clear answer", Value: 5 * time.Second}
}

// newClient makes the client of a command; an error names the flag that is wrong.
func newClient(command *cli.Command) (*client.Client, error) {
	addresses := command.StringSlice("at")
	for _, address := range addresses {
		if !isAddress(address) {
			return nil, cli.Exit(fmt.Sprintf("--at %q is not ip:port", address), exitUsage)
		}
	}
	if len(addresses) == 0 {
		addresses = seedsOf(command)
	}
	if len(addresses) == 0 {
		return nil, cli.Exit("--at must name a steward, or "+stewardVariable+", or --settings a file with seed-nodes", exitUsage)
	}
	return client.New(addresses)
}

// withCall runs one call with the arguments of a command, within --timeout.
func withCall(count int, run func(ctx context.Context, caller *client.Client, command *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		if command.Args().Len() != count {
			return cli.Exit(fmt.Sprintf("%s takes %s", command.Name, command.ArgsUsage), exitUsage)
		}
		caller, err := newClient(command)
		if err != nil {
			return err
		}
		timeout := command.Duration("timeout")
		if timeout <= 0 {
			return cli.Exit("--timeout must be above 0", exitUsage)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		err = run(ctx, caller, command)
		if errors.Is(err, client.ErrNoAnswer) {
			return cli.Exit(err.Error(), exitSilent)
		}
		return err
	}
}

func numberCommand() *cli.Command {
	return &cli.Command{
		Name: "number", Usage: "draw a number above all that were drawn under a name", ArgsUsage: "NAME",
		Description: "Exit codes: 0 drawn and printed, 1 refused, 2 bad usage, 4 no clear answer (a number may be lost; that is a gap), 7 the stewards keep no numbers.",
		Flags:       append(callFlags(), timeoutFlag()),
		Action: withCall(1, func(ctx context.Context, caller *client.Client, command *cli.Command) error {
			number, err := caller.Number(ctx, command.Args().First())
			if err != nil {
				return err
			}
			fmt.Fprintln(command.Root().Writer, number)
			return nil
		}),
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "read, change and watch small keys (cells)",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the value of a key", ArgsUsage: "NAME",
				Description: "Exit codes: 0 printed, 1 there is no such key or it was refused, 2 bad usage, 4 no clear answer, 7 the stewards keep no keys.",
				Flags:       append(callFlags(), timeoutFlag(), &cli.BoolFlag{Name: "json", Usage: "print value and revision as JSON"}),
				Action:      withCall(1, getKey),
			},
			{
				Name: "put", Usage: "put a value into a key that is at a revision", ArgsUsage: "NAME VALUE",
				Description: "Prints the new revision. Exit codes: 0 put, 1 refused, 2 bad usage, 3 the key is at another revision (named in the error), " +
					"4 no clear answer: it may have been put or not, 7 the stewards keep no keys.",
				Flags:  append(callFlags(), timeoutFlag(), &cli.Uint64Flag{Name: "revision", Usage: "the revision that the key must have; 0: there must be none"}),
				Action: withCall(2, putKey),
			},
			{
				Name: "watch", Usage: "print each put in a group of keys", ArgsUsage: "GROUP",
				Description: "A group is what names of keys begin with, up to and with the first dot. Prints a line of JSON for each put, until Ctrl-C.\n" +
					"Exit codes: 1 puts after --after are no longer kept, 2 bad usage.",
				Flags: append(callFlags(), &cli.Uint64Flag{Name: "after", Usage: "begin after this `REVISION`; 0: with the next put"}),
				Action: func(ctx context.Context, command *cli.Command) error {
					if command.Args().Len() != 1 {
						return cli.Exit("watch takes GROUP", exitUsage)
					}
					caller, err := newClient(command)
					if err != nil {
						return err
					}
					return watchKeys(ctx, caller, command)
				},
			},
		},
	}
}

func getKey(ctx context.Context, caller *client.Client, command *cli.Command) error {
	held, err := caller.Get(ctx, command.Args().First())
	if err != nil {
		return err
	}
	if !command.Bool("json") {
		fmt.Fprintln(command.Root().Writer, held.Value)
		return nil
	}
	return json.NewEncoder(command.Root().Writer).Encode(map[string]any{"value": held.Value, "revision": held.Revision})
}

func putKey(ctx context.Context, caller *client.Client, command *cli.Command) error {
	revision, err := caller.Put(ctx, command.Args().Get(0), command.Args().Get(1), command.Uint64("revision"))
	var conflict *client.ConflictError
	if errors.As(err, &conflict) {
		return cli.Exit(fmt.Sprintf("the key is at revision %d", conflict.Revision), exitDiffers)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(command.Root().Writer, revision)
	return nil
}

func watchKeys(ctx context.Context, caller *client.Client, command *cli.Command) error {
	group, after := command.Args().First(), command.Uint64("after")
	if after == 0 {
		var err error
		if after, err = caller.Revision(ctx, group); err != nil {
			return err
		}
	}
	out := json.NewEncoder(command.Root().Writer)
	return caller.Follow(ctx, group, after, func(events []client.Event) error {
		for _, event := range events {
			if err := out.Encode(&event); err != nil {
				return err
			}
		}
		return nil
	})
}
