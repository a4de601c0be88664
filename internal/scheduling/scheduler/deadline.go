package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// computeRemainingPaths computes for each step the length of the longest chain of steps from it to the job's end, by the estimates.
func (o *occurrence) computeRemainingPaths() {
	for _, step := range slices.Backward(o.steps) {
		step.remainingPathMs += step.spec.EstimatedMs
		for _, dependency := range step.spec.DependsOn {
			o.steps[dependency].remainingPathMs = max(o.steps[dependency].remainingPathMs, step.remainingPathMs)
		}
	}
}

// lateFrom returns the time of day, in ms, from which the step can no longer be completed on time.
func (s *stepState) lateFrom() int64 { return s.occurrence.targetMs - s.remainingPathMs }

// expiredFrom returns the time of day, in ms, from which the step can no longer be completed before its occurrence expires.
func (s *stepState) expiredFrom() int64 { return s.occurrence.expiryMs - s.remainingPathMs }

// waitFraction is the fraction of the time from the release of a step's occurrence to lateFrom during which the step gets no capacity
// share.
const waitFraction = 0.25

// waitsUntil returns the time of day, in ms, until which canWait is true for a step that isn't long-running.
func (s *stepState) waitsUntil() int64 {
	from := s.occurrence.releaseMs
	return from + int64(waitFraction*float64(s.lateFrom()-from))
}

// canWait reports whether a step may be started much later and still be on time, so that shares skip it. A long-running step can't wait.
func (p *Pool) canWait(step *stepState) bool {
	return !step.spec.LongRunning && p.leadership.WallMs() < step.waitsUntil()
}

// deadlineClass returns whether a step is on time, late or expired; a long-running step has no deadline and is on time. The class only gets
// worse as time passes: expired work has a capacity share of its own (see shares), and must not be placed ahead of work that is still
// useful. Surplus work, which a tenant sends beyond its rate, is expired from the beginning, so that it comes after all other work.
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

// nextDeadlineChange returns the monotonic time of the next change of a step's deadline class or of canWait.
func (p *Pool) nextDeadlineChange(step *stepState, now time.Duration) time.Duration {
	if step.spec.LongRunning {
		return never
	}
	nowMs := p.leadership.WallMs()
	for _, changeMs := range []int64{step.waitsUntil(), step.lateFrom(), step.expiredFrom()} {
		if nowMs < changeMs {
			return now + clock.Milliseconds(changeMs-nowMs)
		}
	}
	return never
}
