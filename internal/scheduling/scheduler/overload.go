package scheduler

import (
	"time"

	"gannetline/internal/scheduling/placement"
)

// overloadDuration is how long a priority counts as overloaded after a step of it last became late before any part of the step's occurrence
// was started.
const overloadDuration = 3 * time.Second

// overloadTracker holds the overloaded priorities, those with more work than can be on time, and until when each counts as overloaded.
//
// Without overload, the work with the earliest target goes first. Under overload that order would start each job only when it can barely
// be on time, and meanwhile delay the next one, so that nearly all jobs are late. So the newest work goes first under overload; the older
// work that it passes would be late anyway.
//
// A tenant at its limit is overloaded separately. The order of the other tenants' work doesn't change.
type overloadTracker struct{ until map[overloadKey]time.Duration }

// overloadKey is a priority, either of one tenant at its limit or, with tenant index 0, of the whole pool.
type overloadKey struct{ priority, tenant int }

func newOverloadTracker() overloadTracker {
	return overloadTracker{until: map[overloadKey]time.Duration{}}
}

// isOverloaded reports whether a priority is overloaded for a tenant, either in the whole pool or for this tenant alone.
func (o *overloadTracker) isOverloaded(priority, tenant int) bool {
	_, isOverloaded := o.until[overloadKey{priority, 0}]
	if !isOverloaded && tenant > 0 {
		_, isOverloaded = o.until[overloadKey{priority, tenant}]
	}
	return isOverloaded
}

// isMoreUrgentOverloaded reports whether a priority more urgent than this one is overloaded in the whole pool.
func (o *overloadTracker) isMoreUrgentOverloaded(priority int) bool {
	for key := range o.until {
		if key.tenant == 0 && key.priority < priority {
			return true
		}
	}
	return false
}

// recordTargetMiss compares a step's former request with its current one. If the step became late before any part of its occurrence was
// started, its priority counts as overloaded for overloadDuration.
func (p *Pool) recordTargetMiss(former, current *placement.Group, now time.Duration) {
	isMissed := former.Count > 0 && former.Deadline == placement.OnTime && current.Count > 0 && current.Deadline == placement.Late
	if !isMissed || current.RemainingTenths < allTenths {
		return
	}
	missed := overloadKey{priority: current.Priority}
	if p.tenants.isAtLimit(current.Tenant) {
		missed.tenant = current.Tenant
	}
	_, wasOverloaded := p.overload.until[missed]
	p.overload.until[missed] = now + overloadDuration
	if !wasOverloaded {
		p.reorder(missed)
	}
}

// endOverloads ends each overload in which no further target was missed for overloadDuration. The steps of its priority return to the usual
// order.
func (p *Pool) endOverloads(now time.Duration) {
	for ended, until := range p.overload.until {
		if now > until {
			delete(p.overload.until, ended)
			p.reorder(ended)
		}
	}
}

// reorder marks all steps of a priority that became overloaded or is no longer overloaded as stale, so that their sort keys are computed
// again.
func (p *Pool) reorder(changed overloadKey) {
	for step := range p.open.steps {
		isTenantAffected := changed.tenant == 0 || changed.tenant == step.tenant().index
		if isTenantAffected && step.priority() == changed.priority {
			p.open.markStale(step)
		}
	}
}

// dueKey is the sort key of a step within its section of the queue, lower first: normally its target time, and under overload its
// negated release time, so that the newest comes first. Expired work is always ordered by its target time.
func (p *Pool) dueKey(step *stepState) int64 {
	if p.overload.isOverloaded(step.priority(), step.tenant().index) && p.deadlineClass(step) != placement.Expired {
		return -step.occurrence.releaseMs
	}
	return step.occurrence.targetMs
}
