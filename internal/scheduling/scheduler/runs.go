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
func (p *Pool) launch(which *task, home *life, number int64) {
	p.meters.placements.Inc()
	one := &run{task: which, number: number, life: home, state: runLaunching, orderedAt: p.clock.Monotonic()}
	which.lastRun = number
	p.noteWhole(which.step)
	p.recordExecutor(home)
	p.hold(one)
	p.put(orderName(which, number, kindLaunch), orderRecord{Life: home.id})
	p.putTask(which)
	p.after(func(err error) {
		one.isCommitted = true
		if err == nil && one.state == runLaunching {
			p.queue(one)
		}
	})
}

// hold counts a run where it is; closeRun is its end.
func (p *Pool) hold(one *run) {
	which, home, need := one.task, one.life, one.task.step.need()
	which.runs = append(which.runs, one)
	home.runs[one.key()] = one
	home.used = home.used.Plus(need)
	which.job().runs++
	p.use(which.step.priority(), need)
	if one.state != runRunning {
		p.pending[one] = true
	}
	p.noteChange(one)
}

// noteChange tells placement that a run is another than it was.
func (p *Pool) noteChange(one *run) {
	p.touch(one.task)
	p.roster.note(one.life)
}

// stopRun has a run stopped, and with a member of a gang all others, which could only wait for it.
func (p *Pool) stopRun(one *run) {
	if one.state == runStopping {
		return
	}
	if one.state == runLaunching && one.isCommitted && one.sends == 0 && one.needsLook == 0 {
		p.closeRun(one)
		return
	}
	p.meters.stops.Inc()
	one.state, one.sends, one.sentAt, one.isAnswered, one.orderedAt = runStopping, 0, 0, false, p.clock.Monotonic()
	p.pending[one] = true
	p.noteChange(one)
	p.drop(orderName(one.task, one.number, kindLaunch))
	p.put(orderName(one.task, one.number, kindStop), orderRecord{Life: one.life.id})
	p.putTask(one.task)
	p.after(func(err error) {
		if err == nil && one.state == runStopping {
			p.queue(one)
		}
	})
	if one.task.step.step.Gang {
		p.stopStep(one.task.step)
	}
}

func (p *Pool) stopStep(step *stepState) {
	for _, which := range slices.Clone(step.busy) {
		for _, one := range slices.Clone(which.runs) {
			p.stopRun(one)
		}
	}
}

func (p *Pool) queue(one *run) {
	if one.isQueued || one.life.runs[one.key()] != one {
		return
	}
	one.isQueued = true
	one.life.outbox = append(one.life.outbox, one)
	p.toRelease[one.life] = true
}

// closeRun forgets a run that certainly neither works nor will.
func (p *Pool) closeRun(one *run) {
	home, which := one.life, one.task
	if home.runs[one.key()] != one {
		return
	}
	delete(home.runs, one.key())
	home.idleAt = p.clock.Monotonic()
	if one.startedAt > 0 {
		which.step.ranAt = p.clock.Monotonic()
	}
	delete(p.pending, one)
	home.used = home.used.Minus(which.step.need())
	which.runs = slices.DeleteFunc(which.runs, func(other *run) bool { return other == one })
	p.free(which.step.priority(), which.step.need())
	p.noteChange(one)
	p.noteBroken(which.step)
	switch one.state {
	case runLaunching:
		p.drop(orderName(which, one.number, kindLaunch))
	case runStopping:
		p.drop(orderName(which, one.number, kindStop))
	}
	p.putTask(which)
	p.needsPlacing = true
	owner := which.job()
	owner.runs--
	p.forgetIfOver(owner)
	if !home.isKnown && len(home.runs) == 0 {
		p.forgetLife(home)
	}
}

func (p *Pool) started(one *run) {
	if one.state != runLaunching {
		return
	}
	p.meters.starts.Inc()
	one.state, one.startedAt = runRunning, p.clock.Monotonic()
	delete(p.pending, one)
	p.noteChange(one)
	p.drop(orderName(one.task, one.number, kindLaunch))
	p.putTask(one.task)
	p.noteStart(one.task.job())
	p.moveStuck(one)
	p.evacuateRun(one)
}

func (p *Pool) noteStart(owner *job) {
	owner.hasStarted = true
	if owner.state == stateQueued {
		owner.state = stateActive
		p.queued[owner.record.Entry]--
	}
}

