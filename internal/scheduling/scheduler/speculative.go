package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

const (
	// silenceBeforeSpeculation is how long an executor may be silent, and unansweredBeforeSpeculation how long a launch may be unanswered,
	// before the task gets a speculative run.
	silenceBeforeSpeculation    = 700 * time.Millisecond
	unansweredBeforeSpeculation = 400 * time.Millisecond
	// minOverdue is the least duration after which a run is overdue.
	minOverdue = 250 * time.Millisecond
	// minSamples is how many completed runs are needed for a median; a step with few tasks needs fewer.
	minSamples   = 3
	maxDurations = 64
	// maxRatio is the upper bound of a ratio to the median, so that one very long run doesn't outweigh all others.
	maxRatio = 10
	// slowFactorSamples is the approximate number of runs over which an executor's slow factor is averaged.
	slowFactorSamples = 6
	// minOverdueFactor is the least multiple of the median after which a run is overdue.
	minOverdueFactor = 2
	// toleratedSlowFactor is the slow factor up to which an executor has no penalty. Above it, the excess is weighted by slownessWeight.
	toleratedSlowFactor = 1.6
	slownessWeight      = 0.4
)

// medianDuration returns the median duration of the step's completed runs. It returns false while there are too few of them. The estimate
// of the spec doesn't replace it, as that may be far off.
func (s *stepState) medianDuration() (time.Duration, bool) {
	if len(s.durations) < min(minSamples, max(1, len(s.tasks)/3)) {
		return 0, false
	}
	return s.durations[len(s.durations)/2], true
}

// recordDuration updates the statistics with the duration of a completed run: the slow factor of its executor, the spread of durations in
// its queue, and the time after which a run of its step is overdue. In a queue whose durations vary widely, a long run raises the slow
// factor less.
func (p *Pool) recordDuration(step *stepState, executor *executorState, length time.Duration) {
	if ratio, isKnown := step.ratio(length); isKnown {
		spread := p.spreadOf(step)
		executor.slowFactor += (min(maxRatio, ratio*defaultSpread/max(defaultSpread, spread.ninthDecile)) - executor.slowFactor) / slowFactorSamples
		spread.add(ratio)
	}
	if len(step.durations) < maxDurations {
		index, _ := slices.BinarySearch(step.durations, length)
		step.durations = slices.Insert(step.durations, index, length)
	}
	step.overdueFactor = max(minOverdueFactor, overdueSpreads*p.spreadOf(step).ninthDecile)
}

// ratio returns the duration of a run as a multiple of its step's median. It returns false while there is no median.
func (s *stepState) ratio(length time.Duration) (float64, bool) {
	median, isKnown := s.medianDuration()
	if !isKnown || median <= 0 {
		return 0, false
	}
	return min(maxRatio, float64(length)/float64(median)), true
}

// durationSpread estimates how widely the durations in a queue vary: ninthDecile is the ratio to the step's median that nine of ten runs
// stay below.
type durationSpread struct{ ninthDecile float64 }

const (
	// defaultSpread is the spread of a queue without completed runs.
	defaultSpread = 4.0 / 3
	// spreadStep scales how far one run moves the estimate: up by 0.9 times spreadStep, or down by 0.1 times spreadStep.
	spreadStep = 0.05
	// overdueSpreads is the multiple of its queue's spread after which a run is overdue.
	overdueSpreads = 1.5
)

// add updates the estimate with the ratio of one run. The unequal steps up and down let it settle where nine of ten ratios are below it.
func (s *durationSpread) add(ratio float64) {
	if ratio > s.ninthDecile {
		s.ninthDecile += 0.9 * spreadStep
		return
	}
	s.ninthDecile = max(1, s.ninthDecile-0.1*spreadStep)
}

// spreadOf returns the spread of durations of a step's queue.
func (p *Pool) spreadOf(step *stepState) *durationSpread {
	queue := step.queue()
	spread := p.spreads[queue]
	if spread == nil {
		spread = &durationSpread{ninthDecile: defaultSpread}
		p.spreads[queue] = spread
	}
	return spread
}

