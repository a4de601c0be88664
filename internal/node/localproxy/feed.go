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

// facts are the properties of an executor that seldom change.
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

// runChange is the reported state of a run: its checkpoint, and whether it is stuck. changedAt is the number of its last change.
type runChange struct {
	report    wire.RunReport
	changedAt uint64
	percent   int
	// stalledFor is how long the run has made no progress; it is negative while the run may be restoring its checkpoint.
	stalledFor time.Duration
}

// feed numbers the changes of the reported state and holds the number that the leader has acknowledged, so that an exchange carries
// only later changes.
type feed struct {
	session      uint64
	number       uint64
	acknowledged uint64
	facts        facts
	factsAt      uint64
	runs         map[runKey]runChange
}

func newFeed(session uint64) *feed { return &feed{session: session, runs: map[runKey]runChange{}} }

// updateFacts stores the current facts. A change gets the next number.
func (f *feed) updateFacts(now facts) {
	if f.factsAt == 0 || !f.facts.equals(now) {
		f.number++
		f.facts, f.factsAt = now, f.number
	}
}

// updateRuns stores the running runs of an answer that came the given time after the one before. Runs that are not in it are dropped.
func (f *feed) updateRuns(running []wire.RunReport, after time.Duration) {
	kept := make(map[runKey]runChange, len(running))
	next := f.number + 1
	for _, report := range running {
		key := runKey{report.Task, report.Run}
		change, exists := f.runs[key]
		if exists {
			change.recordProgress(report.Percent, after)
		} else {
			change = newRunChange(report)
		}
		isStuck := change.stalledFor > stalledAfter
		if change.report.Checkpoint != report.Checkpoint || change.report.Stuck != isStuck {
			change.report.Checkpoint, change.report.Stuck = report.Checkpoint, isStuck
			change.changedAt, f.number = next, next
		}
		kept[key] = change
	}
	f.runs = kept
}

// newRunChange allows a run that starts from a checkpoint maxRestoreTime to restore it.
func newRunChange(report wire.RunReport) runChange {
	change := runChange{report: wire.RunReport{Task: report.Task, Run: report.Run}, percent: report.Percent}
	if report.Checkpoint != "" {
		change.stalledFor = -maxRestoreTime
	}
	return change
}

// recordProgress adds up the time without progress, and at most maxUnobservedTime of a time in which the executor was silent.
func (c *runChange) recordProgress(percent int, after time.Duration) {
	if percent != c.percent {
		c.percent, c.stalledFor = percent, 0
		return
	}
	c.stalledFor += min(after, maxUnobservedTime)
}

// write adds the changes after the acknowledged number to an exchange.
func (f *feed) write(call *wire.ExchangeCall) {
	if f.session > 0 {
		call.Session, call.Number, call.Base = f.session, f.number, f.acknowledged
	}
	if f.factsAt > call.Base {
		call.Proxy, call.Domain, call.Labels, call.Capacity = f.facts.proxy, f.facts.domain, f.facts.labels, f.facts.capacity
		call.Draining, call.Gone = f.facts.isDraining, f.facts.gone
	}
	if f.session == 0 {
		return
	}
	for _, change := range f.runs {
		if change.changedAt > call.Base {
			call.Changed = append(call.Changed, change.report)
		}
	}
	slices.SortFunc(call.Changed, func(a, b wire.RunReport) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run))
	})
}

// acknowledge stores the number that the leader holds. If the leader knows a later session, a new session after it starts.
func (f *feed) acknowledge(answer *wire.ExchangeAnswer) {
	f.acknowledged = answer.HeldNumber
	if answer.NeedsFullState && answer.Session > f.session {
		f.session = answer.Session + 1
	}
}
