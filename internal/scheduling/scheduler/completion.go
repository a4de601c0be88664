package scheduler

import (
	"slices"
	"strconv"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/scheduling/jobs"
	"gannetline/internal/scheduling/recording"
)

// restartPause is the delay before a long-running task that failed is started again.
const restartPause = 100 * time.Millisecond

// handleEnd processes the report that a run has ended. The records that it writes are in a later commit than those of the launch, because
// the launch order is sent only after its own commit.
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
	p.recordStart(task.job())
	p.recorder.Record(recording.Event{Kind: recording.KindEnd, AtMs: p.leadership.WallMs(), Task: end.Task, Run: end.Run, Outcome: string(end.Outcome),
		LengthMs: (now - run.startedAt).Milliseconds()})
	if end.Outcome == wire.OutcomeDone || end.Outcome == wire.OutcomeFailed {
		p.countRunForRollout(run, end.Outcome, now)
	}
	switch end.Outcome {
	case wire.OutcomeDone:
		executor.successes++
		executor.recordSuccess()
		p.recordDuration(task.step, executor, now-run.startedAt)
		p.closeRun(run)
		p.completeTask(task)
	case wire.OutcomeFailed:
		p.countExecutorFailure(task, executor)
		task.avoid = executor.id
		p.countFailure(task, end.Run)
		p.closeRun(run)
	default:
		p.closeRun(run)
	}
}

// handleAbandonedEnd accepts the completion of a run that was already closed: its task must not start again. The report is ignored for a
// job that is being transferred to another pool, as that pool may have started the task already.
func (p *Pool) handleAbandonedEnd(end wire.EndReport) {
	task := p.findTask(end.Task)
	if end.Outcome != wire.OutcomeDone || task == nil || task.isDone || end.Run > task.lastRun || task.job().transfer != nil {
		return
	}
	p.log.Info("abandoned run completed its task", "task", end.Task, "run", end.Run)
	p.completeTask(task)
}

// findTask returns the task with a name, or nil if the pool doesn't have it.
func (p *Pool) findTask(name string) *taskState {
	position, isTask := jobs.ParseTask(name)
	job := p.jobs[position.ID]
	if !isTask || job == nil || job.spec == nil {
		return nil
	}
	occurrence := job.occurrences[position.Occurrence]
	if occurrence == nil || position.Step >= len(occurrence.steps) || position.Index >= len(occurrence.steps[position.Step].tasks) {
		return nil
	}
	return occurrence.steps[position.Step].tasks[position.Index]
}

// recordCheckpoint stores the newest checkpoint of a task. A gang has a single one, which is stored with its first task.
func (p *Pool) recordCheckpoint(task *taskState, checkpoint string) {
	if task.checkpoint == checkpoint || task.job().spec == nil {
		return
	}
	shared := task.sharedTask()
	if shared.checkpoint != checkpoint && task.job().isOpen() {
		shared.checkpoint = checkpoint
		p.putTask(shared)
	}
}

// sharedTask returns the task that holds the checkpoint and the failure count for this one: the first task of a gang, whose members share
// both, and otherwise the task itself.
func (t *taskState) sharedTask() *taskState {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// countFailure counts a failed run as an attempt of its task, and fails the job when all attempts are used up. A gang counts one failure
// for all members that failed in the same run. The failures of a long-running task aren't counted; it is started again after restartPause.
func (p *Pool) countFailure(task *taskState, number int64) {
	step, job := task.step, task.job()
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
	shared := task.sharedTask()
	shared.failed++
	p.putTask(shared)
	if shared.failed >= max(1, job.record.Terms.MaxAttempts) {
		p.endJob(job, jobFailed, "task "+task.name+" failed "+strconv.Itoa(shared.failed)+" times")
	}
}

// completeTask marks a task as done, and with it all members of its gang. Other runs of a task outside a gang are stopped.
func (p *Pool) completeTask(task *taskState) {
	step, job := task.step, task.job()
	if task.isDone || !job.isOpen() {
		return
	}
	completed := []*taskState{task}
	if step.spec.Gang {
		completed = step.tasks
	}
	for _, member := range completed {
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

// completeStep takes a completed step out of the queue and opens the steps that depend on it. The last step completes its occurrence, and
// the last occurrence completes the job.
func (p *Pool) completeStep(step *stepState) {
	occurrence, job := step.occurrence, step.occurrence.job
	p.open.remove(step)
	occurrence.remaining--
	if occurrence.remaining > 0 {
		p.openReadySteps(occurrence)
		return
	}
	job.completedOccurrences[occurrence.number] = true
	p.countOccurrenceInMetrics(occurrence)
	p.countOccurrenceForRollout(occurrence)
	if len(job.completedOccurrences) == job.occurrenceCount() {
		p.endJob(job, jobCompleted, "")
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

// dropOccurrenceIfOver removes a complete occurrence from its job once none of its runs is left.
func (p *Pool) dropOccurrenceIfOver(job *jobState, occurrence *occurrence) {
	for _, step := range occurrence.steps {
		if step.hasRuns() {
			return
		}
	}
	delete(job.occurrences, occurrence.number)
}
