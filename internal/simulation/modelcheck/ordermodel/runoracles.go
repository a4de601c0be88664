package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/node/executorapi"
	"gannetline/internal/scheduling/jobs"
)

// started is told of each run that an executor begins.
func (o *oracles) started(executor *executor, one *execution, order executorapi.RunStart, isLate bool) {
	o.world.count("start")
	o.world.note("%s: %s run %d begins under fence %d, late %t", executor.id, one.task, one.run, order.Fence, isLate)
	owner, facts := o.jobs[one.place.ID], o.task(one.task)
	if owner == nil || !owner.isHandedIn {
		o.world.violate("UNASKED", "%s was started and never handed in", one.task)
		return
	}
	if isLate {
		o.world.count("start_late")
	}
	owner.startedRuns++
	if owner.isRefusedForGood() {
		o.world.violate("REFUSED", "%s started, though every try to hand its job in was turned away", one.task)
	}
	o.checkOrder(executor, one, order, owner, facts)
	o.checkTwice(executor, one, facts, isLate)
	o.checkBudget(one, owner, facts)
	o.checkDepends(one, owner)
	o.checkRoute(executor, one)
	if used := executor.used(); used.CPU > executor.room.CPU || used.Memory > executor.room.Memory {
		o.world.violate("LIMIT", "%s run %d takes %s to %d cpu-units", one.task, one.run, executor.id, used.CPU)
	}
	if owner.isCancelled && o.world.queue.now()-owner.cancelledAt > o.world.profile.cancelTime && o.isCalm() && !isLate {
		o.world.violate("UNASKED", "%s run %d started long after its job was cancelled", one.task, one.run)
	}
	owner.running++
	facts.active = append(facts.active, one)
	facts.starts = append(facts.starts, start{o.world.queue.now(), one.run})
	o.begun[lifeRun{executor.id, one.task, one.run}] = true
}

func (o *oracles) checkOrder(executor *executor, one *execution, order executorapi.RunStart, owner *job, facts *task) {
	if order.Descriptor != owner.spec.Descriptor {
		o.world.violate("UNASKED", "%s started with another descriptor", one.task)
	}
	if order.Checkpoint != "" && !o.isSavedBy(one, order.Checkpoint) {
		o.world.violate("UNASKED", "%s started from %s, which is no checkpoint of it", one.task, order.Checkpoint)
	}
	if one.step.Redundant {
		return
	}
	if one.run < facts.highestRun && executor.id != facts.highestAt {
		o.world.violate("STALE", "%s run %d started on %s under fence %d after run %d was given to %s under fence %d", one.task, one.run,
			executor.id, order.Fence, facts.highestRun, facts.highestAt, facts.fence)
	}
	if one.run >= facts.highestRun {
		facts.highestRun, facts.highestAt, facts.fence = one.run, executor.id, order.Fence
	}
}

func (o *oracles) isSavedBy(one *execution, saved string) bool {
	if !one.step.Gang {
		return o.task(one.task).saved[saved]
	}
	for index := range one.step.Tasks {
		if o.task(jobs.TaskName(one.place.ID, one.place.Time, one.place.Step, index)).saved[saved] {
			return true
		}
	}
	return false
}

func (o *oracles) checkTwice(executor *executor, one *execution, facts *task, isLate bool) {
	if !one.step.Redundant {
		for _, other := range facts.active {
			o.world.violate("TWICE", "%s: run %d began on %s while run %d runs on %s", one.task, one.run, executor.id, other.run, other.executor.id)
		}
		if facts.notedDone {
			o.world.violate("TWICE", "%s: run %d began on %s after a run had done it and its end was noted", one.task, one.run, executor.id)
		}
	}
	if one.step.Redundant && facts.notedDone && o.world.queue.now()-facts.doneAt > time.Second+o.world.profile.contactTime && o.isCalm() && !isLate {
		o.world.violate("TWICE", "%s: run %d of a redundant task began long after its end was noted", one.task, one.run)
	}
	if owner := o.jobs[one.place.ID]; owner.state == "completed" && !one.step.Redundant {
		o.world.violate("TWICE", "%s: run %d began after its job was shown as completed", one.task, one.run)
	}
}

func (o *oracles) checkBudget(one *execution, owner *job, facts *task) {
	if one.step.LongRunning || one.step.Redundant {
		return
	}
	noted := 0
	for _, failed := range facts.failures {
		if failed.isNoted {
			noted++
		}
	}
	if noted >= owner.terms.MaxAttempts {
		o.world.violate("BUDGET", "%s run %d began after %d failures were noted", one.task, one.run, noted)
	}
}

