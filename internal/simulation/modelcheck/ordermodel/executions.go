package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/scheduling/jobs"
)

// modelExecution is a run that an executor has begun.
type modelExecution struct {
	task     string
	run      int64
	step     *jobs.Step
	position jobs.TaskPosition
	// begunAt is when the run began, or when it started to work if it has.
	begunAt time.Duration
	// length is how long the run works until it ends by itself, and outcome the outcome that it then has.
	length  time.Duration
	outcome string
	// checkpoint is the checkpoint that the run started from or saved last; empty if there is none.
	checkpoint string
	// isStuck is set if the run doesn't end by itself.
	isStuck bool
	// isWorking is false while a member of a gang waits for the others.
	isWorking bool
	executor  *modelExecutor
}

// findRun returns the active run of a task with a number, or nil.
func (e *modelExecutor) findRun(task string, run int64) *modelExecution {
	index := slices.IndexFunc(e.active, func(execution *modelExecution) bool { return execution.task == task && execution.run == run })
	if index < 0 {
		return nil
	}
	return e.active[index]
}

// beginRun begins a run. The run starts to work at once unless it has to wait for its gang.
func (e *modelExecutor) beginRun(order executorapi.RunStart, isLate bool) {
	execution := &modelExecution{task: order.Task, run: order.Run, executor: e, begunAt: e.cluster.queue.now(), checkpoint: order.Checkpoint, isStuck: e.isStuck}
	execution.position, _ = jobs.ParseTask(order.Task)
	execution.step = e.cluster.oracles.stepOf(execution.position)
	execution.length, execution.outcome = e.cluster.profile.work(execution)
	e.active = append(e.active, execution)
	e.cluster.oracles.checkStart(e, execution, order, isLate)
	switch {
	case execution.step.Gang:
		e.joinGang(execution)
	default:
		e.startWork(execution)
	}
}

// startWork has a run start to work and schedules its end. A stuck run doesn't end by itself, nor does a run of a long-running step
// that doesn't fail.
func (e *modelExecutor) startWork(execution *modelExecution) {
	execution.isWorking, execution.begunAt = true, e.cluster.queue.now()
	if execution.step.Checkpointing {
		e.checkpoint(execution)
	}
	if execution.isStuck || execution.step.LongRunning && execution.outcome == outcomeDone {
		return
	}
	e.later(execution.length, func() { e.endRun(execution, execution.outcome) })
}

// checkpoint saves a checkpoint at intervals for as long as the run is active.
func (e *modelExecutor) checkpoint(execution *modelExecution) {
	e.later(checkpointInterval, func() {
		if slices.Contains(e.active, execution) {
			execution.checkpoint = e.cluster.oracles.saveCheckpoint(execution.task, execution.run)
			e.checkpoint(execution)
		}
	})
}

// joinGang starts the work of a gang once all of its members are present. A member that waits longer than gangWait ends alone.
func (e *modelExecutor) joinGang(execution *modelExecution) {
	members := e.cluster.presentGangMembers(execution)
	if len(members) == execution.step.Tasks {
		for _, member := range members {
			member.executor.startWork(member)
		}
		return
	}
	e.later(e.cluster.profile.gangWait, func() {
		if !execution.isWorking {
			e.endRun(execution, outcomeAlone)
		}
	})
}

// presentGangMembers returns the members of a gang's run, including the given one, that are active on executors that are up.
func (c *simCluster) presentGangMembers(execution *modelExecution) []*modelExecution {
	var members []*modelExecution
	for _, executor := range c.executors {
		if !executor.isUp {
			continue
		}
		for _, other := range executor.active {
			if other.run == execution.run && other.position.ID == execution.position.ID && other.position.Occurrence == execution.position.Occurrence && other.position.Step == execution.position.Step {
				members = append(members, other)
			}
		}
	}
	return members
}

// endRun ends an active run: it numbers the end, answers the holds that wait for one, and ends the other members of a gang. It does
// nothing if the run is not active.
func (e *modelExecutor) endRun(execution *modelExecution, outcome string) {
	index := slices.Index(e.active, execution)
	if index < 0 {
		return
	}
	members := e.cluster.presentGangMembers(execution)
	e.active = slices.Delete(e.active, index, index+1)
	delete(e.stopping, execution)
	e.highestRuns[execution.task] = max(e.highestRuns[execution.task], execution.run)
	e.lastEnd++
	e.lapsesAtEnd[e.lastEnd] = e.lapses
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: execution.task, Run: execution.run, Outcome: wire.RunOutcome(outcome), Checkpoint: execution.checkpoint})
	e.cluster.oracles.recordEnd(e, execution, outcome)
	pollers := e.pollers
	e.pollers = nil
	for _, wake := range pollers {
		wake()
	}
	if execution.step.Gang && outcome != outcomeBroken {
		e.cluster.endGang(members, execution, outcome)
	}
}

// endGang ends the other working members of a gang soon after the first one has ended: as done if the first is done, else as broken.
func (c *simCluster) endGang(members []*modelExecution, first *modelExecution, outcome string) {
	for _, member := range members {
		if member == first || !member.isWorking {
			continue
		}
		memberOutcome := outcomeBroken
		if outcome == outcomeDone {
			memberOutcome = outcomeDone
		}
		member.executor.later(2*time.Millisecond, func() { member.executor.endRun(member, memberOutcome) })
	}
}
