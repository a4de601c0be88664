package localproxy

import (
	"cmp"
	"slices"
	"time"

	"gannetline/internal/peerapi"
)

const (
	stuckAfter  = 1500 * time.Millisecond
	mostUnseen  = time.Second
	restoreMost = 3 * time.Second
)

// facts are what an executor is; they seldom change.
type facts struct {
	proxy      string
	domain     string
	labels     []string
	room       peerapi.Capacity
	isDraining bool
	gone       []string
}

func (f facts) equals(other facts) bool {
	return f.proxy == other.proxy && f.domain == other.domain && slices.Equal(f.labels, other.labels) && f.room == other.room &&
		f.isDraining == other.isDraining && slices.Equal(f.gone, other.gone)
}

// runNews is what the owner is told of a run: its checkpoint, and whether it stands still.
type runNews struct {
	told      peerapi.RunReport
	changedAt uint64
	percent   int
	still     time.Duration
}

// feed numbers the changes of what the owner is to know, and remembers the number that the owner holds.
type feed struct {
	session uint64
	number  uint64
	held    uint64
	facts   facts
	factsAt uint64
	runs    map[runKey]runNews
}

func newFeed(session uint64) *feed { return &feed{session: session, runs: map[runKey]runNews{}} }

func (f *feed) noteFacts(now facts) {
	if f.factsAt == 0 || !f.facts.equals(now) {
		f.number++
		f.facts, f.factsAt = now, f.number
	}
}

// noteRunning takes the list of running runs that an executor gave after a while; a run that is not in it needs telling no more.
func (f *feed) noteRunning(running []peerapi.RunReport, after time.Duration) {
	kept := make(map[runKey]runNews, len(running))
	next := f.number + 1
	for _, report := range running {
		key := runKey{report.Task, report.Run}
		one, isThere := f.runs[key]
		if isThere {
			one.move(report.Percent, after)
		} else {
			one = newRunNews(report)
		}
		isStuck := one.still > stuckAfter
		if one.told.Saved != report.Saved || one.told.Stuck != isStuck {
			one.told.Saved, one.told.Stuck, one.changedAt, f.number = report.Saved, isStuck, next, next
		}
		kept[key] = one
	}
	f.runs = kept
}

// newRunNews gives a run that begins from a checkpoint time to restore it.
func newRunNews(report peerapi.RunReport) runNews {
	one := runNews{told: peerapi.RunReport{Task: report.Task, Run: report.Run}, percent: report.Percent}
	if report.Saved != "" {
		one.still = -restoreMost
	}
	return one
}

// move counts how long a run has stood still, and little of a time in which the executor said nothing.
func (n *runNews) move(percent int, after time.Duration) {
	if percent != n.percent {
		n.percent, n.still = percent, 0
		return
	}
	n.still += min(after, mostUnseen)
}

func (f *feed) write(call *peerapi.ExchangeCall) {
	if f.session > 0 {
		call.Session, call.Number, call.Base = f.session, f.number, f.held
	}
	if f.factsAt > call.Base {
		call.Proxy, call.Domain, call.Labels, call.Room = f.facts.proxy, f.facts.domain, f.facts.labels, f.facts.room
		call.Draining, call.Gone = f.facts.isDraining, f.facts.gone
	}
	if f.session == 0 {
		return
	}
	for _, one := range f.runs {
		if one.changedAt > call.Base {
			call.Changed = append(call.Changed, one.told)
		}
	}
	slices.SortFunc(call.Changed, func(one, two peerapi.RunReport) int {
		return cmp.Or(cmp.Compare(one.Task, two.Task), cmp.Compare(one.Run, two.Run))
	})
}

// told takes note of what the owner holds. Where the owner knows a later session, a new one begins.
func (f *feed) told(answer *peerapi.ExchangeAnswer) {
	f.held = answer.Held
	if answer.Again && answer.Session > f.session {
		f.session = answer.Session + 1
	}
}
