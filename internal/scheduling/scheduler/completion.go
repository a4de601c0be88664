package scheduler

import (
	"slices"
	"strconv"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

// restartPause is how long a long-running task that ended waits before it is started again.
const restartPause = 100 * time.Millisecond

// handleEnd is the second transaction of an order: what became of the run.
func (p *Pool) handleEnd(executor *executorState, end wire.EndReport) {
	run := executor.runs[runKey{end.Task, end.Run}]
	if run == nil {
		p.handleAbandonedEnd(end)
		return
	}
	ends.With(p.key, string(end.Outcome)).Inc()
	task, now := run.task, p.clock.Monotonic()
	if end.Checkpoint != "" {
		p.recordCheckpoint(task, end.Checkpoint)
	}
	p.recordStart(task.owner())
	p.recorder.Record(recording.Event{Kind: recording.KindEnd, AtMs: p.leadership.WallMs(), Task: end.Task, Run: end.Run, How: string(end.Outcome),
		LengthMs: (now - run.startedAt).Milliseconds()})
	if end.Outcome == wire.OutcomeDone || end.Outcome == wire.OutcomeFailed {
		p.countRunEnd(run, end.Outcome, now)
	}
	switch end.Outcome {
	case wire.OutcomeDone:
		executor.successes++
		executor.recordSuccess()
		p.recordDuration(task.step, executor, now-run.startedAt)
		p.closeRun(run)
		p.completeTask(task)
	case wire.OutcomeFailed:
		p.blame(task, executor)
		task.avoid = executor.id
		p.countFailure(task, end.Run)
		p.closeRun(run)
	default:
		p.closeRun(run)
	}
}

// handleAbandonedEnd believes a run that was abandoned and came to its end all the same: its task must not start again. Of a job that is on
// its way to another pool it comes too late, as that pool may have started the task already.
func (p *Pool) handleAbandonedEnd(end wire.EndReport) {
	task := p.find(end.Task)
	if end.Outcome != wire.OutcomeDone || task == nil || task.isDone || end.Run > task.lastRun || task.owner().transfer != nil {
		return
	}
	p.log.Info("abandoned run completed its task", "task", end.Task, "run", end.Run)
	p.completeTask(task)
}

// find looks up a task by its name; it is nil when the pool doesn't hold its occurrence.
func (p *Pool) find(name string) *taskState {
	place, isTask := jobs.ParseTask(name)
	job := p.jobs[place.ID]
	if !isTask || job == nil || job.spec == nil {
		return nil
	}
	occurrence := job.occurrences[place.Occurrence]
	if occurrence == nil || place.Step >= len(occurrence.steps) || place.Index >= len(occurrence.steps[place.Step].tasks) {
		return nil
	}
	return occurrence.steps[place.Step].tasks[place.Index]
}

// recordCheckpoint keeps the newest checkpoint of a task; a gang has one, kept with its first task.
func (p *Pool) recordCheckpoint(task *taskState, checkpoint string) {
	if task.checkpoint == checkpoint || task.owner().spec == nil {
		return
	}
	holder := task.sharedState()
	if holder.checkpoint != checkpoint && task.owner().isOpen() {
		holder.checkpoint = checkpoint
		p.putTask(holder)
	}
}

// sharedState is the task that keeps what a whole gang shares, its checkpoint and failures: the first of a gang, and of
// any other step the task itself.
func (t *taskState) sharedState() *taskState {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// countFailure counts a failed run against the attempts of its task, and ends the job when they are used up. A gang
// counts once for all members that failed in one run; a long-running task has no limit and is started again after a
// pause.
func (p *Pool) countFailure(task *taskState, number int64) {
	step, job := task.step, task.owner()
	if step.spec.LongRunning || !job.isOpen() || task.isDone {
		task.notBefore = p.clock.Monotonic() + restartPause
		step.notBefore = max(step.notBefore, task.notBefore)
		return
	}
	if step.spec.Gang {
		if step.failedRun == number {
			return
		}
		step.failedRun = number
	}
	counter := task.sharedState()
	counter.failed++
	p.putTask(counter)
	if counter.failed >= max(1, job.record.Terms.MaxAttempts) {
		p.end(job, jobFailed, "task "+task.name+" failed "+strconv.Itoa(counter.failed)+" times")
	}
}

// completeTask marks a task as done, and with it all members of its gang; other runs of a task are stopped.
func (p *Pool) completeTask(task *taskState) {
	step, job := task.step, task.owner()
	if task.isDone || !job.isOpen() {
		return
	}
	finished := []*taskState{task}
	if step.spec.Gang {
		finished = step.tasks
	}
	for _, member := range finished {
		if member.isDone {
			continue
		}
		member.isDone = true
		p.markChanged(member)
		step.remaining--
		p.putTask(member)
		if !step.spec.Gang {
			for _, other := range slices.Clone(member.runs) {
				p.recordOvertaken(other)
				p.stopRun(other)
			}
		}
	}
	if step.remaining == 0 {
		p.completeStep(step)
	}
}

// completeStep opens the steps that waited for this one, or ends the occurrence, and with the last occurrence the job.
func (p *Pool) completeStep(step *stepState) {
	occurrence, job := step.occurrence, step.occurrence.job
	p.open.remove(step)
	occurrence.remaining--
	if occurrence.remaining > 0 {
		p.openReadySteps(occurrence)
		return
	}
	job.completedOccurrences[occurrence.number] = true
	p.countOccurrence(occurrence)
	p.countOccurrenceEnd(occurrence)
	if len(job.completedOccurrences) == job.occurrenceCount() {
		p.end(job, jobCompleted, "")
		return
	}
	p.putRecord(prefixOccurrence+job.id+"/"+strconv.Itoa(occurrence.number), timeRecord{Done: true})
	for _, other := range occurrence.steps {
		for _, task := range other.tasks {
			if len(task.runs) == 0 {
				p.dropRecord(prefixTask + task.name)
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
