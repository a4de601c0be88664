package scheduler

import (
	"slices"
	"strconv"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

// launch records the placement and its order in this turn's change; the order leaves after the commit.
func (p *Pool) launch(task *taskState, executor *executorState, number int64) {
	p.meters.placements.Inc()
	run := &runState{task: task, number: number, executor: executor, state: runLaunching, orderedAt: p.clock.Monotonic()}
	task.lastRun = number
	p.endGangWatch(task.step)
	p.recordExecutor(executor)
	p.addRun(run)
	p.putRecord(orderName(task, number, kindLaunch), orderRecord{Executor: executor.id})
	p.putTask(task)
	p.afterCommit(func(err error) {
		run.isCommitted = true
		if err == nil && run.state == runLaunching {
			p.queueOrder(run)
		}
	})
}

// addRun counts a run where it is; closeRun is its end.
func (p *Pool) addRun(run *runState) {
	task, executor, need := run.task, run.executor, run.task.step.need()
	task.runs = append(task.runs, run)
	executor.runs[run.key()] = run
	executor.allocated = executor.allocated.Plus(need)
	task.owner().runCount++
	p.allocate(task.step.priority(), need)
	if run.state != runRunning {
		p.pendingRuns[run] = true
	}
	p.markRunChanged(run)
}

// markRunChanged tells placement that a run is another than it was.
func (p *Pool) markRunChanged(run *runState) {
	p.markChanged(run.task)
	p.table.markChanged(run.executor)
}

// stopRun has a run stopped, and with a member of a gang all others, which could only wait for it.
func (p *Pool) stopRun(run *runState) {
	if run.state == runStopping {
		return
	}
	if run.state == runLaunching && run.isCommitted && run.sendCount == 0 && run.awaitedList == 0 {
		p.closeRun(run)
		return
	}
	p.meters.stops.Inc()
	run.state, run.sendCount, run.sentAt, run.isAnswered, run.orderedAt = runStopping, 0, 0, false, p.clock.Monotonic()
	p.pendingRuns[run] = true
	p.markRunChanged(run)
	p.dropRecord(orderName(run.task, run.number, kindLaunch))
	p.putRecord(orderName(run.task, run.number, kindStop), orderRecord{Executor: run.executor.id})
	p.putTask(run.task)
	p.afterCommit(func(err error) {
		if err == nil && run.state == runStopping {
			p.queueOrder(run)
		}
	})
	if run.task.step.spec.Gang {
		p.stopStep(run.task.step)
	}
}

func (p *Pool) stopStep(step *stepState) {
	for _, task := range slices.Clone(step.busy) {
		for _, run := range slices.Clone(task.runs) {
			p.stopRun(run)
		}
	}
}

func (p *Pool) queueOrder(run *runState) {
	if run.isQueued || run.executor.runs[run.key()] != run {
		return
	}
	run.isQueued = true
	run.executor.outbox = append(run.executor.outbox, run)
	p.ordersToSend[run.executor] = true
}

// closeRun forgets a run that certainly neither works nor will.
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
	p.deallocate(task.step.priority(), task.step.need())
	p.markRunChanged(run)
	p.watchBrokenGang(task.step)
	switch run.state {
	case runLaunching:
		p.dropRecord(orderName(task, run.number, kindLaunch))
	case runStopping:
		p.dropRecord(orderName(task, run.number, kindStop))
	}
	p.putTask(task)
	p.needsPlacing = true
	job := task.owner()
	job.runCount--
	p.forgetIfOver(job)
	if !executor.isKnown && len(executor.runs) == 0 {
		p.forgetExecutor(executor)
	}
}

func (p *Pool) runStarted(run *runState) {
	if run.state != runLaunching {
		return
	}
	p.meters.starts.Inc()
	run.state, run.startedAt = runRunning, p.clock.Monotonic()
	delete(p.pendingRuns, run)
	p.markRunChanged(run)
	p.dropRecord(orderName(run.task, run.number, kindLaunch))
	p.putTask(run.task)
	p.recordStart(run.task.owner())
	p.moveStalled(run)
	p.evacuateRun(run)
}

func (p *Pool) recordStart(job *jobState) {
	job.hasStarted = true
	if job.state == stateQueued {
		job.state = stateActive
		p.queued[job.record.Route]--
	}
}

