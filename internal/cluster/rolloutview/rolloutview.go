// Package rolloutview shows an operator how rollouts stand.
package rolloutview

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/indentedjson"
)

// barWidth is how many marks stand for a share of 1.
const barWidth = 20

// Only gives the rollout of a name alone.
func Only(status *wire.RolloutsStatus, name string) *wire.RolloutsStatus {
	only := &wire.RolloutsStatus{Version: status.Version, Rollouts: []wire.RolloutStatus{}}
	for _, rollout := range status.Rollouts {
		if rollout.Name == name {
			only.Rollouts = append(only.Rollouts, rollout)
		}
	}
	return only
}

// WriteJSON writes all that is known, indented.
func WriteJSON(to io.Writer, status *wire.RolloutsStatus) error {
	return indentedjson.Write(to, status)
}

// WriteTable writes a block for each rollout: its share as a bar, what keeps it, a line a version, and a line an aspect it is judged by.
func WriteTable(to io.Writer, status *wire.RolloutsStatus) error {
	if len(status.Rollouts) == 0 {
		_, err := fmt.Fprintln(to, "no rollouts")
		return err
	}
	for index := range status.Rollouts {
		if err := writeRollout(to, &status.Rollouts[index]); err != nil {
			return err
		}
	}
	return nil
}

func writeRollout(to io.Writer, rollout *wire.RolloutStatus) error {
	fmt.Fprintf(to, "%s  %s  route %s  [%s] %.4g%%  step %d of %d\n", rollout.Name, rollout.State, rollout.Route, Bar(rollout.Share), 100*rollout.Share,
		rollout.Step+1, rollout.Steps)
	if rollout.Reason != "" {
		fmt.Fprintf(to, "  %s\n", rollout.Reason)
	}
	if rollout.Action != "" {
		fmt.Fprintf(to, "  %s: %s\n", rollout.Action, rollout.ActionWhy)
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  VERSION\tEXECUTORS\tCOMPLETED\tFAILED\tLATE\tOPEN\tOVERDUE\tCORES USED")
	for _, version := range []struct {
		name    string
		counted wire.VersionStatus
	}{{rollout.From, rollout.Old}, {rollout.To, rollout.New}} {
		counted := version.counted
		fmt.Fprintf(table, "  %s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f of %.1f\n", version.name, counted.Executors, counted.Jobs.Completed, counted.Jobs.Failed,
			counted.Jobs.Late, counted.Open, counted.Overdue, cores(counted.Allocated), cores(counted.Capacity))
	}
	if len(rollout.Verdicts) > 0 {
		fmt.Fprintln(table, "  JUDGED BY\tOF\tBAD\tTOTAL\tAGREED\tOLD VERSION\tEVIDENCE\tTURNS BACK AT")
	}
	for _, verdict := range rollout.Verdicts {
		fmt.Fprintf(table, "  %s\t%s\t%d\t%d\t%.3f\t%.3f\t%.1f\t%.1f\n", verdict.Kind, verdict.Stratum, verdict.Bad, verdict.Total, verdict.Bound, verdict.Baseline,
			verdict.Evidence, verdict.Level)
	}
	return table.Flush()
}

// Bar is a share from 0 to 1 as so many marks.
func Bar(share float64) string {
	marks := min(barWidth, int(share*barWidth+0.5))
	return strings.Repeat("#", marks) + strings.Repeat(".", barWidth-marks)
}

// millicores are how many make a core.
const millicores = 1000

func cores(count int64) float64 { return float64(count) / millicores }
