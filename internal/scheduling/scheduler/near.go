package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
)

// mostNearWait bounds the wait for room near a step's data.
const mostNearWait = time.Second

// nearUntil is how long a step waits for room near its data: half of what its tasks lose elsewhere, and not for long.
func (p *Pool) nearUntil(step *stepState) time.Duration {
	if len(step.step.Near) == 0 || step.step.Gang || step.step.Lasting {
		return 0
	}
	loss := time.Duration((p.timing.RemoteFactor - 1) * float64(clock.Milliseconds(step.step.EstimatedMs)))
	return step.openedAt + min(loss/2, mostNearWait)
}

// hasNear tells whether any executor in the roster is near the step's data.
func (p *Pool) hasNear(step *stepState) bool {
	return slices.ContainsFunc(p.roster.lives, func(home *life) bool {
		return slices.ContainsFunc(step.step.Near, func(label string) bool { return slices.Contains(home.labels, label) })
	})
}
