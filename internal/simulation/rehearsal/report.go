package rehearsal

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/juju/errors"

	"gannetline/internal/platform/indentedjson"
	"gannetline/internal/scheduling/recording"
)

// QueueSum is the summary of one queue in one replay: the number of its jobs, of those for which Outcome sets Late, Missing or RanTwice, and of
// the failed ones. MedianMs and Percentile95Ms are the median and the 95th percentile of the durations of its completed jobs.
type QueueSum struct {
	Jobs           int   `json:"jobs"`
	Late           int   `json:"late"`
	Missing        int   `json:"missing"`
	Twice          int   `json:"twice"`
	Failed         int   `json:"failed"`
	MedianMs       int64 `json:"half-within-ms"`
	Percentile95Ms int64 `json:"95-of-100-within-ms"`
}

// QueuePair holds the summaries of one queue in both replays.
type QueuePair struct {
	AsIs    QueueSum `json:"as-is"`
	Changed QueueSum `json:"changed"`
}

// JobPair holds the outcomes of one job in both replays.
type JobPair struct {
	AsIs    Outcome `json:"as-is"`
	Changed Outcome `json:"changed"`
}

// Report is the result of a rehearsal. It is deterministic: rehearsals of the same setup give equal reports. Lines, Lost and Skipped are those
// of the recording (recording.Day). Recorded counts the successful runs in the recording.
type Report struct {
	Lines    int                  `json:"lines"`
	Lost     int64                `json:"lost"`
	Skipped  int                  `json:"skipped"`
	Seed     uint64               `json:"seed"`
	Recorded int                  `json:"tasks-with-recorded-lengths"`
	Queues   map[string]QueuePair `json:"queues"`
	// Differences has the jobs whose outcomes differ in more than their durations. Worse has the IDs of the jobs that are late, missing or run
	// twice only under the change.
	Differences []JobPair `json:"differences"`
	Worse       []string  `json:"worse"`
	// Rollout is the progress of the rollout, one sample per simulated second.
	Rollout []RolloutSample `json:"rollout,omitempty"`
}

// Rehearse replays the day with the current settings and under the change, and compares the two.
func Rehearse(setup Setup) (*Report, error) {
	unchangedSetup := setup
	unchangedSetup.Change, unchangedSetup.Rollout, unchangedSetup.OnRolloutSample = &Change{}, nil, nil
	before, err := Replay(unchangedSetup)
	if err != nil {
		return nil, err
	}
	var samples []RolloutSample
	setup.OnRolloutSample = func(sample RolloutSample) { samples = append(samples, sample) }
	after, err := Replay(setup)
	if err != nil {
		return nil, errors.Annotate(err, "under the change")
	}
	report := compare(setup, before, after)
	report.Rollout = samples
	return report, nil
}

// compare compares the outcomes of two replays. Outcomes of the same job must have the same index.
func compare(setup Setup, before, after []Outcome) *Report {
	report := &Report{Lines: setup.Day.Lines, Lost: setup.Day.Lost, Skipped: setup.Day.Skipped, Seed: setup.Seed,
		Queues: map[string]QueuePair{}, Differences: []JobPair{}, Worse: []string{}}
	for _, event := range setup.Day.Events {
		if event.Kind == recording.KindEnd && event.Outcome == outcomeDone {
			report.Recorded++
		}
	}
	sumsBefore, sumsAfter := sums(before), sums(after)
	for queue := range sumsBefore {
		report.Queues[queue] = QueuePair{sumsBefore[queue], sumsAfter[queue]}
	}
	for index, unchanged := range before {
		changed := after[index]
		if unchanged.Late != changed.Late || unchanged.Missing != changed.Missing || unchanged.RanTwice != changed.RanTwice || unchanged.State != changed.State {
			report.Differences = append(report.Differences, JobPair{unchanged, changed})
		}
		if changed.Late && !unchanged.Late || changed.Missing && !unchanged.Missing || changed.RanTwice && !unchanged.RanTwice {
			report.Worse = append(report.Worse, changed.ID)
		}
	}
	return report
}

// sums returns the summaries of outcomes by queue.
func sums(outcomes []Outcome) map[string]QueueSum {
	all, durations := map[string]QueueSum{}, map[string][]int64{}
	for _, outcome := range outcomes {
		sum := all[outcome.Queue]
		sum.add(outcome)
		all[outcome.Queue] = sum
		if outcome.State == stateCompleted {
			durations[outcome.Queue] = append(durations[outcome.Queue], outcome.DurationMs)
		}
	}
	for queue, queueDurations := range durations {
		slices.Sort(queueDurations)
		sum := all[queue]
		sum.MedianMs, sum.Percentile95Ms = queueDurations[len(queueDurations)/2], queueDurations[len(queueDurations)*95/100]
		all[queue] = sum
	}
	return all
}

func (s *QueueSum) add(outcome Outcome) {
	s.Jobs++
	countIf(outcome.Late, &s.Late)
	countIf(outcome.Missing, &s.Missing)
	countIf(outcome.RanTwice, &s.Twice)
	countIf(outcome.State == stateFailed, &s.Failed)
}

func countIf(condition bool, count *int) {
	if condition {
		*count++
	}
}

// Write writes the report as text, or as JSON.
func (r *Report) Write(to io.Writer, isJSON bool) error {
	if isJSON {
		return indentedjson.Write(to, r)
	}
	out := &printer{to: to}
	out.writeLine("recording: %d lines, %d lost, %d skipped; seed %d", r.Lines, r.Lost, r.Skipped, r.Seed)
	if r.Lost > 0 {
		out.writeLine("the recording lost lines: jobs may be missing from both plays")
	}
	out.writeLine("executors are a model: %d tasks run as long as recorded, the others as long as estimated", r.Recorded)
	out.writeLine("%-24s %-8s %6s %6s %8s %6s %7s %9s %9s", "queue", "", "jobs", "late", "missing", "twice", "failed", "half ms", "95% ms")
	for _, queue := range slices.Sorted(maps.Keys(r.Queues)) {
		out.writeQueue(queue, "as is", r.Queues[queue].AsIs)
		out.writeQueue("", "changed", r.Queues[queue].Changed)
	}
	out.writeSamples(r.Rollout)
	for _, pair := range r.Differences {
		out.writeLine("job %s of %s: %s -> %s", pair.AsIs.ID, pair.AsIs.Queue, pair.AsIs.describe(), pair.Changed.describe())
	}
	if len(r.Worse) == 0 {
		out.writeLine("nothing is worse under the change")
	} else {
		out.writeLine("%d jobs are worse under the change", len(r.Worse))
	}
	return out.err
}

func (o Outcome) describe() string {
	text := fmt.Sprintf("%s after %d ms (aim %d ms)", o.State, o.DurationMs, o.TargetMs)
	for _, mark := range []struct {
		condition bool
		suffix    string
	}{{o.Late, ", late"}, {o.Missing, ", missing"}, {o.RanTwice, ", twice"}} {
		if mark.condition {
			text += mark.suffix
		}
	}
	return text
}

// printer writes lines of text. It keeps the first error and then writes nothing more.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) writeLine(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format+"\n", values...)
	}
}

func (p *printer) writeQueue(queue, name string, sum QueueSum) {
	p.writeLine("%-24s %-8s %6d %6d %8d %6d %7d %9d %9d", queue, name, sum.Jobs, sum.Late, sum.Missing, sum.Twice, sum.Failed, sum.MedianMs, sum.Percentile95Ms)
}
