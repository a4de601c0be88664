package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"gannetline/internal/cluster/peerapi"
	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/control/coordinationapi"
	"gannetline/internal/platform/indentedjson"
)

func locksCommand() *cli.Command {
	return &cli.Command{
		Name: "locks", Usage: "show who holds which lock, and the size of the parts with locks, numbers and keys",
		Description: "`held` is the time that a lock has been held at least; it starts again when another steward takes its part over. Unless it is renewed, a lock is free " +
			"after `remaining`.\nExit codes: 0 all stewards answered, 2 bad usage, 4 one did not answer (the others are still shown), 7 the stewards keep no locks.",
		Flags: append(showFlags(), &cli.BoolFlag{Name: "parts", Usage: "show the parts in place of the locks"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			return showRepeatedly(ctx, command, showLocksOnce)
		},
	}
}

// showLocksOnce asks all stewards and prints the locks or the partitions. If a steward doesn't answer, it prints what the others answer and
// returns an error with the exit code exitNoAnswer. If the stewards keep no locks, the error has the exit code exitOff.
func showLocksOnce(command *cli.Command, contact string, timeout time.Duration) error {
	var reports []wire.CoordinationReport
	isOff := false
	noAnswer, err := askStewards(contact, peerapi.ProcedureCoordination, timeout, &wire.CoordinationCall{},
		func(answer *wire.CoordinationReports) {
			reports = append(reports, answer.Reports...)
			isOff = isOff || answer.IsOff
		})
	if err != nil {
		return err
	}
	if isOff && len(reports) == 0 {
		return cli.Exit(coordinationapi.TextOff, exitOff)
	}
	reports = newestReports(reports)
	out := command.Root().Writer
	switch {
	case command.Bool("json"):
		err = writeReportsJSON(out, reports)
	case command.Bool("parts"):
		err = writeParts(out, reports)
	default:
		err = writeLocks(out, reports)
	}
	if err != nil {
		return err
	}
	return noAnswer
}

// newestReports keeps the report of the latest leader of each key, in the order of the keys.
func newestReports(reports []wire.CoordinationReport) []wire.CoordinationReport {
	slices.SortFunc(reports, func(a, b wire.CoordinationReport) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(b.Epoch, a.Epoch))
	})
	return slices.CompactFunc(reports, func(a, b wire.CoordinationReport) bool { return a.Key == b.Key })
}

func writeReportsJSON(out io.Writer, reports []wire.CoordinationReport) error {
	return indentedjson.Write(out, map[string]any{"parts": reports})
}

func writeLocks(out io.Writer, reports []wire.CoordinationReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "lock\tholder\tfence\theld\tremaining\tpart")
	for _, report := range reports {
		for _, lock := range report.Locks {
			fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\t%s\n", lock.Name, lock.Holder, lock.Fence, seconds(lock.HeldMs), seconds(lock.RemainingMs), report.Key)
		}
	}
	return table.Flush()
}

func writeParts(out io.Writer, reports []wire.CoordinationReport) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "part\tepoch\tlocks\tnumbers\tkeys\tevents\twatchers\tbytes")
	for _, report := range reports {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", report.Key, report.Epoch, len(report.Locks), report.Numbers, report.Cells,
			report.Events, report.Watchers, report.Bytes)
	}
	return table.Flush()
}

// seconds formats a time in milliseconds as seconds with one decimal place.
func seconds(ms int64) string { return fmt.Sprintf("%.1fs", float64(ms)/1000) }
