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
// A tenant that is at its limit is overloaded by itself, and the others go on as usual.
type overloadWatch struct{ until map[overloaded]time.Duration }

// overloaded is one priority, of one tenant that is at its limit, or of all with the index 0.
type overloaded struct{ priority, tenant int }

func newOverloadWatch() overloadWatch { return overloadWatch{until: map[overloaded]time.Duration{}} }

// isOverloaded tells whether a priority is overloaded for a tenant, by all together or by itself.
func (o *overloadWatch) isOverloaded(priority, tenant int) bool {
	_, isOverloaded := o.until[overloaded{priority, 0}]
	if !isOverloaded && tenant > 0 {
		_, isOverloaded = o.until[overloaded{priority, tenant}]
	}
	return isOverloaded
}

// isAnyOverloaded tells whether any priority more urgent than this one is overloaded by all together.
func (o *overloadWatch) isAnyOverloaded(than int) bool {
	for overloaded := range o.until {
		if overloaded.tenant == 0 && overloaded.priority < than {
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
	missed := overloaded{priority: current.Priority}
	if p.tenants.isAtLimit(current.Tenant) {
		missed.tenant = current.Tenant
	}
	_, wasOverloaded := p.overload.until[missed]
	p.overload.until[missed] = now + overloadMemory
	if !wasOverloaded {
		p.reorder(missed)
	}
}

// endOverloads goes back to the usual order for the priorities that have missed no target for a while.
func (p *Pool) endOverloads(now time.Duration) {
	for ended, until := range p.overload.until {
		if now > until {
			delete(p.overload.until, ended)
			p.reorder(ended)
		}
	}
}

// reorder has all steps of an overload put in their places anew.
func (p *Pool) reorder(changed overloaded) {
	for step := range p.open.steps {
		isMeant := changed.tenant == 0 || changed.tenant == step.tenant().index
		if isMeant && step.priority() == changed.priority {
			p.open.markStale(step)
		}
	}
}

// dueKey is the place of a step among those of its section, lower first.
func (p *Pool) dueKey(step *stepState) int64 {
	if p.overload.isOverloaded(step.priority(), step.tenant().index) && p.deadlineClass(step) != placement.Expired {
		return -step.occurrence.releaseMs
	}
	return step.occurrence.targetMs
}
