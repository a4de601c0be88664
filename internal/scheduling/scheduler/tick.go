package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"gannetline/internal/cluster/peerapi/wire"
	"gannetline/internal/platform/clock"
	"gannetline/internal/scheduling/placement"
)

// Tick does all that falls due; Settle follows it.
func (p *Pool) Tick() {
	if p.leadership == nil {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.meters.tickSeconds.Observe(p.clock.Monotonic() - now) }()
	p.releaseDue()
	for _, executor := range slices.Clone(p.table.sorted) {
		p.tickExecutor(executor, now)
	}
	p.table.isStale = true
	p.tickPending(now)
	p.tickBrokenGangs(now)
	p.forgetEnded()
	p.open.first.findMinNeed()
	p.open.speculative.findMinNeed()
	if len(p.open.steps) > 0 {
		p.needsPlacing = true
	}
	p.meters.show(p, now)
}

// tickPending looks after the runs that an order is under way for, in an order that is the same at every replay.
func (p *Pool) tickPending(now time.Duration) {
	runs := slices.SortedFunc(maps.Keys(p.pendingRuns), func(run, otherRun *runState) int {
		return cmp.Or(cmp.Compare(run.executor.id, otherRun.executor.id), cmp.Compare(run.task.name, otherRun.task.name), cmp.Compare(run.number, otherRun.number))
	})
	for _, run := range runs {
		if p.pendingRuns[run] {
			p.tickRun(run.executor, run, now)
		}
	}
}

func (p *Pool) tickBrokenGangs(now time.Duration) {
	steps := slices.SortedFunc(maps.Keys(p.brokenGangs), func(one, two *stepState) int { return cmp.Compare(one.tasks[0].name, two.tasks[0].name) })
	for _, step := range steps {
		if step.remaining > 0 && step.occurrence.job.isOpen() {
			p.tickBrokenGang(step, now)
		}
		if step.brokenAt == 0 || step.remaining == 0 || !step.occurrence.job.isOpen() {
			delete(p.brokenGangs, step)
		}
	}
}

// watchBrokenGang begins to watch a gang that has lost a member, whichever way: what is left of it can only wait.
func (p *Pool) watchBrokenGang(step *stepState) {
	if step.spec.Gang && step.hasRuns() && step.brokenAt == 0 {
		step.brokenAt = p.clock.Monotonic()
		p.brokenGangs[step] = true
	}
}

// endGangWatch ends the watch over a gang that starts again, as the members it has now are not those that were broken.
func (p *Pool) endGangWatch(step *stepState) {
	step.brokenAt = 0
	delete(p.brokenGangs, step)
}

func (p *Pool) tickExecutor(executor *executorState, now time.Duration) {
	executor.failures, executor.successes = executor.failures*0.99, executor.successes*0.99
	if p.isReplaced(executor, now) {
		p.log.Info("executor replaced on its machine", "executor", executor.id, "machine", executor.proxy, "runs", len(executor.runs))
		p.executorGone(executor)
		return
	}
	if now > executor.leaseExpiry {
		p.expireLease(executor, now)
	}
	p.tidyRecord(executor, now)
	if executor.poll != nil && now >= executor.poll.until {
		p.answerPoll(executor)
	}
}

// expireLease closes what ran where the longest hold ever granted is over.
func (p *Pool) expireLease(executor *executorState, now time.Duration) {
	if len(executor.runs) > 0 {
		p.log.Info("executor lease expired", "executor", executor.id, "runs", len(executor.runs))
	}
	if now-executor.contactAt > p.timing.SilentAfter || !executor.isKnown {
		p.executorGone(executor)
		return
	}
	for _, run := range executor.sortedRuns() {
		p.closeRun(run)
	}
}

func (p *Pool) tickRun(executor *executorState, run *runState, now time.Duration) {
	isSilent := now-executor.contactAt > p.timing.SilentAfter
	switch {
	case run.awaitedList > 0 || run.isQueued && !isSilent:
	case run.state == runLaunching && run.isCommitted && run.sendCount == 0 && isSilent && executor.isFenced:
		p.closeRun(run)
	case run.state == runLaunching && run.sendCount > 0 && !isSilent && now-run.orderedAt > p.timing.StuckAfter:
		p.stopRun(run)
	case run.state != runRunning && !run.isAnswered && run.sendCount > 0:
		if wait := min(p.timing.Resend<<min(run.sendCount-1, 4), p.timing.ResendMost); now-run.sentAt > wait {
			p.queueOrder(run)
		}
	case run.state == runStopping && run.isAnswered && now-run.answeredAt > p.timing.StopTimeout+300*time.Millisecond:
		run.answeredAt = now
		p.requestRunList(executor, run)
	}
}

// tickBrokenGang stops the rest of a gang that lost a member, unless they ended by themselves.
func (p *Pool) tickBrokenGang(step *stepState, now time.Duration) {
	if !step.hasRuns() {
		step.brokenAt = 0
		p.needsPlacing = true
		return
	}
	if now-step.brokenAt > time.Second {
		p.stopStep(step)
	}
}

