package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
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

// lateFrom and expiredFrom are the times of day, in ms, from which on a step can't be on time any more, and can't be of use.
func (s *stepState) lateFrom() int64    { return s.occurrence.targetMs - s.remainingPathMs }
func (s *stepState) expiredFrom() int64 { return s.occurrence.expiryMs - s.remainingPathMs }

// deadlineClass tells how near a step is to its deadline; a long-running step has none. The class only ever gets worse: what has
// expired has a share of the capacity (shares), and must not come back in front of work that is still of use.
func (p *Pool) deadlineClass(step *stepState) placement.DeadlineClass {
	now := p.leadership.WallMs()
	switch {
	case step.spec.LongRunning || now < step.lateFrom():
		return placement.OnTime
	case now < step.expiredFrom():
		return placement.Late
	}
	return placement.Expired
}

// nextDeadlineChange is when the deadline class of a step changes next.
func (p *Pool) nextDeadlineChange(step *stepState, now time.Duration) time.Duration {
	if step.spec.LongRunning {
		return never
	}
	nowMs := p.leadership.WallMs()
	for _, turn := range []int64{step.lateFrom(), step.expiredFrom()} {
		if nowMs < turn {
			return now + clock.Milliseconds(turn-nowMs)
		}
	}
	return never
}
