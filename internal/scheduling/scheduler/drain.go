package scheduler

import (
	"gannetline/internal/platform/clock"
)

// stopUnfinishableRuns stops the runs that can't finish before a draining executor departs, so that their tasks start elsewhere.
func (p *Pool) stopUnfinishableRuns(executor *executorState) {
	for _, run := range executor.sortedRuns() {
		p.stopIfUnfinishable(run)
	}
}

// stopIfUnfinishable stops a run on a draining executor if it can't finish before the executor departs, by the estimate of its step. A
// long-running run is always stopped.
func (p *Pool) stopIfUnfinishable(run *runState) {
	executor, step, now := run.executor, run.task.step.spec, p.clock.Monotonic()
	if run.phase != runRunning || !executor.isDraining {
		return
	}
	remaining := clock.Milliseconds(step.EstimatedMs) - (now - run.startedAt)
	if step.LongRunning || executor.departureAt > 0 && remaining > executor.departureAt-now {
		p.stopRun(run)
	}
}