// evacuate moves what will not end before a leaving executor is gone.
func (p *Pool) evacuate(executor *executorState) {
	for _, run := range executor.sortedRuns() {
		p.evacuateRun(run)
	}
}

func (p *Pool) evacuateRun(run *runState) {
	executor, step, now := run.executor, run.task.step.spec, p.clock.Monotonic()
	if run.state != runRunning || !executor.isDraining {
		return
	}
	remaining := clock.Milliseconds(step.EstimatedMs) - (now - run.startedAt)
	if step.LongRunning || executor.departureAt > 0 && remaining > executor.departureAt-now {
		p.stopRun(run)
	}
}

func (p *Pool) forgetEnded() {
	nowMs := p.leadership.WallMs()
	for len(p.endedJobs) > 0 && nowMs-p.endedJobs[0].endedMs > p.timing.KeepEnded.Milliseconds() {
		delete(p.jobs, p.endedJobs[0].id)
		p.dropRecord("s/" + p.endedJobs[0].id)
		p.endedJobs = p.endedJobs[1:]
	}
	p.forgetRenounced(nowMs)
}

// insertEnded keeps ended jobs in the order in which they may be forgotten.
func (p *Pool) insertEnded(job *jobState) {
	index, _ := slices.BinarySearchFunc(p.endedJobs, job, func(job, otherJob *jobState) int {
		return cmp.Or(cmp.Compare(job.endedMs, otherJob.endedMs), cmp.Compare(job.id, otherJob.id))
	})
	p.endedJobs = slices.Insert(p.endedJobs, index, job)
}

func (p *Pool) place() {
	if !p.needsPlacing {
		return
	}
	p.needsPlacing = false
	if !slices.ContainsFunc(p.table.sorted, func(executor *executorState) bool { return executor.isKnown }) {
		return
	}
	now := p.clock.Monotonic()
	defer func() { p.meters.placeSeconds.Observe(p.clock.Monotonic() - now) }()
	p.refreshAll(now)
	executors := p.placementView(now)
	placed := placement.Place(executors, p.open.queue(), p.limits(now))
	for _, start := range p.starts(placed) {
		p.launch(start.task, start.executor, start.number)
	}
}

type start struct {
	task     *taskState
	executor *executorState
	number   int64
}

// starts gives each placement its task and the number of its run; all of a gang have one number.
func (p *Pool) starts(placed []placement.Placement) []start {
	starts := make([]start, len(placed))
	next, gangRun := map[int]int{}, map[int]int64{}
	for index, assignment := range placed {
		request := p.open.request(assignment.Group)
		if request.group.IsSpeculative {
			p.meters.speculativeRuns.Inc()
		}
		step, task := request.step, request.tasks[next[assignment.Group]]
		next[assignment.Group]++
		number := task.lastRun + 1
		if step.spec.Gang {
			if gangRun[assignment.Group] == 0 {
				gangRun[assignment.Group] = step.lastRun() + 1
			}
			number = gangRun[assignment.Group]
		}
		starts[index] = start{task, p.table.sorted[assignment.Executor], number}
	}
	return starts
}

// Beliefs shows jobs and executors to a comparison.
func (p *Pool) Beliefs() ([]wire.JobBelief, []wire.ExecutorBelief) {
	var jobs []wire.JobBelief
	var executors []wire.ExecutorBelief
	for id, job := range p.jobs {
		jobs = append(jobs, wire.JobBelief{Key: p.key, ID: id, State: job.shownState()})
	}
	for id, executor := range p.executors {
		executors = append(executors, wire.ExecutorBelief{Key: p.key, Executor: id, State: executor.shownState(), Running: len(executor.runs)})
	}
	return jobs, executors
}

// JobsOn names the jobs with runs, as this leader knows, on the executors of a machine.
func (p *Pool) JobsOn(machine string) []string {
	found := map[string]bool{}
	for _, executor := range p.executors {
		if executor.proxy == machine {
			for _, run := range executor.runs {
				found[run.task.owner().id] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// JobsOf reads what a replica of the pool says of its jobs.
func JobsOf(key string, pairs []wire.Op) []wire.JobBelief {
	states := map[string]string{}
	for _, pair := range pairs {
		kind, id, _ := strings.Cut(pair.Name, "/")
		var record stateRecord
		switch {
		case kind == "j" && states[id] == "":
			states[id] = "open"
		case kind == "s" && easyjson.Unmarshal(pair.Value, &record) == nil:
			states[id] = record.State
		}
	}
	var jobs []wire.JobBelief
	for _, id := range slices.Sorted(maps.Keys(states)) {
		jobs = append(jobs, wire.JobBelief{Key: key, ID: id, State: states[id]})
	}
	return jobs
}
