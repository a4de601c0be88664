package main

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/comparenodes"
	"gannetline/internal/metrics"
	"gannetline/internal/peerapi"
	"gannetline/internal/span"
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
		Action: func(_ span.Span, command *cli.Command) error {
			asked, err := processesToAsk(command)
			if err != nil {
				return err
			}
			columns, silent := askMetrics(asked, command.Duration("timeout"))
			if err := metrics.NewTable(columns, command.String("match")).Write(command.Root().Writer, command.Bool("json")); err != nil {
				return err
			}
			if len(silent) > 0 {
				return cli.Exit("no answer: "+strings.Join(silent, "; "), exitSilent)
			}
			return nil
		},
	}
}

// process is one to be asked, and the column its counts go to.
type process struct{ address, column string }

func processesToAsk(command *cli.Command) ([]process, error) {
	addresses, teller := command.StringSlice("at"), command.String("of")
	if (len(addresses) == 0) == (teller == "") || command.Args().Len() > 0 {
		return nil, cli.Exit("metrics takes either --at, once or several times, or --of", exitUsage)
	}
	if command.Duration("timeout") <= 0 {
		return nil, cli.Exit("--timeout must be above 0", exitUsage)
	}
	if teller != "" {
		if !isAddress(teller) {
			return nil, cli.Exit("--of "+teller+" is not ip:port", exitUsage)
		}
		return membersOf(teller, command.Duration("timeout"))
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

// membersOf gives the processes that one of them believes to be there, with their roles.
func membersOf(teller string, limit time.Duration) ([]process, error) {
	beliefs, err := comparenodes.Ask(teller, limit)
	if err != nil {
		return nil, cli.Exit("no answer: "+err.Error(), exitSilent)
	}
	var asked []process
	for _, member := range beliefs.Members {
		if member.State != peerapi.StateGone {
			asked = append(asked, process{member.Address, member.Role})
		}
	}
	slices.SortStableFunc(asked, func(one, two process) int { return cmp.Compare(one.column, two.column) })
	return asked, nil
}

// askMetrics asks all at once; processes of one column are summed.
func askMetrics(asked []process, limit time.Duration) (columns []metrics.Column, silent []string) {
	type told struct {
		samples metrics.Samples
		err     error
	}
	client := peerapi.Client(limit, 1)
	heard := make([]chan told, len(asked))
	for place, one := range asked {
		heard[place] = make(chan told, 1)
		go func() {
			samples, err := metrics.Fetch(client, one.address, limit)
			heard[place] <- told{samples, err}
		}()
	}
	sums := map[string]metrics.Samples{}
	for place, one := range asked {
		answer := <-heard[place]
		if answer.err != nil {
			silent = append(silent, answer.err.Error())
			continue
		}
		if sums[one.column] == nil {
			sums[one.column] = metrics.Samples{}
			columns = append(columns, metrics.Column{Name: one.column, Samples: sums[one.column]})
		}
		sums[one.column].Add(answer.samples)
	}
	return columns, silent
}