func (o *oracles) checkDepends(one *execution, owner *job) {
	for _, earlier := range one.step.DependsOn {
		for index := range owner.spec.Steps[earlier].Tasks {
			name := jobs.TaskName(one.place.ID, one.place.Time, earlier, index)
			if !o.task(name).isDone {
				o.world.violate("ORDER", "%s started before %s was done", one.task, name)
			}
		}
	}
	if owner.spec.RepeatCount == 0 {
		return
	}
	slack := int64(earlyMs)
	if o.isTimeOdd {
		slack += jumpSlackMs
	}
	due := owner.spec.FirstRunMs + int64(one.place.Time)*owner.spec.PeriodMs
	if o.world.queue.clock.WallMs() < due-slack {
		o.world.violate("ORDER", "%s started %d ms ahead of its time", one.task, due-o.world.queue.clock.WallMs())
	}
}

// checkRoute looks for starts where a label is missing, or beyond anti-affinity.
func (o *oracles) checkRoute(executor *executor, one *execution) {
	for _, label := range one.step.Labels {
		if !slices.Contains(executor.labels, label) {
			o.world.violate("ROUTE", "%s run %d began on %s, which lacks %s", one.task, one.run, executor.id, label)
		}
	}
	together := 0
	for _, other := range executor.active {
		if other.place.ID == one.place.ID && other.place.Time == one.place.Time && other.place.Step == one.place.Step {
			together++
		}
	}
	if one.step.AntiAffinity > 0 && together > one.step.AntiAffinity {
		o.world.violate("ROUTE", "%s run %d is one of %d tasks of its step on %s", one.task, one.run, together, executor.id)
	}
}

func (o *oracles) ended(executor *executor, one *execution, how string) {
	o.world.count("end_" + how)
	o.world.note("%s: %s run %d ends %s", executor.id, one.task, one.run, how)
	facts := o.task(one.task)
	if owner := o.jobs[one.place.ID]; owner != nil {
		owner.running--
	}
	facts.active = slices.DeleteFunc(facts.active, func(other *execution) bool { return other == one })
	switch how {
	case howDone:
		facts.isDone = true
		if owner := o.jobs[one.place.ID]; owner != nil {
			owner.progressAt = o.world.queue.now()
		}
		if one.step.Gang {
			for index := range one.step.Tasks {
				o.task(jobs.TaskName(one.place.ID, one.place.Time, one.place.Step, index)).isDone = true
			}
		}
	case howFailed:
		facts.failures = append(facts.failures, failure{run: one.run, at: o.world.queue.now()})
	case howAlone:
		owner := o.jobs[one.place.ID]
		wasCalm := one.begunAt-o.world.troubledAt > o.world.profile.contactTime
		if wasCalm && !owner.isCancelSent && !executor.isDraining {
			o.world.violate("GANG", "%s run %d ended alone", one.task, one.run)
		}
	}
}

// noted is told once last-seen reaches an end, unless the hold lapsed in between; starts made since then count against it.
func (o *oracles) noted(executor *executor, end executorapi.EndRow) {
	facts := o.task(end.Task)
	place, _ := jobs.ParseTask(end.Task)
	step := o.stepOf(place)
	switch end.Outcome {
	case howDone:
		if !facts.notedDone {
			facts.notedDone, facts.doneAt = true, o.world.queue.now()
		}
		if !step.Redundant {
			for _, begun := range facts.starts {
				if begun.run > end.Run {
					o.world.violate("TWICE", "%s: run %d had begun after run %d did it on %s, whose end is noted now", end.Task, begun.run, end.Run, executor.id)
				}
			}
		}
	case howFailed:
		o.notedFailure(facts, end, step, o.jobs[place.ID])
	}
}

func (o *oracles) notedFailure(facts *task, end executorapi.EndRow, step *jobs.Step, owner *job) {
	noted, lastAt := 0, time.Duration(0)
	for place := range facts.failures {
		if facts.failures[place].run == end.Run {
			facts.failures[place].isNoted = true
		}
		if facts.failures[place].isNoted {
			noted++
			lastAt = max(lastAt, facts.failures[place].at)
		}
	}
	if step.LongRunning || step.Redundant || owner == nil || noted < owner.terms.MaxAttempts {
		return
	}
	for _, begun := range facts.starts {
		if begun.at > lastAt {
			o.world.violate("BUDGET", "%s run %d had begun after %d failures, which are noted now", end.Task, begun.run, noted)
		}
	}
}
