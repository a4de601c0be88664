// Package rolloutview shows the status of rollouts to operators.
package rolloutview

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/indentedjson"
)

// barWidth is the number of characters in a bar.
const barWidth = 20

// FilterByName returns a status with only the rollouts of a name. Its list is empty, not nil, if there are none.
func FilterByName(status *wire.RolloutsStatus, name string) *wire.RolloutsStatus {
	filtered := &wire.RolloutsStatus{Version: status.Version, Rollouts: []wire.RolloutStatus{}}
	for _, rollout := range status.Rollouts {
		if rollout.Name == name {
			filtered.Rollouts = append(filtered.Rollouts, rollout)
		}
	}
	return filtered
}

// WriteJSON writes the whole status as indented JSON.
func WriteJSON(to io.Writer, status *wire.RolloutsStatus) error {
	return indentedjson.Write(to, status)
}

// WriteTable writes a block for each rollout: its share as a bar, the reason of its state, the action that its last evaluation chose, a
// line for each version, and a line for each verdict. It writes "no rollouts" if there are none.
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
		name   string
		status wire.VersionStatus
	}{{rollout.From, rollout.Old}, {rollout.To, rollout.New}} {
		status := version.status
		fmt.Fprintf(table, "  %s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f of %.1f\n", version.name, status.Executors, status.Jobs.Completed, status.Jobs.Failed,
			status.Jobs.Late, status.Open, status.Overdue, cores(status.Allocated), cores(status.Capacity))
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

// Bar draws a share from 0 to 1 as a bar of barWidth characters: "#" for the share and "." for the rest.
func Bar(share float64) string {
	marks := min(barWidth, int(share*barWidth+0.5))
	return strings.Repeat("#", marks) + strings.Repeat(".", barWidth-marks)
}

const millicoresPerCore = 1000

func cores(millicores int64) float64 { return float64(millicores) / millicoresPerCore }
