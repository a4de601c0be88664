package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"gannetline/internal/platform/logging"
)

// Part is a part of the system that a measurement puts load on or leaves idle.
type Part string

// The parts.
const (
	PartJobs           Part = "jobs"
	PartTenants        Part = "tenants"
	PartConfigurations Part = "configurations"
	PartEvacuations    Part = "evacuations"
	PartLocks          Part = "locks"
	PartTier           Part = "tier"
	// PartMembership gets its load from waves in which all gates restart.
	PartMembership Part = "membership"
)

// AllParts are the parts that can get load.
var AllParts = []Part{PartJobs, PartTenants, PartConfigurations, PartEvacuations, PartLocks, PartTier, PartMembership}

// ParseParts converts names to parts. The error contains the first unknown name.
func ParseParts(names []string) ([]Part, error) {
	var parts []Part
	for _, name := range names {
		if !slices.Contains(AllParts, Part(name)) {
			return nil, errors.Errorf("--parts: there is no part %q; there are %v", name, AllParts)
		}
		parts = append(parts, Part(name))
	}
	return parts, nil
}

// isBusy reports whether a part gets load. If Parts is nil, all parts do.
func (o *Options) isBusy(part Part) bool { return o.Parts == nil || slices.Contains(o.Parts, part) }

// PairRow is the measurement of the idle system, of one busy part or of two. Control, Storage and Gate are the maximum figures
// over the stewards, the storages and the gates.
type PairRow struct {
	Parts   []Part      `json:"parts"`
	Control ProcessLoad `json:"control"`
	Storage ProcessLoad `json:"storage"`
	Gate    ProcessLoad `json:"gate"`
	// JobMs and LockMs are the 95th percentiles of the latency of job submissions and of lock acquisitions, 0 if there were
	// none.
	JobMs  int64 `json:"job-ms"`
	LockMs int64 `json:"lock-ms"`
	// Excess is the CPU use of the busiest steward in cores with both parts busy, less that with each part alone, plus that of the
	// idle system. It is 0 in rows with fewer than two parts.
	Excess float64 `json:"excess-cores"`
}

// MeasurePairs measures the idle system, each part alone and each pair of parts, without faults. It returns the rows in this
// order.
func MeasurePairs(ctx context.Context, options Options, parts []Part, log logging.Logger) ([]PairRow, error) {
	sets := [][]Part{{}}
	for _, part := range parts {
		sets = append(sets, []Part{part})
	}
	for index, first := range parts {
		for _, second := range parts[index+1:] {
			sets = append(sets, []Part{first, second})
		}
	}
	var rows []PairRow
	alone := map[Part]float64{}
	for _, busy := range sets {
		row, err := measureSet(ctx, options, busy, log)
		if err != nil {
			return rows, errors.Annotatef(err, "with %v busy", busy)
		}
		switch len(busy) {
		case 1:
			alone[busy[0]] = row.Control.Cores
		case 2:
			row.Excess = row.Control.Cores - alone[busy[0]] - alone[busy[1]] + rows[0].Control.Cores
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureSet measures one set of busy parts. All features are always enabled, so rows differ only by load.
func measureSet(ctx context.Context, options Options, busy []Part, log logging.Logger) (PairRow, error) {
	options.Parts, options.Kinds = busy, nil
	options.Mix = &Mix{Features: AllFeatures, Zones: 2, OrderList: "invocation", HeartbeatMs: heartbeatMs, EvacuationMs: minEvacuationMs}
	layout := options.Layout()
	schedule := Draw(options, layout)
	if slices.Contains(busy, PartMembership) {
		for at := time.Second; at < options.Length; at += waveInterval {
			schedule.Events = append(schedule.Events, Event{AtMs: at.Milliseconds(), Kind: FaultWave})
		}
	}
	history, err := runSchedule(ctx, options, layout, schedule, log)
	if err != nil {
		return PairRow{}, err
	}
	return PairRow{Parts: busy, Control: maxLoadOf(history.Loads, RoleSteward), Storage: maxLoadOf(history.Loads, RoleStorage), Gate: maxLoadOf(history.Loads, RoleGate),
		JobMs: submitLatency(history), LockMs: lockLatency(history)}, nil
}

// waveInterval is the time between two waves in which all gates restart.
const waveInterval = 4 * time.Second

// submitLatency returns the 95th percentile of the latency of submissions in milliseconds.
func submitLatency(h *History) int64 {
	times := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for index := range h.Calls {
		if call := &h.Calls[index]; call.Verb == verbSubmit && call.Outcome == answered {
			// A latency beyond the histogram's range is left out; calls time out long before.
			_ = times.RecordValue((call.EndedAt - call.SentAt).Milliseconds())
		}
	}
	return times.ValueAtQuantile(95)
}

// lockLatency returns the 95th percentile of the latency of lock acquisitions in milliseconds.
func lockLatency(h *History) int64 {
	times := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for _, hold := range h.Applications.Holds {
		// A latency beyond the histogram's range is left out; calls time out long before.
		_ = times.RecordValue((hold.From - hold.SentAt).Milliseconds())
	}
	return times.ValueAtQuantile(95)
}

// WritePairs writes the rows as a table.
func WritePairs(to io.Writer, rows []PairRow) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "busy\tsteward cores\tkB/s\tcommits/s\tstorage cores\tkB/s\tcommits/s\tgate cores\tsubmit ms\tlock ms\texcess cores")
	for _, row := range rows {
		fmt.Fprintf(table, "%s\t%.4f\t%.1f\t%.1f\t%.4f\t%.1f\t%.1f\t%.4f\t%d\t%d\t%+.4f\n", row.name(), row.Control.Cores, row.Control.SentBytes/1000, row.Control.Commits,
			row.Storage.Cores, row.Storage.SentBytes/1000, row.Storage.Commits, row.Gate.Cores, row.JobMs, row.LockMs, row.Excess)
	}
	return errors.Annotate(table.Flush(), "writing the table")
}

func (r *PairRow) name() string {
	switch len(r.Parts) {
	case 0:
		return "idle"
	case 1:
		return string(r.Parts[0])
	}
	return string(r.Parts[0]) + " + " + string(r.Parts[1])
}
