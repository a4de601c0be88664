package localproxy

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// stalledAfter is how long a run makes no progress before it is reported as stuck.
	stalledAfter = 1500 * time.Millisecond
	// maxUnobservedTime is how much of the time between two holds counts as time without progress, at most.
	maxUnobservedTime = time.Second
	// maxRestoreTime is how long a run may take to restore its checkpoint, in addition to stalledAfter.
	maxRestoreTime = 3 * time.Second
)

// facts are the reported properties of an executor that seldom change.
type facts struct {
	proxy      string
	domain     string
	labels     []string
	capacity   wire.Capacity
	isDraining bool
	gone       []string
}

func (f facts) equals(other facts) bool {
	return f.proxy == other.proxy && f.domain == other.domain && slices.Equal(f.labels, other.labels) && f.capacity == other.capacity &&
		f.isDraining == other.isDraining && slices.Equal(f.gone, other.gone)
}

// reportedRun is a running run with its reported state.
type reportedRun struct {
	// report contains the checkpoint of the run and whether it is stuck; changeNumber is the number of the last change of either, 0 if there
	// was none.
	report       wire.RunReport
	changeNumber uint64
	// percent is the last known progress of the run.
	percent int
	// stalledFor is how long the run has made no progress; it is negative while the run may be restoring its checkpoint.
	stalledFor time.Duration
}

// feed numbers the changes of the reported state and stores the number that the leader has acknowledged, so that an exchange contains
// only later changes.
type feed struct {
	// session is the number of this proxy process, or a higher one if the leader knows a later session; 0 disables numbered changes.
	session uint64
	// lastNumber is the number of the last change, acknowledged the number up to which the leader has the changes.
	lastNumber   uint64
	acknowledged uint64
	// factsNumber is the number of the last change of the facts.
	facts       facts
	factsNumber uint64
	runs        map[runKey]reportedRun
}

func newFeed(session uint64) *feed { return &feed{session: session, runs: map[runKey]reportedRun{}} }

// updateFacts stores the current facts. A change gets the next number.
func (f *feed) updateFacts(current facts) {
	if f.factsNumber == 0 || !f.facts.equals(current) {
		f.lastNumber++
		f.facts, f.factsNumber = current, f.lastNumber
	}
}

// updateRuns stores the running runs of an answer to a hold. elapsed is the time since the answer before. Runs that are not in the answer
// are dropped. All changes by one answer get the same number.
func (f *feed) updateRuns(running []wire.RunReport, elapsed time.Duration) {
	updated := make(map[runKey]reportedRun, len(running))
	nextNumber := f.lastNumber + 1
	for _, report := range running {
		key := runKey{report.Task, report.Run}
		run, exists := f.runs[key]
		if exists {
			run.recordProgress(report.Percent, elapsed)
		} else {
			run = newReportedRun(report)
		}
		isStuck := run.stalledFor > stalledAfter
		if run.report.Checkpoint != report.Checkpoint || run.report.Stuck != isStuck {
			run.report.Checkpoint, run.report.Stuck = report.Checkpoint, isStuck
			run.changeNumber, f.lastNumber = nextNumber, nextNumber
		}
		updated[key] = run
	}
	f.runs = updated
}

// newReportedRun returns the state of a run that is in an answer for the first time. A run with a checkpoint gets maxRestoreTime to restore
// it.
func newReportedRun(report wire.RunReport) reportedRun {
	run := reportedRun{report: wire.RunReport{Task: report.Task, Run: report.Run}, percent: report.Percent}
	if report.Checkpoint != "" {
		run.stalledFor = -maxRestoreTime
	}
	return run
}

// recordProgress adds up the time without progress. Of the time between two answers, at most maxUnobservedTime counts, as the executor may
// have been silent.
func (r *reportedRun) recordProgress(percent int, elapsed time.Duration) {
	if percent != r.percent {
		r.percent, r.stalledFor = percent, 0
		return
	}
	r.stalledFor += min(elapsed, maxUnobservedTime)
}

// write adds the changes after the acknowledged number to an exchange. Without a session it adds all facts and no runs.
func (f *feed) write(call *wire.ExchangeCall) {
	if f.session > 0 {
		call.Session, call.Number, call.Base = f.session, f.lastNumber, f.acknowledged
	}
	if f.factsNumber > call.Base {
		call.Proxy, call.Domain, call.Labels, call.Capacity = f.facts.proxy, f.facts.domain, f.facts.labels, f.facts.capacity
		call.Draining, call.Gone = f.facts.isDraining, f.facts.gone
	}
	if f.session == 0 {
		return
	}
	for _, run := range f.runs {
		if run.changeNumber > call.Base {
			call.Changed = append(call.Changed, run.report)
		}
	}
	slices.SortFunc(call.Changed, func(a, b wire.RunReport) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
}

// acknowledge stores the number up to which the leader has the changes. If the leader knows a later session, the feed starts a session after
// that one.
func (f *feed) acknowledge(answer *wire.ExchangeAnswer) {
	f.acknowledged = answer.HeldNumber
	if answer.NeedsFullState && answer.Session > f.session {
		f.session = answer.Session + 1
	}
}
