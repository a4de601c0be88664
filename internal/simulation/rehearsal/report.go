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

// QueueSum is one queue in one play; HalfMs and MostMs are the times within which half and 95 of 100 of its completed jobs
// ended.
type QueueSum struct {
	Jobs    int   `json:"jobs"`
	Late    int   `json:"late"`
	Missing int   `json:"missing"`
	Twice   int   `json:"twice"`
	Failed  int   `json:"failed"`
	HalfMs  int64 `json:"half-within-ms"`
	MostMs  int64 `json:"95-of-100-within-ms"`
}

// Pair is the sums of one queue in the two plays.
type Pair struct {
	AsIs    QueueSum `json:"as-is"`
	Changed QueueSum `json:"changed"`
}

// JobPair is what became of one job in the two plays.
type JobPair struct {
	AsIs    Outcome `json:"as-is"`
	Changed Outcome `json:"changed"`
}

// Report is the whole of a rehearsal; it holds nothing that another run of it would not.
type Report struct {
	Lines       int             `json:"lines"`
	Lost        int64           `json:"lost"`
	Skipped     int             `json:"skipped"`
	Seed        uint64          `json:"seed"`
	Recorded    int             `json:"tasks-with-recorded-lengths"`
	Queues      map[string]Pair `json:"queues"`
	Differences []JobPair       `json:"differences"`
	Worse       []string        `json:"worse"`
	// Rollout is how a rollout stood, second by second.
	Rollout []RolloutSample `json:"rollout,omitempty"`
}

// Rehearse plays the day as things are and under the change.
func Rehearse(setup Setup) (*Report, error) {
	asIs := setup
	asIs.Change, asIs.Rollout, asIs.Watch = &Change{}, nil, nil
	before, err := Play(asIs)
	if err != nil {
		return nil, err
	}
	var samples []RolloutSample
	setup.Watch = func(sample RolloutSample) { samples = append(samples, sample) }
	after, err := Play(setup)
	if err != nil {
		return nil, errors.Annotate(err, "under the change")
	}
	report := compare(setup, before, after)
	report.Rollout = samples
	return report, nil
}

// compare sets two plays beside each other; outcomes of the same job are at the same place.
func compare(setup Setup, before, after []Outcome) *Report {
	report := &Report{Lines: setup.Day.Lines, Lost: setup.Day.Lost, Skipped: setup.Day.Skipped, Seed: setup.Seed,
		Queues: map[string]Pair{}, Differences: []JobPair{}, Worse: []string{}}
	for _, event := range setup.Day.Events {
		if event.Kind == recording.KindEnd && event.How == outcomeDone {
			report.Recorded++
		}
	}
	sumsBefore, sumsAfter := sums(before), sums(after)
	for queue := range sumsBefore {
		report.Queues[queue] = Pair{sumsBefore[queue], sumsAfter[queue]}
	}
	for place, was := range before {
		is := after[place]
		if was.Late != is.Late || was.Missing != is.Missing || was.RanTwice != is.RanTwice || was.State != is.State {
			report.Differences = append(report.Differences, JobPair{was, is})
		}
		if is.Late && !was.Late || is.Missing && !was.Missing || is.RanTwice && !was.RanTwice {
			report.Worse = append(report.Worse, is.ID)
		}
	}
	return report
}

// sums adds up outcomes by queue.
func sums(outcomes []Outcome) map[string]QueueSum {
	all, took := map[string]QueueSum{}, map[string][]int64{}
	for _, outcome := range outcomes {
		sum := all[outcome.Queue]
		sum.add(outcome)
		all[outcome.Queue] = sum
		if outcome.State == stateCompleted {
			took[outcome.Queue] = append(took[outcome.Queue], outcome.DurationMs)
		}
	}
	for queue, lengths := range took {
		slices.Sort(lengths)
		sum := all[queue]
		sum.HalfMs, sum.MostMs = lengths[len(lengths)/2], lengths[len(lengths)*95/100]
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

func countIf(isSo bool, count *int) {
	if isSo {
		*count++
	}
}

// Write shows the report to people, or as JSON.
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
		out.sum(queue, "as is", r.Queues[queue].AsIs)
		out.sum("", "changed", r.Queues[queue].Changed)
	}
	out.samples(r.Rollout)
	for _, pair := range r.Differences {
		out.writeLine("job %s of %s: %s -> %s", pair.AsIs.ID, pair.AsIs.Queue, pair.AsIs.text(), pair.Changed.text())
	}
	if len(r.Worse) == 0 {
		out.writeLine("nothing is worse under the change")
	} else {
		out.writeLine("%d jobs are worse under the change", len(r.Worse))
	}
	return out.err
}

func (o Outcome) text() string {
	words := fmt.Sprintf("%s after %d ms (aim %d ms)", o.State, o.DurationMs, o.TargetMs)
	for _, mark := range []struct {
		isSo bool
		word string
	}{{o.Late, ", late"}, {o.Missing, ", missing"}, {o.RanTwice, ", twice"}} {
		if mark.isSo {
			words += mark.word
		}
	}
	return words
}

// printer keeps the first error of its lines.
type printer struct {
	to  io.Writer
	err error
}

func (p *printer) writeLine(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.to, format+"\n", values...)
	}
}

func (p *printer) sum(queue, name string, sum QueueSum) {
	p.writeLine("%-24s %-8s %6d %6d %8d %6d %7d %9d %9d", queue, name, sum.Jobs, sum.Late, sum.Missing, sum.Twice, sum.Failed, sum.HalfMs, sum.MostMs)
}
