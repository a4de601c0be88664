package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

const never = time.Duration(math.MaxInt64)

// executorTable keeps the executors in the order of their names, and what placement sees of each.
type executorTable struct {
	sorted []*executorState
	view   []placement.Executor
	// openCapacity is that of those that may be given runs, usedCPU the CPU that runs take of those that are in order, and all
	// the capacity of those that are known.
	openCapacity  placement.Resources
	totalCapacity placement.Resources
	usedCPU       int64
	version       uint64
	isStale       bool
	validUntil    time.Duration
	changed       []*executorState
}

func (r *executorTable) indexOf(id string) (int, bool) {
	return slices.BinarySearchFunc(r.sorted, id, func(executor *executorState, id string) int { return cmp.Compare(executor.id, id) })
}

func (r *executorTable) add(executor *executorState) {
	index, _ := r.indexOf(executor.id)
	r.sorted = slices.Insert(r.sorted, index, executor)
	r.renumber(index)
}

func (r *executorTable) remove(executor *executorState) {
	index, exists := r.indexOf(executor.id)
	if exists {
		r.sorted = slices.Delete(r.sorted, index, index+1)
		r.renumber(index)
	}
}

func (r *executorTable) renumber(from int) {
	for index := from; index < len(r.sorted); index++ {
		r.sorted[index].index = index
	}
	r.version++
	r.isStale = true
}

func (r *executorTable) markChanged(executor *executorState) {
	if !executor.isChanged {
		executor.isChanged = true
		r.changed = append(r.changed, executor)
	}
}

// placementView is what placement sees now; only what changed since is worked out again.
func (p *Pool) placementView(now time.Duration) []placement.Executor {
	r := &p.table
	if r.isStale || now >= r.validUntil {
		r.validUntil, r.isStale, r.usedCPU, r.openCapacity, r.totalCapacity = never, false, 0, placement.Resources{}, placement.Resources{}
		r.view = slices.Grow(r.view[:0], len(r.sorted))[:len(r.sorted)]
		clear(r.view)
		for _, executor := range r.sorted {
			p.updateView(executor, now)
		}
	} else {
		for _, executor := range r.changed {
			p.updateView(executor, now)
		}
	}
	for _, executor := range r.changed {
		executor.isChanged = false
	}
	r.changed = r.changed[:0]
	return r.view
}

// updateView computes what placement sees of an executor, keeps the sums over all executors in step, and notes the
// earliest moment at which the view changes by the passing of time alone.
func (p *Pool) updateView(executor *executorState, now time.Duration) {
	r := &p.table
	former, current := &r.view[executor.index], p.viewOf(executor, now)
	r.openCapacity = r.openCapacity.Minus(openCapacity(former)).Plus(openCapacity(&current))
	r.usedCPU += takenCPU(&current) - takenCPU(former)
	r.totalCapacity = r.totalCapacity.Minus(former.Total).Plus(current.Total)
	*former = current
	if now < executor.ejectedUntil {
		r.validUntil = min(r.validUntil, executor.ejectedUntil)
	}
	if overdueAt := executor.contactAt + heartbeatOverdue + 1; now < overdueAt {
		r.validUntil = min(r.validUntil, overdueAt)
	}
	if silentAt := executor.contactAt + p.timing.SilentAfter + 1; now < silentAt {
		r.validUntil = min(r.validUntil, silentAt)
	}
}

// takenCPU is what runs take of an executor that is in order.
func takenCPU(view *placement.Executor) int64 {
	if view.IsUnschedulable {
		return 0
	}
	return view.Total.CPU - view.Free.CPU
}

func openCapacity(view *placement.Executor) placement.Resources {
	if view.IsUnschedulable || view.RunLimit == placement.NoRuns {
		return placement.Resources{}
	}
	return view.Total
}

func (p *Pool) viewOf(executor *executorState, now time.Duration) placement.Executor {
	return placement.Executor{Free: executor.capacity.Minus(executor.allocated), Total: executor.capacity, Labels: executor.labels, Rack: executor.rack(),
		Penalty: executor.penaltyScore() + executor.slownessPenalty() + executor.overduePenalty(now), RunLimit: executor.remainingRuns(), IsUnschedulable: p.isOutOfUse(executor, now)}
}

// isOutOfUse tells whether no new run goes to an executor now.
func (p *Pool) isOutOfUse(executor *executorState, now time.Duration) bool {
	isAway := executor.isUnschedulable || now < executor.ejectedUntil || now-executor.contactAt > p.timing.SilentAfter
	return !executor.isFenced || executor.isDraining || isAway || p.isEvacuated(executor.domain)
}

func (p *Pool) removeExecutor(executor *executorState) {
	if p.executors[executor.id] == executor {
		delete(p.executors, executor.id)
		p.table.remove(executor)
	}
}