// handleEnd is the second transaction of an order: what became of the run.
func (p *Pool) handleEnd(executor *executorState, end wire.EndReport) {
	run := executor.runs[runKey{end.Task, end.Run}]
	if run == nil {
		p.handleAbandonedEnd(end)
		return
	}
	ends.With(p.key, end.Outcome).Inc()
	task, now := run.task, p.clock.Monotonic()
	if end.Checkpoint != "" {
		p.recordCheckpoint(task, end.Checkpoint)
	}
	p.recordStart(task.owner())
	p.recorder.Record(recording.Event{Kind: recording.KindEnd, AtMs: p.leadership.WallMs(), Task: end.Task, Run: end.Run, How: end.Outcome,
		LengthMs: (now - run.startedAt).Milliseconds()})
	switch end.Outcome {
	case "done":
		executor.successes++
		executor.recordSuccess()
		p.recordDuration(task.step, executor, now-run.startedAt)
		p.closeRun(run)
		p.completeTask(task)
	case "failed":
		p.blame(task, executor)
		task.avoid = executor.id
		p.countFailure(task, end.Run)
		p.closeRun(run)
	default:
		p.closeRun(run)
	}
}

// handleAbandonedEnd believes a run that was given up and came to its end all the same: its task must not start again.
func (p *Pool) handleAbandonedEnd(end wire.EndReport) {
	task := p.find(end.Task)
	if end.Outcome != "done" || task == nil || task.isDone || end.Run > task.lastRun {
		return
	}
	p.log.Info("abandoned run completed its task", "task", end.Task, "run", end.Run)
	p.completeTask(task)
}

func (p *Pool) find(name string) *taskState {
	place, isTask := jobs.ParseTask(name)
	job := p.jobs[place.ID]
	if !isTask || job == nil || job.spec == nil {
		return nil
	}
	occurrence := job.occurrences[place.Time]
	if occurrence == nil || place.Step >= len(occurrence.steps) || place.Index >= len(occurrence.steps[place.Step].tasks) {
		return nil
	}
	return occurrence.steps[place.Step].tasks[place.Index]
}

func (p *Pool) recordCheckpoint(task *taskState, checkpoint string) {
	if task.checkpoint == checkpoint || task.owner().spec == nil {
		return
	}
	holder := task
	if task.step.spec.Gang {
		holder = task.step.tasks[0]
	}
	if holder.checkpoint != checkpoint && task.owner().isOpen() {
		holder.checkpoint = checkpoint
		p.putTask(holder)
	}
}

func (t *taskState) latestCheckpoint() string {
	if t.step.spec.Gang {
		return t.step.tasks[0].checkpoint
	}
	return t.checkpoint
}

func (p *Pool) countFailure(task *taskState, number int64) {
	step, job := task.step, task.owner()
	if step.spec.LongRunning || !job.isOpen() || task.isDone {
		task.notBefore = p.clock.Monotonic() + 100*time.Millisecond
		step.notBefore = max(step.notBefore, task.notBefore)
		return
	}
	counter := task
	if step.spec.Gang {
		counter = step.tasks[0]
		if step.failedRun == number {
			return
		}
		step.failedRun = number
	}
	counter.failed++
	p.putTask(counter)
	if counter.failed >= max(1, job.record.Terms.MaxAttempts) {
		p.end(job, stateFailed, "task "+task.name+" failed "+strconv.Itoa(counter.failed)+" times")
	}
}

func (p *Pool) completeTask(task *taskState) {
	step, job := task.step, task.owner()
	if task.isDone || !job.isOpen() {
		return
	}
	finished := []*taskState{task}
	if step.spec.Gang {
		finished = step.tasks
	}
	for _, one := range finished {
		if one.isDone {
			continue
		}
		one.isDone = true
		p.markChanged(one)
		step.remaining--
		p.putTask(one)
		if !step.spec.Gang {
			for _, other := range slices.Clone(one.runs) {
				p.recordOvertaken(other)
				p.stopRun(other)
			}
		}
	}
	if step.remaining == 0 {
		p.completeStep(step)
	}
}

func (p *Pool) completeStep(step *stepState) {
	occurrence, job := step.occurrence, step.occurrence.job
	p.open.remove(step)
	occurrence.remaining--
	if occurrence.remaining > 0 {
		p.openReadySteps(occurrence)
		return
	}
	job.completedOccurrences[occurrence.number] = true
	if len(job.completedOccurrences) == job.occurrenceCount() {
		p.end(job, stateCompleted, "")
		return
	}
	p.putRecord("k/"+job.id+"/"+strconv.Itoa(occurrence.number), timeRecord{Done: true})
	for _, other := range occurrence.steps {
		for _, task := range other.tasks {
			if len(task.runs) == 0 {
				p.dropRecord("t/" + task.name)
			}
		}
	}
	p.dropOccurrenceIfOver(job, occurrence)
}

func (p *Pool) dropOccurrenceIfOver(job *jobState, occurrence *occurrence) {
	for _, step := range occurrence.steps {
		if step.hasRuns() {
			return
		}
	}
	delete(job.occurrences, occurrence.number)
}
