package scheduler

import (
	"maps"
	"math"
	"time"

	"gannetline/internal/scheduling/placement"
)

const (
	penaltyHalfLife = 8 * time.Second
	maxPenalty      = 6.0
	// negligiblePenalty is the penalty below which a machine may be removed from Pool.health.
	negligiblePenalty = 0.05
	// ejectionPause is how long an executor that refused a launch gets no runs.
	ejectionPause = 300 * time.Millisecond
	// singleRunPenalty is the penalty of its machine from which on an executor begins with one run at a time.
	singleRunPenalty = 0.5
	// unlimitedRuns is the run limit from which on the limit is lifted.
	unlimitedRuns = 64
	// maxStalls is how many runs of a task are stopped at most because they make no progress.
	maxStalls = 4
	// heartbeatOverdue is the time without a report after which an executor is overdue. Its proxy polls for orders every 300 ms, and every
	// 600 ms while the executor is idle. An overdue executor is chosen last among equals, as an order for it may have to be given to
	// another executor once it counts as silent.
	heartbeatOverdue = 450 * time.Millisecond
	// overdueWeight is the penalty of an overdue executor.
	overdueWeight = 0.4
	// priorSuccesses are added to the successes of every executor, so that a single failure isn't a failure rate of 100%.
	priorSuccesses = 4
	// machinePenaltyWeight is the weight of a machine's penalty relative to its executor's failure rate.
	machinePenaltyWeight = 0.3
	// timeoutWeight is the weight, relative to a failed run, of an order that the executor didn't answer in time.
	timeoutWeight = 0.3
	// countDecay is the factor by which failures and successes decay each tick.
	countDecay = 0.99
	// sharedFailureWeight is the weight of a failed run whose task has failed on another executor as well.
	sharedFailureWeight = 0.2
)

// machineHealth is the penalty of a machine whose executor hung, refused a launch or ended unexpectedly. It outlives the incarnations of the
// executor.
type machineHealth struct {
	penalty float64
	at      time.Duration
}

// penaltyAt returns the penalty after its exponential decay, so that a machine recovers gradually.
func (h *machineHealth) penaltyAt(now time.Duration) float64 {
	return h.penalty * math.Exp2(-float64(now-h.at)/float64(penaltyHalfLife))
}

// worsen decays the penalty up to now and adds 1, up to maxPenalty.
func (h *machineHealth) worsen(now time.Duration) {
	h.penalty, h.at = min(maxPenalty, h.penaltyAt(now)+1), now
}

func (p *Pool) machinePenalty(machine string, now time.Duration) float64 {
	if health := p.health[machine]; health != nil {
		return health.penaltyAt(now)
	}
	return 0
}

// suspectMachine penalizes the machine of an executor that ended unexpectedly or hung, and limits the executor to one run at a time.
func (p *Pool) suspectMachine(executor *executorState) {
	p.penalize(executor)
	executor.runLimit = 1
}

// penalize raises the penalty of an executor's machine. Before it adds a machine to p.health it removes those whose penalty has decayed, so
// that only machines with recent failures are kept.
func (p *Pool) penalize(executor *executorState) {
	now := p.clock.Monotonic()
	health := p.health[executor.proxy]
	if health == nil {
		maps.DeleteFunc(p.health, func(_ string, other *machineHealth) bool { return other.penaltyAt(now) < negligiblePenalty })
		health = &machineHealth{at: now}
		p.health[executor.proxy] = health
	}
	health.worsen(now)
	executor.penalty = health.penaltyAt(now)
}

// applyPenalty sets the penalty of the executor's machine. A new incarnation on a penalized machine begins with one run at a time; the
// limit ends when the penalty has decayed below singleRunPenalty.
func (e *executorState) applyPenalty(penalty float64) {
	if !e.isKnown && penalty >= singleRunPenalty {
		e.runLimit = 1
	}
	if penalty < singleRunPenalty {
		e.runLimit = 0
	}
	e.penalty = penalty
}

// recordSuccess doubles the run limit, as each completed run shows that the executor is healthy. From unlimitedRuns on there is no limit.
func (e *executorState) recordSuccess() {
	e.runLimit *= 2
	if e.runLimit >= unlimitedRuns {
		e.runLimit = 0
	}
}

// remainingRuns returns how many runs may be added, in the terms of placement.Executor.RunLimit: 0 for no limit, NoRuns for none.
func (e *executorState) remainingRuns() int {
	switch {
	case e.runLimit == 0:
		return 0
	case len(e.runs) >= e.runLimit:
		return placement.NoRuns
	}
	return e.runLimit - len(e.runs)
}

// overduePenalty returns the penalty of an executor whose report is overdue.
func (e *executorState) overduePenalty(now time.Duration) float64 {
	if now-e.contactAt > heartbeatOverdue {
		return overdueWeight
	}
	return 0
}

// penalizeUnlessEjected penalizes the machine for a refusal. Further refusals during the pause that follows are not counted.
func (p *Pool) penalizeUnlessEjected(executor *executorState) {
	if p.clock.Monotonic() >= executor.ejectedUntil {
		p.penalize(executor)
	}
}

// stopIfStalled stops a run that makes no progress, so that its task starts on another executor. Long-running tasks and gangs are left
// running. A task that has stalled maxStalls times is left running, as it stalls everywhere.
func (p *Pool) stopIfStalled(run *runState) {
	task, executor := run.task, run.executor
	if !run.isStuck || run.phase != runRunning || task.step.spec.LongRunning || task.step.spec.Gang || task.stallCount >= maxStalls {
		return
	}
	p.log.Info("run makes no progress", "task", task.name, "run", run.number, "executor", executor.id)
	p.suspectMachine(executor)
	executor.failures++
	task.stallCount++
	task.avoid = executor.id
	p.stopRun(run)
}

// countExecutorFailure counts a failed run against its executor. It counts less if the task failed on another executor before.
func (p *Pool) countExecutorFailure(task *taskState, executor *executorState) {
	switch {
	case task.firstFailedOn == nil:
		task.firstFailedOn = executor
		executor.failures++
	case task.firstFailedOn == executor:
		executor.failures++
	default:
		executor.failures += sharedFailureWeight
		p.reduceFirstFailure(task)
	}
}

// reduceFirstFailure lowers the weight of a task's first failure, once a failure on another executor shows that the cause is the task.
func (p *Pool) reduceFirstFailure(task *taskState) {
	first := task.firstFailedOn
	if !task.isFirstFailureReduced && p.executors[first.id] == first {
		first.failures = max(0, first.failures-(1-sharedFailureWeight))
		p.table.markChanged(first)
	}
	task.isFirstFailureReduced = true
}
