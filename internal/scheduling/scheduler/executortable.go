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

func (t *executorTable) indexOf(id string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(executor *executorState, id string) int { return cmp.Compare(executor.id, id) })
}

func (t *executorTable) add(executor *executorState) {
	index, _ := t.indexOf(executor.id)
	t.sorted = slices.Insert(t.sorted, index, executor)
	t.renumber(index)
}

func (t *executorTable) remove(executor *executorState) {
	index, exists := t.indexOf(executor.id)
	if exists {
		t.sorted = slices.Delete(t.sorted, index, index+1)
		t.renumber(index)
	}
}

// renumber updates the indices of the executors from a position on.
func (t *executorTable) renumber(from int) {
	for index := from; index < len(t.sorted); index++ {
		t.sorted[index].index = index
	}
	t.version++
	t.isStale = true
}

func (t *executorTable) markChanged(executor *executorState) {
	if !executor.isChanged {
		executor.isChanged = true
		t.changed = append(t.changed, executor)
	}
}

// placementView returns placement's view of the executors. It recomputes only the entries that have changed, if that is enough.
func (p *Pool) placementView(now time.Duration) []placement.Executor {
	t := &p.table
	if t.isStale || now >= t.validUntil {
		t.validUntil, t.isStale, t.usedCPU, t.openCapacity, t.totalCapacity = never, false, 0, placement.Resources{}, placement.Resources{}
		t.view = slices.Grow(t.view[:0], len(t.sorted))[:len(t.sorted)]
		clear(t.view)
		for _, executor := range t.sorted {
			p.updateView(executor, now)
		}
	} else {
		for _, executor := range t.changed {
			p.updateView(executor, now)
		}
	}
	for _, executor := range t.changed {
		executor.isChanged = false
	}
	t.changed = t.changed[:0]
	return t.view
}

// updateView recomputes placement's view of an executor and updates the sums over all executors. It lowers validUntil to the earliest
// moment at which the view changes by the passing of time alone.
func (p *Pool) updateView(executor *executorState, now time.Duration) {
	t := &p.table
	former, current := &t.view[executor.index], p.viewOf(executor, now)
	t.openCapacity = t.openCapacity.Minus(openCapacity(former)).Plus(openCapacity(&current))
	t.usedCPU += takenCPU(&current) - takenCPU(former)
	t.totalCapacity = t.totalCapacity.Minus(former.Total).Plus(current.Total)
	*former = current
	if now < executor.ejectedUntil {
		t.validUntil = min(t.validUntil, executor.ejectedUntil)
	}
	if overdueAt := executor.contactAt + heartbeatOverdue + 1; now < overdueAt {
		t.validUntil = min(t.validUntil, overdueAt)
	}
	if silentAt := executor.contactAt + p.timing.SilentAfter + 1; now < silentAt {
		t.validUntil = min(t.validUntil, silentAt)
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
	isUnavailable := executor.isUnreachable || now < executor.ejectedUntil || now-executor.contactAt > p.timing.SilentAfter
	return !executor.isFenced || executor.isDraining || isUnavailable || p.isEvacuated(executor.domain)
}

// removeExecutor does nothing if the executor was removed already.
func (p *Pool) removeExecutor(executor *executorState) {
	if p.executors[executor.id] == executor {
		delete(p.executors, executor.id)
		p.table.remove(executor)
	}
}
