package localproxy

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// stalledAfter is how long a run's progress stands still before the run is reported as stuck.
	stalledAfter = 1500 * time.Millisecond
	// maxUnobserved is how much of the time between two holds counts at most as standing still.
	maxUnobserved = time.Second
	// maxRestoreTime is how long a run may take to restore its checkpoint.
	maxRestoreTime = 3 * time.Second
)

// facts are what an executor is and where; they seldom change.
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

// runChange is what the leader gets to know of a run: its checkpoint, and whether it stands still.
type runChange struct {
	report    wire.RunReport
	changedAt uint64
	percent   int
	// stalledFor is how long the run's progress has been the same.
	stalledFor time.Duration
}

// feed numbers the changes of what the leader is to know, and remembers the number that the leader has acknowledged.
type feed struct {
	session      uint64
	number       uint64
	acknowledged uint64
	facts        facts
	factsAt      uint64
	runs         map[runKey]runChange
}

func newFeed(session uint64) *feed { return &feed{session: session, runs: map[runKey]runChange{}} }

// updateFacts takes the facts as they are now; a change gets the next number.
func (f *feed) updateFacts(now facts) {
	if f.factsAt == 0 || !f.facts.equals(now) {
		f.number++
		f.facts, f.factsAt = now, f.number
	}
}

// updateRuns takes the list of running runs that an executor gave after a while; a run that is not in it needs telling no more.
func (f *feed) updateRuns(running []wire.RunReport, after time.Duration) {
	kept := make(map[runKey]runChange, len(running))
	next := f.number + 1
	for _, report := range running {
		key := runKey{report.Task, report.Run}
		change, exists := f.runs[key]
		if exists {
			change.addProgress(report.Percent, after)
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

// newRunChange gives a run that begins from a checkpoint time to restore it.
func newRunChange(report wire.RunReport) runChange {
	change := runChange{report: wire.RunReport{Task: report.Task, Run: report.Run}, percent: report.Percent}
	if report.Checkpoint != "" {
		change.stalledFor = -maxRestoreTime
	}
	return change
}

// addProgress counts how long a run has stood still, and little of a time in which the executor said nothing.
func (n *runChange) addProgress(percent int, after time.Duration) {
	if percent != n.percent {
		n.percent, n.stalledFor = percent, 0
		return
	}
	n.stalledFor += min(after, maxUnobserved)
}

// write adds to an exchange what has changed since the number that the leader has acknowledged.
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

// acknowledge takes note of what the leader holds. Where the leader knows a later session, a new one begins.
func (f *feed) acknowledge(answer *wire.ExchangeAnswer) {
	f.acknowledged = answer.HeldNumber
	if answer.NeedsFullState && answer.Session > f.session {
		f.session = answer.Session + 1
	}
}
