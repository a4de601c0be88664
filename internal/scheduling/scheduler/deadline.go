package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// What is too late for anything waits behind all else, but not for ever: after a while it counts as late again, and
// after a longer one it goes first.
const (
	lateAgainMs  = 6000
	firstAgainMs = 20000
)

// computeRemainingPaths works out how long the chain from each step to the job's end is, as far as it is known beforehand.
func (t *occurrence) computeRemainingPaths() {
	for _, step := range slices.Backward(t.steps) {
		step.remainingPathMs += step.spec.EstimatedMs
		for _, earlier := range step.spec.DependsOn {
			t.steps[earlier].remainingPathMs = max(t.steps[earlier].remainingPathMs, step.remainingPathMs)
		}
	}
}

// deadlineTurns are the times of day, in ms, from which on a step is late, too late, late again, and first.
func (s *stepState) deadlineTurns() [4]int64 {
	last := s.occurrence.expiryMs - s.remainingPathMs
	return [4]int64{s.occurrence.targetMs - s.remainingPathMs, last, last + lateAgainMs, last + firstAgainMs}
}

// deadlineClass tells how near a step is to its deadline; a long-running step has none.
func (p *Pool) deadlineClass(step *stepState) placement.DeadlineClass {
	if step.spec.LongRunning {
		return placement.OnTime
	}
	classes := [4]placement.DeadlineClass{placement.Late, placement.Expired, placement.Late, placement.OnTime}
	now, class := p.leadership.WallMs(), placement.OnTime
	for index, turn := range step.deadlineTurns() {
		if now >= turn {
			class = classes[index]
		}
	}
	return class
}

// nextDeadlineChange is when the deadline class of a step changes next.
func (p *Pool) nextDeadlineChange(step *stepState, now time.Duration) time.Duration {
	if step.spec.LongRunning {
		return never
	}
	nowMs := p.leadership.WallMs()
	for _, turn := range step.deadlineTurns() {
		if nowMs < turn {
			return now + clock.Milliseconds(turn-nowMs)
		}
	}
	return never
}
