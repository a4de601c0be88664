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

// stewardVariable is the environment variable with the address of a steward, for commands without --at or --of.
const stewardVariable = "GANNETLINE_STEWARD"

// callFlags returns the flags of all commands that make client calls to stewards.
func callFlags() []cli.Flag {
	return []cli.Flag{&cli.StringSliceFlag{Name: "at", Aliases: []string{"of"}, Sources: cli.EnvVars(stewardVariable),
		Usage: "the control plane of a steward, `ADDRESS` ip:port; may be repeated; by default the seeds of the settings file"}}
}

// seedsOf returns the seeds of the settings file that --settings names, or nil if the file can't be loaded.
func seedsOf(command *cli.Command) []string {
	loaded, err := settings.Load(command.Root().String("settings"))
	if err != nil {
		return nil
	}
	return loaded.Seeds
}

// timeoutFlag returns the flag that limits the time for the client calls of a command, including their retries.
func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Usage: "how long to retry until the outcome is known", Value: 5 * time.Second}
}

// newClient creates a client for the stewards that --at names, or by default for the seeds of the settings file. If a flag is invalid, the
// error names it.
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

// callAction returns an action that checks the number of arguments, and then calls run with a client and a context that ends after --timeout.
// If the outcome of a client call is unknown, the error has the exit code exitNoAnswer.
func callAction(count int, run func(ctx context.Context, caller *client.Client, command *cli.Command) error) cli.ActionFunc {
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
			return cli.Exit(err.Error(), exitNoAnswer)
		}
		return err
	}
}

func numberCommand() *cli.Command {
	return &cli.Command{
		Name: "number", Usage: "draw a number above all numbers drawn before under the same name", ArgsUsage: "NAME",
		Description: "Exit codes: 0 drawn and printed, 1 refused, 2 bad usage, 4 outcome unknown (a number may be skipped), 7 the stewards keep no numbers.",
		Flags:       append(callFlags(), timeoutFlag()),
		Action: callAction(1, func(ctx context.Context, caller *client.Client, command *cli.Command) error {
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
				Description: "Exit codes: 0 printed, 1 there is no such key or it was refused, 2 bad usage, 4 no answer, 7 the stewards keep no keys.",
				Flags:       append(callFlags(), timeoutFlag(), &cli.BoolFlag{Name: "json", Usage: "print value and revision as JSON"}),
				Action:      callAction(1, getKey),
			},
			{
				Name: "put", Usage: "write a value if the key is at the expected revision", ArgsUsage: "NAME VALUE",
				Description: "Prints the new revision. Exit codes: 0 written, 1 refused, 2 bad usage, 3 the key is at another revision (named in the error), " +
					"4 outcome unknown: the value may or may not have been written, 7 the stewards keep no keys.",
				Flags:  append(callFlags(), timeoutFlag(), &cli.Uint64Flag{Name: "revision", Usage: "the revision that the key must have; 0 if it must not exist yet"}),
				Action: callAction(2, putKey),
			},
			{
				Name: "watch", Usage: "print each write to a group of keys", ArgsUsage: "GROUP",
				Description: "A group is the common prefix of key names, up to and including the first dot. Prints a line of JSON for each write, until Ctrl-C.\n" +
					"Exit codes: 1 writes after --after are no longer kept, 2 bad usage.",
				Flags: append(callFlags(), &cli.Uint64Flag{Name: "after", Usage: "start after this `REVISION`; 0 starts with the next write"}),
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
	cell, err := caller.Get(ctx, command.Args().First())
	if err != nil {
		return err
	}
	if !command.Bool("json") {
		fmt.Fprintln(command.Root().Writer, cell.Value)
		return nil
	}
	return json.NewEncoder(command.Root().Writer).Encode(map[string]any{"value": cell.Value, "revision": cell.Revision})
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
