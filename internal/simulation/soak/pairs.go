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

// Part is a part of the system that a measurement keeps busy, or leaves idle.
type Part string

// The parts.
const (
	PartJobs           Part = "jobs"
	PartTenants        Part = "tenants"
	PartConfigurations Part = "configurations"
	PartEvacuations    Part = "evacuations"
	PartLocks          Part = "locks"
	PartTier           Part = "tier"
	PartMembership     Part = "membership"
)

// AllParts are all that can be kept busy.
var AllParts = []Part{PartJobs, PartTenants, PartConfigurations, PartEvacuations, PartLocks, PartTier, PartMembership}

// ParseParts reads the names of parts; the error names one that is none.
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

// isBusy tells whether a part is kept busy; without a choice all are, at the usual pace.
func (o *Options) isBusy(part Part) bool { return o.Parts == nil || slices.Contains(o.Parts, part) }

// PairRow is what was measured with one part busy, or with two beside each other.
type PairRow struct {
	Parts   []Part      `json:"parts"`
	Control ProcessLoad `json:"control"`
	Storage ProcessLoad `json:"storage"`
	Gate    ProcessLoad `json:"gate"`
	// JobMs and LockMs are the 95 of 100 answer times of job submissions and of lock calls, 0 where there were none.
	JobMs  int64 `json:"job-ms"`
	LockMs int64 `json:"lock-ms"`
	// Excess is by how many cores the busiest steward uses more than with each of the two alone, less what an idle system uses.
	Excess float64 `json:"excess-cores"`
}

// MeasurePairs plays each part alone and each pair of them, without faults, and gives a row for each; the first row is the idle system.
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
		row, err := measure(ctx, options, busy, log)
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

// measure plays one set of busy parts. All features are switched on in each play, so that rows differ by load alone.
func measure(ctx context.Context, options Options, busy []Part, log logging.Logger) (PairRow, error) {
	options.Parts, options.Kinds = busy, nil
	options.Mix = &Mix{Features: AllFeatures, Zones: 2, OrderList: "invocation", HeartbeatMs: heartbeatMs, EvacuationMs: minEvacuation}
	layout := options.Layout()
	schedule := Draw(options, layout)
	if slices.Contains(busy, PartMembership) {
		for at := time.Second; at < options.Length; at += waveEvery {
			schedule.Events = append(schedule.Events, Event{AtMs: at.Milliseconds(), Kind: FaultWave})
		}
	}
	history, err := playOnce(ctx, options, layout, schedule, log)
	if err != nil {
		return PairRow{}, err
	}
	return PairRow{Parts: busy, Control: busiest(history.Loads, RoleSteward), Storage: busiest(history.Loads, RoleStorage), Gate: busiest(history.Loads, RoleGate),
		JobMs: submitTime(history), LockMs: lockTime(history)}, nil
}

// waveEvery lies between two waves in which all gates restart.
const waveEvery = 4 * time.Second

// submitTime is the 95 of 100 answer time of submissions, in milliseconds.
func submitTime(h *History) int64 {
	times := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for index := range h.Calls {
		if call := &h.Calls[index]; call.Verb == verbSubmit && call.Outcome == answered {
			// Longer ones are left out; calls end long before.
			_ = times.RecordValue((call.EndedAt - call.SentAt).Milliseconds())
		}
	}
	return times.ValueAtQuantile(95)
}

// lockTime is the 95 of 100 time in which a lock was taken, in milliseconds.
func lockTime(h *History) int64 {
	times := hdrhistogram.New(1, maxLatencyMs, latencyDigits)
	for _, hold := range h.Applications.Holds {
		// Longer ones are left out; calls end long before.
		_ = times.RecordValue((hold.From - hold.SentAt).Milliseconds())
	}
	return times.ValueAtQuantile(95)
}

// WritePairs prints the rows as a table.
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
