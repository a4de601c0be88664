package scheduler

import (
	"slices"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/placement"
)

// launch adds a run and its launch order to the change set. The order is sent after the commit.
func (p *Pool) launch(placed placedRun) {
	p.metrics.placements.Inc()
	task := placed.task
	run := &runState{task: task, number: placed.number, executor: placed.executor, phase: runLaunching, orderedAt: p.clock.Monotonic(),
		isExpired: p.deadlineClass(task.step) == placement.Expired, isFromShare: placed.isFromShare}
	task.lastRun = run.number
	p.endGangWatch(task.step)
	p.recordExecutor(run.executor)
	p.addRun(run)
	p.putRecord(orderName(task, run.number, wire.OrderLaunch), orderRecord{Executor: run.executor.id})
	p.putTask(task)
	p.afterCommit(func(err error) {
		run.isCommitted = true
		if err == nil && run.phase == runLaunching {
			p.queueOrder(run)
		}
	})
}

// addRun adds a run to its task and executor and to all counts of runs. closeRun removes it again.
func (p *Pool) addRun(run *runState) {
	task, executor, need := run.task, run.executor, run.task.step.need()
	task.runs = append(task.runs, run)
	executor.runs[run.key()] = run
	executor.allocated = executor.allocated.Plus(need)
	task.job().runCount++
	p.allocate(run)
	p.countTenantRun(run, 1)
	if run.phase != runRunning {
		p.pendingRuns[run] = true
	}
	p.markRunChanged(run)
}

// markRunChanged marks the placement requests of the run's occurrence, and placement's view of its executor, to be recomputed.
func (p *Pool) markRunChanged(run *runState) {
	p.markChanged(run.task)
	p.table.markChanged(run.executor)
}

// stopRun orders a run to stop. If the run is a member of a gang, all other members are stopped as well, since they could only wait for it.
// A run whose launch is committed but was not sent is closed at once.
func (p *Pool) stopRun(run *runState) {
	if run.phase == runStopping {
		return
	}
	if run.phase == runLaunching && run.isCommitted && run.sendCount == 0 && run.awaitedList == 0 {
		p.closeRun(run)
		return
	}
	p.metrics.stops.Inc()
	run.phase, run.sendCount, run.sentAt, run.isAnswered, run.orderedAt = runStopping, 0, 0, false, p.clock.Monotonic()
	p.pendingRuns[run] = true
	p.markRunChanged(run)
	p.dropRecord(orderName(run.task, run.number, wire.OrderLaunch))
	p.putRecord(orderName(run.task, run.number, wire.OrderStop), orderRecord{Executor: run.executor.id})
	p.putTask(run.task)
	p.afterCommit(func(err error) {
		if err == nil && run.phase == runStopping {
			p.queueOrder(run)
		}
	})
	if run.task.step.spec.Gang {
		p.stopStep(run.task.step)
	}
}

// stopStep stops all runs of a step.
func (p *Pool) stopStep(step *stepState) {
	for _, task := range slices.Clone(step.busy) {
		for _, run := range slices.Clone(task.runs) {
			p.stopRun(run)
		}
	}
}

// closeRun removes a run from all tables. It may only be called for a run that certainly isn't running and can no longer start.
func (p *Pool) closeRun(run *runState) {
	executor, task := run.executor, run.task
	if executor.runs[run.key()] != run {
		return
	}
	delete(executor.runs, run.key())
	executor.idleSince = p.clock.Monotonic()
	if run.startedAt > 0 {
		task.step.lastProgressAt = p.clock.Monotonic()
	}
	delete(p.pendingRuns, run)
	executor.allocated = executor.allocated.Minus(task.step.need())
	task.runs = slices.DeleteFunc(task.runs, func(other *runState) bool { return other == run })
	p.deallocate(run)
	p.countTenantRun(run, -1)
	p.markRunChanged(run)
	p.watchBrokenGang(task.step)
	switch run.phase {
	case runLaunching:
		p.dropRecord(orderName(task, run.number, wire.OrderLaunch))
	case runStopping:
		p.dropRecord(orderName(task, run.number, wire.OrderStop))
	}
	p.putTask(task)
	p.needsPlacing = true
	job := task.job()
	job.runCount--
	p.forgetIfOver(job)
	if !executor.isKnown && len(executor.runs) == 0 {
		p.forgetExecutor(executor)
	}
}

// markRunning marks a launching run as running.
func (p *Pool) markRunning(run *runState) {
	if run.phase != runLaunching {
		return
	}
	p.metrics.starts.Inc()
	run.phase, run.startedAt = runRunning, p.clock.Monotonic()
	delete(p.pendingRuns, run)
	p.markRunChanged(run)
	p.dropRecord(orderName(run.task, run.number, wire.OrderLaunch))
	p.putTask(run.task)
	p.recordStart(run.task.job())
	p.stopIfStalled(run)
	p.stopIfUnfinishable(run)
}

// recordStart records that a task of the job has started. A queued job becomes active.
func (p *Pool) recordStart(job *jobState) {
	job.hasStarted = true
	if job.phase == jobQueued {
		job.phase = jobActive
		p.queued[job.record.Route]--
	}
}
