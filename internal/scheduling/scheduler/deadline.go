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

// waitPart is the part of the time in which a step must be started to be on time that it can wait without help.
const waitPart = 0.25

// waitsUntil is the time of day, in ms, up to which a step can wait.
func (s *stepState) waitsUntil() int64 {
	from := s.occurrence.releaseMs
	return from + int64(waitPart*float64(s.lateFrom()-from))
}

// canWait tells whether a step may be started a good while later and still be on time; a long-running one has no time to lose.
func (p *Pool) canWait(step *stepState) bool {
	return !step.spec.LongRunning && p.leadership.WallMs() < step.waitsUntil()
}

// deadlineClass tells how near a step is to its deadline; a long-running step has none. The class only ever gets worse: what has
// expired has a share of the capacity (shares), and must not come back in front of work that is still of use. What a tenant sends beyond
// its rate is of no use from the beginning: it comes after all that is owed to anybody.
func (p *Pool) deadlineClass(step *stepState) placement.DeadlineClass {
	now := p.leadership.WallMs()
	switch {
	case step.occurrence.job.record.IsSurplus && !step.spec.LongRunning:
		return placement.Expired
	case step.spec.LongRunning || now < step.lateFrom():
		return placement.OnTime
	case now < step.expiredFrom():
		return placement.Late
	}
	return placement.Expired
}

// nextDeadlineChange is when the deadline class of a step changes next, or that it can wait.
func (p *Pool) nextDeadlineChange(step *stepState, now time.Duration) time.Duration {
	if step.spec.LongRunning {
		return never
	}
	nowMs := p.leadership.WallMs()
	for _, turn := range []int64{step.waitsUntil(), step.lateFrom(), step.expiredFrom()} {
		if nowMs < turn {
			return now + clock.Milliseconds(turn-nowMs)
		}
	}
	return never
}
