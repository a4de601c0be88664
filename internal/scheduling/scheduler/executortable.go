package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gannetline/internal/scheduling/placement"
)

// never is later than any moment of the clock.
const never = time.Duration(math.MaxInt64)

// executorTable holds the executors sorted by ID, and placement's view of each.
type executorTable struct {
	sorted []*executorState
	// view is parallel to sorted.
	view []placement.Executor
	// openCapacity is the capacity of the executors that may get runs, totalCapacity that of all known executors. usedCPU is the CPU that
	// runs take of the schedulable ones.
	openCapacity  placement.Resources
	totalCapacity placement.Resources
	usedCPU       int64
	// version changes with the executors, their indices, and the properties that queue rules look at.
	version uint64
	// isStale is set if the whole view must be recomputed, which is also the case from validUntil on. Otherwise only the entries of the
	// executors in changed are recomputed.
	isStale    bool
	validUntil time.Duration
	changed    []*executorState
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

// renumber updates the indices of the executors from a position on.
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

// placementView returns placement's view of the executors. It recomputes only the entries that have changed, if that is enough.
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

// updateView recomputes placement's view of an executor and updates the sums over all executors. It lowers validUntil to the earliest
// moment at which the view changes by the passing of time alone.
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

// takenCPU returns the CPU that runs take of a schedulable executor.
func takenCPU(view *placement.Executor) int64 {
	if view.IsUnschedulable {
		return 0
	}
	return view.Total.CPU - view.Free.CPU
}

// openCapacity returns the capacity of an executor that may get runs.
func openCapacity(view *placement.Executor) placement.Resources {
	if view.IsUnschedulable || view.RunLimit == placement.NoRuns {
		return placement.Resources{}
	}
	return view.Total
}

func (p *Pool) viewOf(executor *executorState, now time.Duration) placement.Executor {
	return placement.Executor{Free: executor.capacity.Minus(executor.allocated), Total: executor.capacity, Labels: executor.labels, Rack: executor.rack(),
		Penalty: executor.penaltyScore() + executor.slownessPenalty() + executor.overduePenalty(now), RunLimit: executor.remainingRuns(), IsUnschedulable: p.isExcluded(executor, now)}
}

// isExcluded reports whether an executor gets no new runs now.
func (p *Pool) isExcluded(executor *executorState, now time.Duration) bool {
	isUnavailable := executor.isUnschedulable || now < executor.ejectedUntil || now-executor.contactAt > p.timing.SilentAfter
	return !executor.isFenced || executor.isDraining || isUnavailable || p.isEvacuated(executor.domain)
}

// removeExecutor does nothing if the executor was removed already.
func (p *Pool) removeExecutor(executor *executorState) {
	if p.executors[executor.id] == executor {
		delete(p.executors, executor.id)
		p.table.remove(executor)
	}
}
