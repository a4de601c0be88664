package scheduler

import (
	"slices"
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

const (
	silenceBeforeSpeculation    = 700 * time.Millisecond
	unansweredBeforeSpeculation = 400 * time.Millisecond
	minOverdue                  = 250 * time.Millisecond
	minSamples                  = 3
	maxDurations                = 64
	// maxRatio bounds a ratio to the median, so that one very long run doesn't outweigh all others.
	maxRatio = 10
	// slowFactorSamples is over about how many runs an executor's slow factor is averaged.
	slowFactorSamples = 6
	// minOverdueFactor is how many times the median a run takes at least before it counts as overdue.
	minOverdueFactor = 2
	// toleratedSlowFactor is how many times as long as elsewhere runs may take on an executor without a penalty;
	// what is above it counts by slownessWeight.
	toleratedSlowFactor = 1.6
	slownessWeight      = 0.4
)

// medianDuration is how long runs of this step take, once some have ended; the estimate is only a guess.
func (s *stepState) medianDuration() (time.Duration, bool) {
	if len(s.durations) < min(minSamples, max(1, len(s.tasks)/3)) {
		return 0, false
	}
	return s.durations[len(s.durations)/2], true
}

// recordDuration learns from the length of a finished run: how slow its executor is, how far lengths spread in its
// queue, and after what time a run of its step is overdue.
func (p *Pool) recordDuration(step *stepState, executor *executorState, length time.Duration) {
	if ratio, isKnown := step.ratio(length); isKnown {
		spread := p.spreadOf(step)
		executor.slowFactor += (min(maxRatio, ratio*evenSpread/max(evenSpread, spread.ninthDecile)) - executor.slowFactor) / slowFactorSamples
		spread.note(ratio)
	}
	if len(step.durations) < maxDurations {
		index, _ := slices.BinarySearch(step.durations, length)
		step.durations = slices.Insert(step.durations, index, length)
	}
	step.overdueFactor = max(minOverdueFactor, overdueSpreads*p.spreadOf(step).ninthDecile)
}

// ratio returns the length of a run as a multiple of its step's median, once there is one.
func (s *stepState) ratio(length time.Duration) (float64, bool) {
	typical, isKnown := s.medianDuration()
	if !isKnown || typical <= 0 {
		return 0, false
	}
	return min(maxRatio, float64(length)/float64(typical)), true
}

// durationSpread is how uneven the runs of a queue's steps are: the ratio to the step's median that nine of ten stay below.
type durationSpread struct{ ninthDecile float64 }

const (
	// evenSpread is the spread of a queue that nothing is known of yet.
	evenSpread = 4.0 / 3
	// spreadStep is by how much one run moves the estimate.
	spreadStep = 0.05
	// overdueSpreads is how many times the spread of its queue a run takes before it is overdue.
	overdueSpreads = 1.5
)

// note moves the estimate up by nine parts or down by one, so that it rests where nine of ten are below it.
func (s *durationSpread) note(ratio float64) {
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
		spread = &durationSpread{ninthDecile: evenSpread}
		p.spreads[queue] = spread
	}
	return spread
}

// recordOvertaken counts a run that its speculative run overtook: it would have been longer still.
func (p *Pool) recordOvertaken(run *runState) {
	if run.phase != runRunning {
		return
	}
	if ratio, isKnown := run.task.step.ratio(p.clock.Monotonic() - run.startedAt); isKnown {
		p.spreadOf(run.task.step).note(ratio)
	}
}

// slownessPenalty is 0 for an executor that keeps up with the others.
func (e *executorState) slownessPenalty() float64 {
	return max(0, e.slowFactor-toleratedSlowFactor) * slownessWeight
}

// overdueAfter is when a run takes so long that something is wrong with its executor.
func (s *stepState) overdueAfter() time.Duration {
	if typical, isKnown := s.medianDuration(); isKnown {
		return max(minOverdue, time.Duration(s.overdueFactor*float64(typical)))
	}
	return max(2*minOverdue, 4*clock.Milliseconds(s.spec.EstimatedMs))
}

// tasksToSpeculate gives the tasks of a redundant step whose only run may not come back in time, and when others may join them.
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

// speculateFrom is when a run needs a speculative one if nothing is reported until then.
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

// refreshSpeculation has the speculative runs of all that an executor runs worked out anew, as its health has changed.
func (p *Pool) refreshSpeculation(executor *executorState) {
	for _, run := range executor.runs {
		p.markChanged(run.task)
	}
}

// limitByAntiAffinity lets a step with anti-affinity ask once in a turn, as what else is placed in the turn is not counted yet.
func (p *Pool) limitByAntiAffinity(step *stepState, tasks []*taskState, now time.Duration) []*taskState {
	if ready, _ := p.ready(step, now); len(ready) > 0 {
		return nil
	}
	return tasks[:1]
}

// needsSpeculation tells whether a second run should be started beside this one: its executor is silent or
// unschedulable, its launch is unanswered, or it takes far longer than others of its step.
func (p *Pool) needsSpeculation(run *runState, now time.Duration) bool {
	switch executor := run.executor; {
	case run.phase == runStopping:
		return false
	case now-executor.contactAt > silenceBeforeSpeculation || executor.isUnschedulable:
		return true
	case run.phase == runLaunching:
		return run.sendCount > 0 && now-run.orderedAt > unansweredBeforeSpeculation
	}
	return now-run.startedAt > run.task.step.overdueAfter()
}

// speculativeGroup asks for a second run of a task, anywhere but where the first one is.
func (p *Pool) speculativeGroup(task *taskState) placement.Group {
	group := p.group(task.step, []*taskState{task})
	group.IsSpeculative, group.ExcludedIndices = true, []int{task.runs[0].executor.index}
	return group
}
