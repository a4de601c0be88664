package localproxy

import (
	"cmp"
	"slices"

	"gannetline/internal/siblingwire"
)

// facts are what an executor is; they seldom change.
type facts struct {
	proxy      string
	domain     string
	labels     []string
	room       siblingwire.Capacity
	isDraining bool
	gone       []string
}

func (f facts) equals(other facts) bool {
	return f.proxy == other.proxy && f.domain == other.domain && slices.Equal(f.labels, other.labels) && f.room == other.room &&
		f.isDraining == other.isDraining && slices.Equal(f.gone, other.gone)
}

type savedRun struct {
	report    siblingwire.RunReport
	changedAt uint64
}

// feed numbers the changes of what the owner is to know, and remembers the number that the owner holds.
type feed struct {
	session uint64
	number  uint64
	held    uint64
	facts   facts
	factsAt uint64
	saved   map[runKey]savedRun
}

func newFeed(session uint64) *feed { return &feed{session: session, saved: map[runKey]savedRun{}} }

func (f *feed) noteFacts(now facts) {
	if f.factsAt == 0 || !f.facts.equals(now) {
		f.number++
		f.facts, f.factsAt = now, f.number
	}
}

// noteSaved takes a list of running runs; a run that is not in it needs telling no more.
func (f *feed) noteSaved(running []siblingwire.RunReport) {
	kept := map[runKey]savedRun{}
	next := f.number + 1
	for _, report := range running {
		if report.Saved == "" {
			continue
		}
		key := runKey{report.Task, report.Run}
		one, isThere := f.saved[key]
		if !isThere || one.report.Saved != report.Saved {
			one, f.number = savedRun{report, next}, next
		}
		kept[key] = one
	}
	f.saved = kept
}

func (f *feed) write(call *siblingwire.ExchangeCall) {
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
	for _, one := range f.saved {
		if one.changedAt > call.Base {
			call.Changed = append(call.Changed, one.report)
		}
	}
	slices.SortFunc(call.Changed, func(one, two siblingwire.RunReport) int {
		return cmp.Or(cmp.Compare(one.Task, two.Task), cmp.Compare(one.Run, two.Run))
	})
}

// told takes note of what the owner holds. Where the owner knows a later session, a new one begins.
func (f *feed) told(answer *siblingwire.ExchangeAnswer) {
	f.held = answer.Held
	if answer.Again && answer.Session > f.session {
		f.session = answer.Session + 1
	}
}