// recordOvertaken updates the spread of a queue with a run that was still running when another run completed its task. Its duration so
// far is a lower bound, as it would have run even longer.
func (p *Pool) recordOvertaken(run *runState) {
	if run.phase != runRunning {
		return
	}
	if ratio, isKnown := run.task.step.ratio(p.clock.Monotonic() - run.startedAt); isKnown {
		p.spreadOf(run.task.step).add(ratio)
	}
}

// slownessPenalty returns the penalty for an executor's slow factor, 0 up to toleratedSlowFactor.
func (e *executorState) slownessPenalty() float64 {
	return max(0, e.slowFactor-toleratedSlowFactor) * slownessWeight
}

// overdueAfter returns the duration after which a run takes so long that its executor is probably at fault. Without a median it is computed
// from the estimate of the spec.
func (s *stepState) overdueAfter() time.Duration {
	if median, isKnown := s.medianDuration(); isKnown {
		return max(minOverdue, time.Duration(s.overdueFactor*float64(median)))
	}
	return max(2*minOverdue, 4*clock.Milliseconds(s.spec.EstimatedMs))
}

// tasksToSpeculate returns the tasks of a redundant step whose only run needs a speculative one, and when the next task may need one.
func (p *Pool) tasksToSpeculate(step *stepState, now time.Duration) (tasks []*taskState, next time.Duration) {
	next = never
	if !step.spec.Redundant || step.spec.Gang {
		return nil, next
	}
	for _, task := range step.busy {
		switch {
		case task.isDone || len(task.runs) != 1:
		case p.needsSpeculation(task.runs[0], now):
			tasks = append(tasks, task)
		default:
			next = min(next, speculateFrom(task.runs[0]))
		}
	}
	if step.spec.AntiAffinity > 0 && len(tasks) > 0 {
		tasks = p.limitByAntiAffinity(step, tasks, now)
	}
	return tasks, next
}

// speculateFrom returns when a run needs a speculative one if there is no report until then.
func speculateFrom(run *runState) time.Duration {
	silent := run.executor.contactAt + silenceBeforeSpeculation + 1
	switch {
	case run.phase == runStopping:
		return never
	case run.phase == runLaunching && run.sendCount == 0:
		return silent
	case run.phase == runLaunching:
		return min(silent, run.orderedAt+unansweredBeforeSpeculation+1)
	}
	return min(silent, run.startedAt+run.task.step.overdueAfter()+1)
}

// refreshSpeculation is called when the state of an executor has changed. It marks the requests of all tasks with runs there as stale, so
// that the need for speculative runs is decided again.
func (p *Pool) refreshSpeculation(executor *executorState) {
	for _, run := range executor.runs {
		p.markChanged(run.task)
	}
}

// limitByAntiAffinity limits a step with anti-affinity to one request for a speculative run per placement, and to none while tasks of it
// are ready. Otherwise one placement could exceed the limit of runs per executor, since it checks each request without the runs that it
// places for the others.
func (p *Pool) limitByAntiAffinity(step *stepState, tasks []*taskState, now time.Duration) []*taskState {
	if ready, _ := p.ready(step, now); len(ready) > 0 {
		return nil
	}
	return tasks[:1]
}

// needsSpeculation reports whether a second run should be started beside this one. That is so if its executor is silent or unreachable,
// if its launch is unanswered, or if it takes far longer than other runs of its step.
func (p *Pool) needsSpeculation(run *runState, now time.Duration) bool {
	switch executor := run.executor; {
	case run.phase == runStopping:
		return false
	case now-executor.contactAt > silenceBeforeSpeculation || executor.isUnreachable:
		return true
	case run.phase == runLaunching:
		return run.sendCount > 0 && now-run.orderedAt > unansweredBeforeSpeculation
	}
	return now-run.startedAt > run.task.step.overdueAfter()
}

// speculativeGroup returns the group for a second run of a task, on any executor but that of the first run.
func (p *Pool) speculativeGroup(task *taskState) placement.Group {
	group := p.group(task.step, []*taskState{task})
	group.IsSpeculative, group.ExcludedIndices = true, []int{task.runs[0].executor.index}
	return group
}
