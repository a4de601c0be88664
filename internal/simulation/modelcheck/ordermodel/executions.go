package ordermodel

import (
	"slices"
	"time"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/node/executorapi"
	"gannetline/internal/scheduling/jobs"
)

// execution is a run that an executor has begun.
type execution struct {
	task     string
	run      int64
	step     *jobs.Step
	place    jobs.Place
	begunAt  time.Duration
	length   time.Duration
	how      string
	saved    string
	isStuck  bool
	isGoing  bool
	executor *executor
}

func (e *executor) find(task string, run int64) *execution {
	place := slices.IndexFunc(e.active, func(one *execution) bool { return one.task == task && one.run == run })
	if place < 0 {
		return nil
	}
	return e.active[place]
}

func (e *executor) begin(order executorapi.RunStart, isLate bool) {
	one := &execution{task: order.Task, run: order.Run, executor: e, begunAt: e.world.queue.now(), saved: order.Checkpoint, isStuck: e.isStuck}
	one.place, _ = jobs.ParseTask(order.Task)
	one.step = e.world.oracles.stepOf(one.place)
	one.length, one.how = e.world.profile.work(one)
	e.active = append(e.active, one)
	e.world.oracles.started(e, one, order, isLate)
	switch {
	case one.step.Gang:
		e.joinGang(one)
	default:
		e.goOn(one)
	}
}

// goOn lets a run work until its end; one that makes no progress waits for ever.
func (e *executor) goOn(one *execution) {
	one.isGoing, one.begunAt = true, e.world.queue.now()
	if one.step.Checkpointing {
		e.checkpoint(one)
	}
	if one.isStuck || one.step.LongRunning && one.how == howDone {
		return
	}
	e.later(one.length, func() { e.end(one, one.how) })
}

func (e *executor) checkpoint(one *execution) {
	e.later(checkpointTime, func() {
		if slices.Contains(e.active, one) {
			one.saved = e.world.oracles.save(one.task, one.run)
			e.checkpoint(one)
		}
	})
}

// joinGang starts the work of a gang once all of its members are there; one that waits too long ends alone.
func (e *executor) joinGang(one *execution) {
	members := e.world.gang(one)
	if len(members) == one.step.Tasks {
		for _, member := range members {
			member.executor.goOn(member)
		}
		return
	}
	e.later(e.world.profile.gangWait, func() {
		if !one.isGoing {
			e.end(one, howAlone)
		}
	})
}

// gang gives the members of a run that are there.
func (w *world) gang(one *execution) []*execution {
	var members []*execution
	for _, executor := range w.executors {
		if !executor.isUp {
			continue
		}
		for _, other := range executor.active {
			if other.run == one.run && other.place.ID == one.place.ID && other.place.Time == one.place.Time && other.place.Step == one.place.Step {
				members = append(members, other)
			}
		}
	}
	return members
}

func (e *executor) end(one *execution, how string) {
	place := slices.Index(e.active, one)
	if place < 0 {
		return
	}
	members := e.world.gang(one)
	e.active = slices.Delete(e.active, place, place+1)
	delete(e.stopping, one)
	e.highest[one.task] = max(e.highest[one.task], one.run)
	e.lastEnd++
	e.endedAt[e.lastEnd] = e.lapses
	e.ends = append(e.ends, executorapi.EndRow{Number: e.lastEnd, Task: one.task, Run: one.run, Outcome: wire.RunOutcome(how), Checkpoint: one.saved})
	e.world.oracles.ended(e, one, how)
	pollers := e.pollers
	e.pollers = nil
	for _, wake := range pollers {
		wake()
	}
	if one.step.Gang && how != howBroken {
		e.world.endGang(members, one, how)
	}
}

// endGang ends the other members of a gang: as done together with the first, or as broken soon after.
func (w *world) endGang(members []*execution, first *execution, how string) {
	for _, member := range members {
		if member == first || !member.isGoing {
			continue
		}
		with := howBroken
		if how == howDone {
			with = howDone
		}
		member.executor.later(2*time.Millisecond, func() { member.executor.end(member, with) })
	}
}
