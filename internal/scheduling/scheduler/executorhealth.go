package scheduler

import (
	"maps"
	"math"
	"time"

	"gannetline/internal/scheduling/placement"
)

const (
	penaltyHalfLife   = 8 * time.Second
	maxPenalty        = 6.0
	negligiblePenalty = 0.05
	ejectionPause     = 300 * time.Millisecond
	singleRunPenalty  = 0.5
	unlimitedRuns     = 64
	maxStalls         = 4
	// heartbeatOverdue is when an executor should have reported again, as its proxy asks for orders every 300 ms. One that was
	// not is chosen last among equals, as an order may wait there in vain until it counts as silent.
	heartbeatOverdue = 450 * time.Millisecond
	overdueWeight    = 0.4
	// priorSuccesses are counted for an executor that nothing is known of yet, so that one failure is no rate of 100%.
	priorSuccesses = 4
	// machinePenaltyWeight weighs a machine's penalty beside its executor's rate of failures.
	machinePenaltyWeight = 0.3
	// timeoutWeight weighs an order that the executor didn't answer in time, beside a failure.
	timeoutWeight = 0.3
	// countDecay is by how much failures and successes decay each tick.
	countDecay = 0.99
	// sharedFailureWeight weighs a failure of a task that failed on another executor as well.
	sharedFailureWeight = 0.2
)

// machineHealth is the penalty of an executor's machine for falling silent, refusing or dying, whatever incarnation it is in now.
type machineHealth struct {
	penalty float64
	at      time.Duration
}

// penaltyAt halves with time, so that a machine recovers by degrees.
func (t *machineHealth) penaltyAt(now time.Duration) float64 {
	return t.penalty * math.Exp2(-float64(now-t.at)/float64(penaltyHalfLife))
}

func (t *machineHealth) worsen(now time.Duration) {
	t.penalty, t.at = min(maxPenalty, t.penaltyAt(now)+1), now
}

func (p *Pool) machinePenalty(machine string, now time.Duration) float64 {
	if health := p.health[machine]; health != nil {
		return health.penaltyAt(now)
	}
	return 0
}

// suspectMachine notes that an executor died or hung; what comes next there begins with one run at once.
func (p *Pool) suspectMachine(executor *executorState) {
	p.penalize(executor)
	executor.runLimit = 1
}

// penalize raises the penalty of an executor's machine. Machines whose penalty has decayed are dropped first, so that
// the table is bounded by the machines with recent failures.
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

// learnPenalty lets a penalised machine begin with one run at a time, in a new incarnation as well.
func (e *executorState) learnPenalty(penalty float64) {
	if !e.isKnown && penalty >= singleRunPenalty {
		e.runLimit = 1
	}
	if penalty < singleRunPenalty {
		e.runLimit = 0
	}
	e.penalty = penalty
}

// recordSuccess doubles what may run at once, as each success shows that it is healthy.
func (e *executorState) recordSuccess() {
	e.runLimit *= 2
	if e.runLimit >= unlimitedRuns {
		e.runLimit = 0
	}
}

// remainingRuns is how many runs may be added, as placement counts them.
func (e *executorState) remainingRuns() int {
	switch {
	case e.runLimit == 0:
		return 0
	case len(e.runs) >= e.runLimit:
		return placement.NoRuns
	}
	return e.runLimit - len(e.runs)
}

// overduePenalty weighs that an executor should have reported again.
func (e *executorState) overduePenalty(now time.Duration) float64 {
	if now-e.contactAt > heartbeatOverdue {
		return overdueWeight
	}
	return 0
}

// penalizeUnlessEjected counts the refusals of one moment once.
func (p *Pool) penalizeUnlessEjected(executor *executorState) {
	if p.clock.Monotonic() >= executor.ejectedUntil {
		p.penalize(executor)
	}
}

// moveStalled stops a run that makes no progress, so that its task starts elsewhere. A task that hangs wherever it is, is left to it.
func (p *Pool) moveStalled(run *runState) {
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

// blame weighs a failure against its executor, less where the same task failed on another one before.
func (p *Pool) blame(task *taskState, executor *executorState) {
	switch {
	case task.firstFailedOn == nil:
		task.firstFailedOn = executor
		executor.failures++
	case task.firstFailedOn == executor:
		executor.failures++
	default:
		executor.failures += sharedFailureWeight
		p.excuse(task)
	}
}

// excuse gives back what the first executor was blamed for, once another one shows that the task itself fails.
func (p *Pool) excuse(task *taskState) {
	first := task.firstFailedOn
	if !task.isFirstFailureReduced && p.executors[first.id] == first {
		first.failures = max(0, first.failures-(1-sharedFailureWeight))
		p.table.markChanged(first)
	}
	task.isFirstFailureReduced = true
}
