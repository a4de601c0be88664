package scheduler

import (
	"slices"

	"gannetline/internal/scheduling/placement"
)

// place runs placement and launches the runs that it placed. It does nothing if nothing has changed since the last placement, or if no
// executor is known.
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
	assignments := placement.Place(executors, p.open.queue(), p.limits(now))
	for _, placed := range p.placedRuns(assignments) {
		p.launch(placed)
	}
}

// placedRun is a run that placement has assigned to an executor and that is to be launched.
type placedRun struct {
	task     *taskState
	executor *executorState
	number   int64
	// isFromShare is set if a capacity share was used for the run.
	isFromShare bool
}

// placedRuns returns the run to launch for each assignment. All runs of a gang have the same number.
func (p *Pool) placedRuns(assignments []placement.Placement) []placedRun {
	runs := make([]placedRun, len(assignments))
	nextTask, gangRun := map[int]int{}, map[int]int64{}
	for index, assignment := range assignments {
		request := p.open.request(assignment.Group)
		if request.group.IsSpeculative {
			p.metrics.speculativeRuns.Inc()
		}
		step, task := request.step, request.tasks[nextTask[assignment.Group]]
		nextTask[assignment.Group]++
		number := task.lastRun + 1
		if step.spec.Gang {
			if gangRun[assignment.Group] == 0 {
				gangRun[assignment.Group] = step.lastRun() + 1
			}
			number = gangRun[assignment.Group]
		}
		runs[index] = placedRun{task, p.table.sorted[assignment.Executor], number, assignment.IsFromShare}
	}
	return runs
}
