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
		Name: "metrics", Usage: "show the metrics of processes side by side",
		Description: "Exit codes: 0 all answered, 2 bad usage, 4 a process did not answer (the others are still shown).",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "at", Usage: "a process's internal `ADDRESS`, ip:port; may be repeated"},
			&cli.StringFlag{Name: "of", Usage: "ask all members that the process at `ADDRESS` knows, and sum by role"},
			&cli.StringFlag{Name: "match", Usage: "only metrics whose name or labels contain the `TEXT`"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long to wait for the answer of a process", Value: 3 * time.Second},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			processes, err := processesToAsk(command)
			if err != nil {
				return err
			}
			columns, noAnswer := fetchMetrics(processes, command.Duration("timeout"))
			if err := metrics.NewTable(columns, command.String("match")).Write(command.Root().Writer, command.Bool("json")); err != nil {
				return err
			}
			return noAnswer
		},
	}
}

// process is a process to ask. column names the table column that its metrics are added to: its address, or its role if the members of another
// process are asked.
type process struct{ address, column string }

// processesToAsk returns the processes that the flags name. If a flag is invalid, the error has the exit code exitUsage.
func processesToAsk(command *cli.Command) ([]process, error) {
	addresses, contact := command.StringSlice("at"), command.String("of")
	if (len(addresses) == 0) == (contact == "") || command.Args().Len() > 0 {
		return nil, cli.Exit("metrics takes either --at, once or several times, or --of", exitUsage)
	}
	if command.Duration("timeout") <= 0 {
		return nil, cli.Exit("--timeout must be above 0", exitUsage)
	}
	if contact != "" {
		if !isAddress(contact) {
			return nil, cli.Exit("--of "+contact+" is not ip:port", exitUsage)
		}
		return membersOf(contact, command.Duration("timeout"))
	}
	var processes []process
	for _, address := range addresses {
		if !isAddress(address) {
			return nil, cli.Exit("--at "+address+" is not ip:port", exitUsage)
		}
		processes = append(processes, process{address, address})
	}
	return processes, nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}

// membersOf returns the members that the process at contact knows, sorted by role, without those that are gone. The column of each is its role.
func membersOf(contact string, timeout time.Duration) ([]process, error) {
	beliefs, err := comparenodes.RetrieveBeliefs(contact, timeout)
	if err != nil {
		return nil, cli.Exit("no answer: "+err.Error(), exitNoAnswer)
	}
	var processes []process
	for _, member := range beliefs.Members {
		if member.State != wire.StateGone {
			processes = append(processes, process{member.Address, member.Role})
		}
	}
	slices.SortStableFunc(processes, func(a, b process) int { return cmp.Compare(a.column, b.column) })
	return processes, nil
}

// fetchMetrics asks all processes concurrently and sums the metrics of each column. noAnswer is nil if all processes answered. Otherwise it is
// an exit error that names those that didn't.
func fetchMetrics(processes []process, timeout time.Duration) (columns []metrics.Column, noAnswer error) {
	client := peerapi.Client(timeout, 1)
	outcomes := askAll(processes, func(from process) (metrics.Samples, error) {
		return metrics.Fetch(client, from.address, timeout)
	})
	sums := map[string]metrics.Samples{}
	noAnswer = handleAnswers(processes, outcomes, func(from process, answer metrics.Samples) {
		if sums[from.column] == nil {
			sums[from.column] = metrics.Samples{}
			columns = append(columns, metrics.Column{Name: from.column, Samples: sums[from.column]})
		}
		sums[from.column].Add(answer)
	})
	return columns, noAnswer
}
