package main

import (
	"cmp"
	"context"
	"net"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/comparenodes"
	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/metrics"
)

func metricsCommand() *cli.Command {
	return &cli.Command{
		Name: "metrics", Usage: "show what processes have counted, side by side",
		Description: "Exit codes: 0 all answered, 2 bad usage, 4 a process did not answer (the others are shown all the same).",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "a process's internal `ADDRESS`, ip:port; may be given again"},
			&cli.StringFlag{Name: "of", Usage: "ask all members that the process at `ADDRESS` knows, and sum by role"},
			&cli.StringFlag{Name: "match", Usage: "only metrics whose name or labels hold the `TEXT`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long a process may take", Value: 3 * time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			asked, err := processesToAsk(command)
			if err != nil {
				return err
			}
			columns, silent := askMetrics(asked, command.Duration("timeout"))
			if err := metrics.NewTable(columns, command.String("match")).Write(command.Root().Writer, command.Bool("json")); err != nil {
				return err
			}
			return silent
		},
	}
}

// process is one to be asked, and the column its counts go to.
type process struct{ address, column string }

// processesToAsk reads who is to be asked from the options; a fault of them is an exit with exitUsage.
func processesToAsk(command *cli.Command) ([]process, error) {
	addresses, known := command.StringSlice("at"), command.String("of")
	if (len(addresses) == 0) == (known == "") || command.Args().Len() > 0 {
		return nil, cli.Exit("metrics takes either --at, once or several times, or --of", exitUsage)
	}
	if command.Duration("timeout") <= 0 {
		return nil, cli.Exit("--timeout must be above 0", exitUsage)
	}
	if known != "" {
		if !isAddress(known) {
			return nil, cli.Exit("--of "+known+" is not ip:port", exitUsage)
		}
		return membersOf(known, command.Duration("timeout"))
	}
	var asked []process
	for _, address := range addresses {
		if !isAddress(address) {
			return nil, cli.Exit("--at "+address+" is not ip:port", exitUsage)
		}
		asked = append(asked, process{address, address})
	}
	return asked, nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// membersOf gives the processes that the one at an address believes to be there, with their roles.
func membersOf(address string, limit time.Duration) ([]process, error) {
	beliefs, err := comparenodes.RetrieveBeliefs(address, limit)
	if err != nil {
		return nil, cli.Exit("no answer: "+err.Error(), exitSilent)
	}
	var asked []process
	for _, member := range beliefs.Members {
		if member.State != wire.StateGone {
			asked = append(asked, process{member.Address, member.Role})
		}
	}
	slices.SortStableFunc(asked, func(a, b process) int { return cmp.Compare(a.column, b.column) })
	return asked, nil
}

// askMetrics asks all at once; processes of one column are summed. The error is an exit that names those that did not answer.
func askMetrics(asked []process, limit time.Duration) (columns []metrics.Column, silent error) {
	client := peerapi.Client(limit, 1)
	outcomes := askAll(asked, func(from process) (metrics.Samples, error) {
		return metrics.Fetch(client, from.address, limit)
	})
	sums := map[string]metrics.Samples{}
	silent = eachAnswer(asked, outcomes, func(from process, answer metrics.Samples) {
		if sums[from.column] == nil {
			sums[from.column] = metrics.Samples{}
			columns = append(columns, metrics.Column{Name: from.column, Samples: sums[from.column]})
		}
		sums[from.column].Add(answer)
	})
	return columns, silent
}
