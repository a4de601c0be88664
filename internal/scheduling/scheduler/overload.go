package scheduler

import (
	"time"

	"gannetline/internal/scheduling/placement"
)

// overloadMemory is how long a priority counts as overloaded after a job of it last turned late before any of it was done.
const overloadMemory = 3 * time.Second

// overloadWatch knows the priorities that have more work than can be on time, and until when they count as such. As long as all can
// be on time, what is due first goes first. Under overload that order would have each job wait until it can only just be on time, and
// then keep the next one waiting, so that nearly all come late: the newest goes first instead, and those it passes are late anyway.
type overloadWatch struct{ until map[int]time.Duration }

func newOverloadWatch() overloadWatch { return overloadWatch{until: map[int]time.Duration{}} }

func (o *overloadWatch) isOverloaded(priority int) bool {
	_, isOverloaded := o.until[priority]
	return isOverloaded
}

// isAnyOverloaded tells whether any priority more urgent than this one is overloaded.
func (o *overloadWatch) isAnyOverloaded(than int) bool {
	for priority := range o.until {
		if priority < than {
			return true
		}
	}
	return false
}

// noteChange takes what a step asked for before and asks for now.
func (p *Pool) noteChange(former, current *placement.Group, now time.Duration) {
	isMissed := former.Count > 0 && former.Deadline == placement.OnTime && current.Count > 0 && current.Deadline == placement.Late
	if !isMissed || current.RemainingTenths < wholeJob {
		return
	}
	wasOverloaded := p.overload.isOverloaded(current.Priority)
	p.overload.until[current.Priority] = now + overloadMemory
	if !wasOverloaded {
		p.reorder(current.Priority)
	}
}

// endOverloads goes back to the usual order for the priorities that have missed no target for a while.
func (p *Pool) endOverloads(now time.Duration) {
	for priority, until := range p.overload.until {
		if now > until {
			delete(p.overload.until, priority)
			p.reorder(priority)
		}
	}
}

// reorder has all steps of a priority put in their places anew.
func (p *Pool) reorder(priority int) {
	for step := range p.open.steps {
		if step.priority() == priority {
			p.open.markStale(step)
		}
	}
}

// dueKey is the place of a step among those of its section, lower first.
func (p *Pool) dueKey(step *stepState) int64 {
	if p.overload.isOverloaded(step.priority()) && p.deadlineClass(step) != placement.Expired {
		return -step.occurrence.releaseMs
	}
	return step.occurrence.targetMs
}