// takeEnd is the second transaction of an order: what became of the run.
func (p *Pool) takeEnd(home *life, end wire.EndReport) {
	one := home.runs[runKey{end.Task, end.Run}]
	if one == nil {
		p.takeForgottenEnd(end)
		return
	}
	ends.With(p.key, end.Outcome).Inc()
	which, now := one.task, p.clock.Monotonic()
	if end.Checkpoint != "" {
		p.keepSaved(which, end.Checkpoint)
	}
	p.noteStart(which.job())
	p.record.Record(recording.Event{Kind: recording.KindEnd, AtMs: p.leadership.WallMs(), Task: end.Task, Run: end.Run, How: end.Outcome,
		LengthMs: (now - one.startedAt).Milliseconds()})
	switch end.Outcome {
	case "done":
		home.dones++
		home.earn()
		p.noteLength(which.step, home, now-one.startedAt)
		p.closeRun(one)
		p.taskDone(which)
	case "failed":
		p.blame(which, home)
		which.avoid = home.id
		p.countFailure(which, end.Run)
		p.closeRun(one)
	default:
		p.closeRun(one)
	}
}

// takeForgottenEnd believes a run that was given up and came to its end all the same: its task must not start again.
func (p *Pool) takeForgottenEnd(end wire.EndReport) {
	which := p.find(end.Task)
	if end.Outcome != "done" || which == nil || which.isDone || end.Run > which.lastRun {
		return
	}
	p.log.Info("abandoned run completed its task", "task", end.Task, "run", end.Run)
	p.taskDone(which)
}

func (p *Pool) find(name string) *task {
	place, isTask := jobs.ParseTask(name)
	one := p.jobs[place.ID]
	if !isTask || one == nil || one.spec == nil {
		return nil
	}
	spell := one.times[place.Time]
	if spell == nil || place.Step >= len(spell.steps) || place.Index >= len(spell.steps[place.Step].tasks) {
		return nil
	}
	return spell.steps[place.Step].tasks[place.Index]
}

func (p *Pool) keepSaved(which *task, saved string) {
	if which.saved == saved || which.job().spec == nil {
		return
	}
	holder := which
	if which.step.step.Gang {
		holder = which.step.tasks[0]
	}
	if holder.saved != saved && which.job().isOpen() {
		holder.saved = saved
		p.putTask(holder)
	}
}

func (t *task) checkpoint() string {
	if t.step.step.Gang {
		return t.step.tasks[0].saved
	}
	return t.saved
}

func (p *Pool) countFailure(which *task, number int64) {
	step, owner := which.step, which.job()
	if step.step.Lasting || !owner.isOpen() || which.isDone {
		which.notBefore = p.clock.Monotonic() + 100*time.Millisecond
		step.notBefore = max(step.notBefore, which.notBefore)
		return
	}
	counter := which
	if step.step.Gang {
		counter = step.tasks[0]
		if step.failedRun == number {
			return
		}
		step.failedRun = number
	}
	counter.failed++
	p.putTask(counter)
	if counter.failed >= max(1, owner.record.Terms.MaxAttempts) {
		p.end(owner, stateFailed, "task "+which.name+" failed "+strconv.Itoa(counter.failed)+" times")
	}
}

func (p *Pool) taskDone(which *task) {
	step, owner := which.step, which.job()
	if which.isDone || !owner.isOpen() {
		return
	}
	finished := []*task{which}
	if step.step.Gang {
		finished = step.tasks
	}
	for _, one := range finished {
		if one.isDone {
			continue
		}
		one.isDone = true
		p.touch(one)
		step.left--
		p.putTask(one)
		if !step.step.Gang {
			for _, other := range slices.Clone(one.runs) {
				p.noteOvertaken(other)
				p.stopRun(other)
			}
		}
	}
	if step.left == 0 {
		p.stepDone(step)
	}
}

func (p *Pool) stepDone(step *stepState) {
	spell, owner := step.time, step.time.job
	p.open.remove(step)
	spell.left--
	if spell.left > 0 {
		p.openSteps(spell)
		return
	}
	owner.doneTimes[spell.number] = true
	if len(owner.doneTimes) == owner.timeCount() {
		p.end(owner, stateCompleted, "")
		return
	}
	p.put("k/"+owner.id+"/"+strconv.Itoa(spell.number), timeRecord{Done: true})
	for _, other := range spell.steps {
		for _, which := range other.tasks {
			if len(which.runs) == 0 {
				p.drop("t/" + which.name)
			}
		}
	}
	p.dropTimeIfOver(owner, spell)
}

func (p *Pool) dropTimeIfOver(owner *job, spell *jobTime) {
	for _, step := range spell.steps {
		if step.hasRuns() {
			return
		}
	}
	delete(owner.times, spell.number)
}
