package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/scheduling/jobs"
)

// checkStart records and checks the start of a run on an executor. isLate is set if a fault has delayed the order to the executor.
func (o *oracles) checkStart(executor *modelExecutor, execution *modelExecution, order executorapi.RunStart, isLate bool) {
	o.cluster.count("start")
	o.cluster.tracef("%s: %s run %d begins under fence %d, late %t", executor.id, execution.task, execution.run, order.Fence, isLate)
	job, facts := o.jobs[execution.position.ID], o.task(execution.task)
	if job == nil || !job.isSubmitted {
		o.cluster.violate("UNASKED", "%s was started, and its job was never submitted", execution.task)
		return
	}
	if isLate {
		o.cluster.count("start_late")
	}
	job.startedRuns++
	if job.isFinallyRefused() {
		o.cluster.violate("REFUSED", "%s was started, although every submission of its job was refused", execution.task)
	}
	o.checkOrder(executor, execution, order, job, facts)
	o.checkTwice(executor, execution, facts, isLate)
	o.checkBudget(execution, job, facts)
	o.checkDependencies(execution, job)
	o.checkRoute(executor, execution)
	if used := executor.used(); used.CPU > executor.capacity.CPU || used.Memory > executor.capacity.Memory {
		o.cluster.violate("LIMIT", "%s run %d takes %s to %d cpu-units", execution.task, execution.run, executor.id, used.CPU)
	}
	if job.isCancelled && o.cluster.queue.now()-job.cancelledAt > o.cluster.profile.cancelTime && o.isCalm() && !isLate {
		o.cluster.violate("UNASKED", "%s run %d started long after its job was cancelled", execution.task, execution.run)
	}
	job.running++
	facts.active = append(facts.active, execution)
	facts.starts = append(facts.starts, start{o.cluster.queue.now(), execution.run})
	o.launched[incarnationRun{executor.id, execution.task, execution.run}] = true
}

// checkOrder checks that a start has the job's descriptor, that its checkpoint, if any, was saved by the task or its gang, and that
// no higher run of the task was started on another executor before. Redundant tasks may have higher runs elsewhere.
func (o *oracles) checkOrder(executor *modelExecutor, execution *modelExecution, order executorapi.RunStart, job *modelJob, facts *modelTask) {
	if order.Descriptor != job.spec.Descriptor {
		o.cluster.violate("UNASKED", "%s started with another descriptor", execution.task)
	}
	if order.Checkpoint != "" && !o.isSavedBy(execution, order.Checkpoint) {
		o.cluster.violate("UNASKED", "%s started from %s, which is no checkpoint of it", execution.task, order.Checkpoint)
	}
	if execution.step.Redundant {
		return
	}
	if execution.run < facts.highestRun && executor.id != facts.highestRunExecutor {
		o.cluster.violate("STALE", "%s run %d started on %s under fence %d after run %d was given to %s under fence %d", execution.task, execution.run,
			executor.id, order.Fence, facts.highestRun, facts.highestRunExecutor, facts.highestRunFence)
	}
	if execution.run >= facts.highestRun {
		facts.highestRun, facts.highestRunExecutor, facts.highestRunFence = execution.run, executor.id, order.Fence
	}
}

// isSavedBy reports whether the task of a run, or any task of its gang, has saved the checkpoint.
func (o *oracles) isSavedBy(execution *modelExecution, checkpoint string) bool {
	if !execution.step.Gang {
		return o.task(execution.task).checkpoints[checkpoint]
	}
	for index := range execution.step.Tasks {
		if o.task(jobs.TaskName(execution.position.ID, execution.position.Occurrence, execution.position.Step, index)).checkpoints[checkpoint] {
			return true
		}
	}
	return false
}

// checkTwice checks that a task doesn't run twice at once, nor after the end of a run that did it was acknowledged, nor after its
// job was shown as completed. A redundant task may run twice at once. Its runs may begin after an acknowledged end only for a second
// and the contact time, unless there was a fault lately or the order is late.
func (o *oracles) checkTwice(executor *modelExecutor, execution *modelExecution, facts *modelTask, isLate bool) {
	if !execution.step.Redundant {
		for _, other := range facts.active {
			o.cluster.violate("TWICE", "%s: run %d began on %s while run %d runs on %s", execution.task, execution.run, executor.id, other.run, other.executor.id)
		}
		if facts.isDoneAcknowledged {
			o.cluster.violate("TWICE", "%s: run %d began on %s after a run had done it and its end was acknowledged", execution.task, execution.run, executor.id)
		}
	}
	if execution.step.Redundant && facts.isDoneAcknowledged && o.cluster.queue.now()-facts.doneAckedAt > time.Second+o.cluster.profile.contactTime && o.isCalm() && !isLate {
		o.cluster.violate("TWICE", "%s: run %d of a redundant task began long after its end was acknowledged", execution.task, execution.run)
	}
	if job := o.jobs[execution.position.ID]; job.state == "completed" && !execution.step.Redundant {
		o.cluster.violate("TWICE", "%s: run %d began after its job was shown as completed", execution.task, execution.run)
	}
}

// checkBudget checks that no run of a task starts once as many failures of the task are acknowledged as it has attempts.
func (o *oracles) checkBudget(execution *modelExecution, job *modelJob, facts *modelTask) {
	if execution.step.LongRunning || execution.step.Redundant {
		return
	}
	acknowledged := 0
	for _, failed := range facts.failures {
		if failed.isAcknowledged {
			acknowledged++
		}
	}
	if acknowledged >= job.terms.MaxAttempts {
		o.cluster.violate("BUDGET", "%s run %d began after %d failures were acknowledged", execution.task, execution.run, acknowledged)
	}
}

