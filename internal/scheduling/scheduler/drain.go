package scheduler

import (
	"gannetline/internal/platform/clock"
)

// evacuate moves what will not end before a leaving executor is gone.
func (p *Pool) evacuate(executor *executorState) {
	for _, run := range executor.sortedRuns() {
		p.evacuateRun(run)
	}
}

// evacuateRun stops a run on a draining executor when it can't finish before the executor departs.
func (p *Pool) evacuateRun(run *runState) {
	executor, step, now := run.executor, run.task.step.spec, p.clock.Monotonic()
	if run.phase != runRunning || !executor.isDraining {
		return
	}
	remaining := clock.Milliseconds(step.EstimatedMs) - (now - run.startedAt)
	if step.LongRunning || executor.departureAt > 0 && remaining > executor.departureAt-now {
		p.stopRun(run)
	}
}
