package scheduler

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/logging"
)

// handleOrderAnswer handles an executor's answer to an order. A run whose launch was refused is closed at once only if the launch was sent
// at most once. If it was sent more often, or by an earlier leader and no list of runs has come since, another copy may still start the run,
// so the run is stopped instead.
func (p *Pool) handleOrderAnswer(executor *executorState, answer wire.OrderAnswer) {
	run := executor.runs[runKey{answer.Task, answer.Run}]
	if run == nil {
		return
	}
	now := p.clock.Monotonic()
	if answer.Kind == wire.OrderStop {
		if run.phase == runStopping && answer.Result == wire.ResultOK && !run.isAnswered {
			run.isAnswered, run.answeredAt = true, now
			p.dropRecord(orderName(run.task, run.number, wire.OrderStop))
			p.putTask(run.task)
		}
		return
	}
	if run.phase != runLaunching {
		return
	}
	cannotStart := run.sendCount <= 1 && run.awaitedList == 0
	switch answer.Result {
	case wire.ResultOK:
		p.markRunning(run)
		run.startedAt -= min(clock.Milliseconds(answer.AgeMs), now-run.orderedAt)
	case wire.ResultNotRun, wire.ResultNoCapacity, wire.ResultUnhealthy:
		if answer.Result == wire.ResultUnhealthy {
			p.penalizeUnlessEjected(executor)
			executor.failures++
		}
		if answer.Result != wire.ResultNotRun {
			executor.ejectedUntil = now + ejectionPause
		}
		run.task.avoid = executor.id
		if cannotStart {
			p.closeRun(run)
			return
		}
		p.stopRun(run)
	case wire.ResultUncertain:
		p.stopRun(run)
	case wire.ResultTimeout:
		executor.failures += timeoutWeight
	}
}

// handleEnds handles the new reports of ended runs in the order of their numbers, and reports whether there were any. They are acknowledged
// to the executor, through lastSeen, only after their effects are committed.
func (p *Pool) handleEnds(executor *executorState, ends []wire.EndReport) (hasNewEnds bool) {
	if !executor.isFenced || len(ends) == 0 || ends[len(ends)-1].Number <= executor.lastProcessedEnd {
		return false
	}
	for _, end := range ends {
		if end.Number > executor.lastProcessedEnd {
			executor.lastProcessedEnd = end.Number
			p.handleEnd(executor, end)
		}
	}
	processed := executor.lastProcessedEnd
	p.afterCommit(func(err error) {
		if err == nil && processed > executor.lastSeen {
			p.logAcknowledged(executor, ends, processed)
			executor.lastSeen = processed
		}
	})
	return true
}

// logAcknowledged logs the end reports that are about to be acknowledged: those numbered above the executor's lastSeen, up to processed.
func (p *Pool) logAcknowledged(executor *executorState, ends []wire.EndReport, processed int64) {
	log := p.log.V(logging.TraceVerbosity)
	if !log.Enabled() {
		return
	}
	for _, end := range ends {
		if end.Number > executor.lastSeen && end.Number <= processed {
			log.Info("end acknowledged", "key", p.key, "epoch", p.leadership.Epoch(), "executor", executor.id, "number", end.Number,
				"task", end.Task, "run", end.Run, "outcome", end.Outcome)
		}
	}
}

// handleChangedRuns stores reported checkpoints and whether runs are stuck.
func (p *Pool) handleChangedRuns(executor *executorState, changed []wire.RunReport) {
	for _, report := range changed {
		run := executor.runs[runKey{report.Task, report.Run}]
		if run == nil {
			continue
		}
		if report.Checkpoint != "" {
			p.recordCheckpoint(run.task, report.Checkpoint)
		}
		run.isStuck = report.Stuck
		p.stopIfStalled(run)
	}
}

// requestRunList asks an executor for a new list of its runs, which will resolve this run's state.
func (p *Pool) requestRunList(executor *executorState, run *runState) {
	p.lastListNumber++
	executor.listWanted, executor.listWantedAt = p.lastListNumber, p.clock.Monotonic()
	run.awaitedList = p.lastListNumber
	p.answerPoll(executor)
}

// handleRunList compares an executor's full list of runs with the pool's own. It stops runs that the pool doesn't have, and resolves the
// runs that waited for this list.
func (p *Pool) handleRunList(executor *executorState, call *wire.ExchangeCall) {
	if call.ListNumber == 0 || !executor.isFenced {
		return
	}
	running := map[runKey]bool{}
	for _, report := range call.Running {
		key := runKey{report.Task, report.Run}
		running[key] = true
		hasEnded := slices.ContainsFunc(call.Ends, func(end wire.EndReport) bool { return end.Task == report.Task && end.Run == report.Run })
		if executor.runs[key] == nil && !hasEnded {
			p.stopOrphan(executor, report)
		}
	}
	for _, run := range executor.sortedRuns() {
		if run.awaitedList == 0 || run.awaitedList > call.ListNumber {
			continue
		}
		run.awaitedList = 0
		p.resolveRun(run, running[run.key()])
	}
}

// resolveRun decides the state of an uncertain run. The list that isRunning comes from was made after the run became uncertain.
func (p *Pool) resolveRun(run *runState, isRunning bool) {
	switch {
	case run.phase == runLaunching && isRunning:
		p.markRunning(run)
	case run.phase == runLaunching:
		run.sendCount = 0
		p.queueOrder(run)
	case run.phase == runRunning && !isRunning:
		p.closeRun(run)
	case run.phase == runStopping && run.isAnswered && !isRunning:
		p.closeRun(run)
	case run.phase == runStopping && !run.isAnswered:
		p.queueOrder(run)
	}
}

// stopOrphan stops a run that the pool has no record of, for example one that started after its order had timed out.
func (p *Pool) stopOrphan(executor *executorState, report wire.RunReport) {
	order := wire.Order{Kind: wire.OrderStop, Task: report.Task, Run: report.Run}
	if !slices.Contains(executor.orphanStops, order) {
		p.log.Info("stopping orphaned run", "task", report.Task, "run", report.Run, "executor", executor.id)
		executor.orphanStops = append(executor.orphanStops, order)
	}
}