// checkDependencies checks that a run starts only after the steps that its step depends on are done and its occurrence is due.
func (o *oracles) checkDependencies(execution *modelExecution, job *modelJob) {
	for _, earlier := range execution.step.DependsOn {
		for index := range job.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(execution.position.ID, execution.position.Occurrence, earlier, index)
			if !o.task(name).isDone {
				o.cluster.violate("ORDER", "%s started before %s was done", execution.task, name)
			}
		}
	}
	if job.spec.RepeatCount == 0 {
		return
	}
	slack := int64(earlySlackMs)
	if o.hasClockJumped {
		slack += jumpSlackMs
	}
	due := job.spec.FirstRunMs + int64(execution.position.Occurrence)*job.spec.PeriodMs
	if o.cluster.queue.clock.WallMs() < due-slack {
		o.cluster.violate("ORDER", "%s started %d ms ahead of its time", execution.task, due-o.cluster.queue.clock.WallMs())
	}
}

// checkRoute checks that a run starts on an executor that has all labels of its step, and that this executor has no more runs of
// the step than the step's anti-affinity allows.
func (o *oracles) checkRoute(executor *modelExecutor, execution *modelExecution) {
	for _, label := range execution.step.Labels {
		if !slices.Contains(executor.labels, label) {
			o.cluster.violate("ROUTE", "%s run %d began on %s, which lacks %s", execution.task, execution.run, executor.id, label)
		}
	}
	together := 0
	for _, other := range executor.active {
		if other.position.ID == execution.position.ID && other.position.Occurrence == execution.position.Occurrence && other.position.Step == execution.position.Step {
			together++
		}
	}
	if execution.step.AntiAffinity > 0 && together > execution.step.AntiAffinity {
		o.cluster.violate("ROUTE", "%s run %d is one of %d tasks of its step on %s", execution.task, execution.run, together, executor.id)
	}
}

// recordEnd records the end of a run. It checks that a member of a gang ends alone only if there was a fault since contactTime before
// it began, if a cancel of its job was sent, or if its executor is draining.
func (o *oracles) recordEnd(executor *modelExecutor, execution *modelExecution, outcome string) {
	o.cluster.count("end_" + outcome)
	o.cluster.tracef("%s: %s run %d ends %s", executor.id, execution.task, execution.run, outcome)
	facts := o.task(execution.task)
	if job := o.jobs[execution.position.ID]; job != nil {
		job.running--
	}
	facts.active = slices.DeleteFunc(facts.active, func(other *modelExecution) bool { return other == execution })
	switch outcome {
	case outcomeDone:
		facts.isDone = true
		if job := o.jobs[execution.position.ID]; job != nil {
			job.lastProgressAt = o.cluster.queue.now()
		}
		if execution.step.Gang {
			for index := range execution.step.Tasks {
				o.task(jobs.TaskName(execution.position.ID, execution.position.Occurrence, execution.position.Step, index)).isDone = true
			}
		}
	case outcomeFailed:
		facts.failures = append(facts.failures, failure{run: execution.run, at: o.cluster.queue.now()})
	case outcomeAlone:
		job := o.jobs[execution.position.ID]
		wasCalm := execution.begunAt-o.cluster.faultsUntil > o.cluster.profile.contactTime
		if wasCalm && !job.isCancelSent && !executor.isDraining {
			o.cluster.violate("GANG", "%s run %d ended alone", execution.task, execution.run)
		}
	}
}

// recordAcknowledgedEnd records that the last-seen number of a hold has acknowledged an end to the executor. It checks that no higher
// run had begun if the run did its task, and that the task's attempts were not exceeded if the run failed. It isn't called for an
// end if the executor's lease expired between the end and its acknowledgement.
func (o *oracles) recordAcknowledgedEnd(executor *modelExecutor, end executorapi.EndRow) {
	facts := o.task(end.Task)
	position, _ := jobs.ParseTask(end.Task)
	step := o.stepOf(position)
	switch end.Outcome {
	case outcomeDone:
		if !facts.isDoneAcknowledged {
			facts.isDoneAcknowledged, facts.doneAckedAt = true, o.cluster.queue.now()
		}
		if !step.Redundant {
			for _, begun := range facts.starts {
				if begun.run > end.Run {
					o.cluster.violate("TWICE", "%s: run %d had begun after run %d did it on %s, whose end is acknowledged now", end.Task, begun.run, end.Run, executor.id)
				}
			}
		}
	case outcomeFailed:
		o.checkAcknowledgedFailure(facts, end, step, o.jobs[position.ID])
	}
}

// checkAcknowledgedFailure records that a failure is acknowledged. If the acknowledged failures have used up the task's attempts, it
// checks that no run began after the last of them.
func (o *oracles) checkAcknowledgedFailure(facts *modelTask, end executorapi.EndRow, step *jobs.Step, job *modelJob) {
	acknowledged, lastAt := 0, time.Duration(0)
	for index := range facts.failures {
		if facts.failures[index].run == end.Run {
			facts.failures[index].isAcknowledged = true
		}
		if facts.failures[index].isAcknowledged {
			acknowledged++
			lastAt = max(lastAt, facts.failures[index].at)
		}
	}
	if step.LongRunning || step.Redundant || job == nil || acknowledged < job.terms.MaxAttempts {
		return
	}
	for _, begun := range facts.starts {
		if begun.at > lastAt {
			o.cluster.violate("BUDGET", "%s run %d had begun after %d failures, which are acknowledged now", end.Task, begun.run, acknowledged)
		}
	}
}
