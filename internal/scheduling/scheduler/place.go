package scheduler

import (
	"slices"

	"gannetline/internal/scheduling/placement"
)

// place starts what fits, when something has changed since it last did.
func (p *Pool) place() {
	if !p.needsPlacing {
		return
	}
	p.needsPlacing = false
	if !slices.ContainsFunc(p.table.sorted, func(executor *executorState) bool { return executor.isKnown }) {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.metrics.placeSeconds.Observe(p.clock.Monotonic() - now) }()
	p.refreshAll(now)
	executors := p.placementView(now)
	placed := placement.Place(executors, p.open.queue(), p.limits(now))
	for _, start := range p.starts(placed) {
		p.launch(start)
	}
}

// start is a run that was placed.
type start struct {
	task        *taskState
	executor    *executorState
	number      int64
	isFromShare bool
}

// starts gives each placement its task and the number of its run; all of a gang have one number.
func (p *Pool) starts(placed []placement.Placement) []start {
	starts := make([]start, len(placed))
	next, gangRun := map[int]int{}, map[int]int64{}
	for index, assignment := range placed {
		request := p.open.request(assignment.Group)
		if request.group.IsSpeculative {
			p.metrics.speculativeRuns.Inc()
		}
		step, task := request.step, request.tasks[next[assignment.Group]]
		next[assignment.Group]++
		number := task.lastRun + 1
		if step.spec.Gang {
			if gangRun[assignment.Group] == 0 {
				gangRun[assignment.Group] = step.lastRun() + 1
			}
			number = gangRun[assignment.Group]
		}
		starts[index] = start{task, p.table.sorted[assignment.Executor], number, assignment.IsFromShare}
	}
	return starts
}
