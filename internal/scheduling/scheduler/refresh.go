package scheduler

import (
	"time"

	"gannetline/internal/platform/clock"
	"gannetline/internal/platform/queuerules"
	"gannetline/internal/scheduling/placement"
)

// ruleHoldTime is how long a task waits for the executors of its queue's rule.
const ruleHoldTime = time.Second

// maxIdleWait is how long soft limits may keep a step that runs nothing from its first run.
const maxIdleWait = time.Second

// markChanged notes that something of a task has changed which placement may see, also in the other steps of its job.
func (p *Pool) markChanged(task *taskState) {
	task.step.classify(task)
	for _, step := range task.step.occurrence.steps {
		p.open.markStale(step)
	}
}

// refreshAll works out anew what may have changed since the last placement.
func (p *Pool) refreshAll(now time.Duration) {
	o := &p.open
	if o.version != p.table.version {
		o.version = p.table.version
		for step := range o.steps {
			if p.dependsOnExecutors(step) {
				o.markStale(step)
			}
		}
	}
	for len(o.refreshTimes.steps) > 0 && o.refreshTimes.steps[0].requests.refreshAt <= now {
		step := o.refreshTimes.steps[0]
		o.refreshTimes.set(step, never)
		o.markStale(step)
	}
	p.endOverloads(now)
	// A step that turns late may make others stale, so that the list grows on the way.
	for index := 0; index < len(o.stale); index++ {
		step := o.stale[index]
		step.requests.isStale = false
		if o.steps[step] {
			p.refresh(step, now)
		}
	}
	o.stale = o.stale[:0]
}

// dependsOnExecutors tells whether what a step asks for depends on which executors there are, and on their indices.
func (p *Pool) dependsOnExecutors(step *stepState) bool {
	ready := step.requests.first.tasks
	return p.clock.Monotonic() < p.localityWaitUntil(step) || step.spec.AntiAffinity > 0 || len(step.requests.speculative) > 0 || len(ready) > 0 && ready[0].avoid != "" ||
		p.rules.HasUse(step.queue())
}

// refresh works out anew what a step asks for, and until when that holds.
func (p *Pool) refresh(step *stepState, now time.Duration) {
	ready, next := p.ready(step, now)
	var group placement.Group
	if len(ready) > 0 {
		group = p.group(step, ready)
	}
	p.noteTargetMiss(&step.requests.group, &group, now)
	p.open.first.change(&step.requests.first, ready, group)
	candidates, candidatesNext := p.tasksToSpeculate(step, now)
	p.refreshSpeculative(step, candidates)
	next = min(next, candidatesNext)
	if len(ready)+len(candidates) > 0 {
		next = min(next, p.nextDeadlineChange(step, now))
	}
	if frees := step.openedAt + ruleHoldTime + 1; now < frees && p.rules.HasUse(step.queue()) {
		next = min(next, frees)
	}
	if until := p.localityWaitUntil(step); now < until {
		next = min(next, until)
	}
	if idleFrom := p.idleFrom(step); now < idleFrom {
		next = min(next, idleFrom)
	}
	p.open.refreshTimes.set(step, next)
}

// refreshSpeculative goes along the speculative requests there are and those there should be, both in the order of their tasks.
func (p *Pool) refreshSpeculative(step *stepState, candidates []*taskState) {
	former := step.requests.speculative
	step.requests.speculative = nil
	drop := func() {
		p.open.speculative.change(former[0], former[0].tasks, placement.Group{})
		former = former[1:]
	}
	for _, task := range candidates {
		for len(former) > 0 && former[0].tasks[0].index < task.index {
			drop()
		}
		request := &placementRequest{step, []*taskState{task}, &placement.Group{}}
		if len(former) > 0 && former[0].tasks[0] == task {
			request, former = former[0], former[1:]
		}
		p.open.speculative.change(request, request.tasks, p.speculativeGroup(task))
		step.requests.speculative = append(step.requests.speculative, request)
	}
	for len(former) > 0 {
		drop()
	}
}

// ready gives the tasks that may start now, and when others may.
func (p *Pool) ready(step *stepState, now time.Duration) (ready []*taskState, next time.Duration) {
	switch {
	case step.spec.Gang && step.hasRuns():
		return nil, never
	case step.notBefore <= now:
		return step.idle, never
	}
	next = never
	for _, task := range step.idle {
		if task.notBefore <= now {
			ready = append(ready, task)
			continue
		}
		next = min(next, task.notBefore)
	}
	return ready, next
}

