package localproxy

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
)

const (
	// stuckAfter is how long a run's progress stands still before the run is reported as stuck.
	stuckAfter = 1500 * time.Millisecond
	// mostUnseen is how much of the time between two holds counts at most as standing still.
	mostUnseen = time.Second
	// restoreMost is how long a run may take to restore its checkpoint.
	restoreMost = 3 * time.Second
)

// facts are what an executor is and where; they seldom change.
type facts struct {
	proxy      string
	domain     string
	labels     []string
	room       wire.Capacity
	isDraining bool
	gone       []string
}

func (f facts) equals(other facts) bool {
	return f.proxy == other.proxy && f.domain == other.domain && slices.Equal(f.labels, other.labels) && f.room == other.room &&
		f.isDraining == other.isDraining && slices.Equal(f.gone, other.gone)
}

// runNews is what the leader is told of a run: its checkpoint, and whether it stands still.
type runNews struct {
	report    wire.RunReport
	changedAt uint64
	percent   int
	// stillFor is how long the run's progress has been the same.
	stillFor time.Duration
}

// feed numbers the changes of what the leader is to know, and remembers the number that the leader has acknowledged.
type feed struct {
	session      uint64
	number       uint64
	acknowledged uint64
	facts        facts
	factsAt      uint64
	runs         map[runKey]runNews
}

func newFeed(session uint64) *feed { return &feed{session: session, runs: map[runKey]runNews{}} }

// noteFacts takes the facts as they are now; a change gets the next number.
func (f *feed) noteFacts(now facts) {
	if f.factsAt == 0 || !f.facts.equals(now) {
		f.number++
		f.facts, f.factsAt = now, f.number
	}
}

// noteRunning takes the list of running runs that an executor gave after a while; a run that is not in it needs telling no more.
func (f *feed) noteRunning(running []wire.RunReport, after time.Duration) {
	kept := make(map[runKey]runNews, len(running))
	next := f.number + 1
	for _, report := range running {
		key := runKey{report.Task, report.Run}
		news, isThere := f.runs[key]
		if isThere {
			news.noteProgress(report.Percent, after)
		} else {
			news = newRunNews(report)
		}
		isStuck := news.stillFor > stuckAfter
		if news.report.Checkpoint != report.Checkpoint || news.report.Stuck != isStuck {
			news.report.Checkpoint, news.report.Stuck = report.Checkpoint, isStuck
			news.changedAt, f.number = next, next
		}
		kept[key] = news
	}
	f.runs = kept
}

// newRunNews gives a run that begins from a checkpoint time to restore it.
func newRunNews(report wire.RunReport) runNews {
	news := runNews{report: wire.RunReport{Task: report.Task, Run: report.Run}, percent: report.Percent}
	if report.Checkpoint != "" {
		news.stillFor = -restoreMost
	}
	return news
}

// noteProgress counts how long a run has stood still, and little of a time in which the executor said nothing.
func (n *runNews) noteProgress(percent int, after time.Duration) {
	if percent != n.percent {
		n.percent, n.stillFor = percent, 0
		return
	}
	n.stillFor += min(after, mostUnseen)
}

// write adds to an exchange what has changed since the number that the leader has acknowledged.
func (f *feed) write(call *wire.ExchangeCall) {
	if f.session > 0 {
		call.Session, call.Number, call.Base = f.session, f.number, f.acknowledged
	}
	if f.factsAt > call.Base {
		call.Proxy, call.Domain, call.Labels, call.Capacity = f.facts.proxy, f.facts.domain, f.facts.labels, f.facts.room
		call.Draining, call.Gone = f.facts.isDraining, f.facts.gone
	}
	if f.session == 0 {
		return
	}
	for _, news := range f.runs {
		if news.changedAt > call.Base {
			call.Changed = append(call.Changed, news.report)
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
