package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// maxLocalityWait bounds the wait for capacity near a step's data.
const maxLocalityWait = time.Second

// localityWaitUntil returns the time until which a step waits for capacity near its data, or 0 for a step that doesn't wait. The wait
// begins when the step opens. It lasts half of the extra run time of a task away from its data, but at most maxLocalityWait.
func (p *Pool) localityWaitUntil(step *stepState) time.Duration {
	if len(step.spec.Affinity) == 0 || step.spec.Gang || step.spec.LongRunning {
		return 0
	}
	loss := time.Duration((p.timing.RemoteFactor - 1) * float64(clock.Milliseconds(step.spec.EstimatedMs)))
	return step.openedAt + min(loss/2, maxLocalityWait)
}

// hasLocalExecutor reports whether any executor in the table is near the step's data.
func (p *Pool) hasLocalExecutor(step *stepState) bool {
	return slices.ContainsFunc(p.table.sorted, func(executor *executorState) bool {
		return placement.IsLocal(executor.labels, step.spec.Affinity)
	})
}