// group describes the ready tasks of a step for placement: need, constraints, preferences and order.
func (p *Pool) group(step *stepState, ready []*taskState) placement.Group {
	job := step.occurrence.job
	group := placement.Group{Excluded: p.excludedByRule(step), Need: step.need(), Count: len(ready), IsGang: step.spec.Gang, IsIdle: p.clock.Monotonic() >= p.idleFrom(step), IsLasting: step.spec.LongRunning,
		SameRack: step.spec.SameRack, Labels: step.spec.Labels, Locality: step.spec.Affinity, AntiAffinity: step.spec.AntiAffinity,
		IsLong:   p.isLong(step),
		Priority: job.record.Terms.Priority, Tenant: job.tenant.index, Deadline: p.deadlineClass(step), CanWait: p.canWait(step), RemainingTenths: p.remainingTenths(step), Due: p.orderKey(step, len(ready))}
	group.IsLocalityRequired = p.clock.Monotonic() < p.localityWaitUntil(step) && p.hasLocalExecutor(step)
	if group.AntiAffinity > 0 {
		group.RunsByExecutor = step.runsByExecutor()
	}
	if executor := p.executors[ready[0].avoid]; executor != nil {
		group.Avoided = []int{executor.index}
	}
	return group
}

// isLong tells whether a step's tasks hold what they take for long.
func (p *Pool) isLong(step *stepState) bool {
	return step.spec.LongRunning || clock.Milliseconds(step.spec.EstimatedMs) > p.timing.ReservedCapacity.LongWork
}

// idleFrom is when a step that runs nothing goes past soft limits. One whose tasks last does so at once, whatever of it runs: each of
// them is to run at every moment.
func (p *Pool) idleFrom(step *stepState) time.Duration {
	switch {
	case step.spec.LongRunning:
		return 0
	case step.hasRuns():
		return never
	}
	return step.lastProgressAt + maxIdleWait
}

func (p *Pool) orderKey(step *stepState, tasks int) int64 {
	if !p.rules.HasOrder(step.queue()) {
		return p.dueKey(step)
	}
	return p.rules.Order(step.queue(), queuerules.Step{Due: int(step.occurrence.targetMs), Tasks: tasks,
		CPU: int(step.spec.CPU), Memory: int(step.spec.Memory), Estimate: int(step.spec.EstimatedMs)})
}

// wholeJob is the tenths that are left of a job of which nothing has been started.
const wholeJob = 10

// remainingTenths is how much of the work of a step's occurrence is yet to be started, by the estimates. A queue whose rule orders its
// steps goes by that rule alone, and what has expired by its age alone, so that each has its turn.
func (p *Pool) remainingTenths(step *stepState) int {
	if p.rules.HasOrder(step.queue()) || p.deadlineClass(step) == placement.Expired {
		return wholeJob
	}
	var whole, remaining int64
	for _, part := range step.occurrence.steps {
		weight := max(1, part.spec.CPU) * max(1, part.spec.EstimatedMs)
		whole += weight * int64(len(part.tasks))
		remaining += weight * int64(len(part.idle))
	}
	return int(remaining * wholeJob / whole)
}

// runsByExecutor counts the runs of a step by the index of their executor.
func (s *stepState) runsByExecutor() map[int]int {
	runs := map[int]int{}
	for _, task := range s.busy {
		for _, run := range task.runs {
			runs[run.executor.index]++
		}
	}
	return runs
}

// excludedByRule keeps a queue to the executors of its rule for a moment; a task that waits longer may go anywhere,
// so that no rule of a queue leaves work undone while there is capacity.
func (p *Pool) excludedByRule(step *stepState) []bool {
	queue := step.queue()
	if !p.rules.HasUse(queue) || p.clock.Monotonic()-step.openedAt > ruleHoldTime {
		return nil
	}
	excluded := make([]bool, len(p.table.sorted))
	for index, executor := range p.table.sorted {
		excluded[index] = !p.rules.Allows(queue, queuerules.Executor{Labels: executor.labels, CPU: int(executor.capacity.CPU),
			Memory: int(executor.capacity.Memory), GPU: int(executor.capacity.GPU)})
	}
	return excluded
}
